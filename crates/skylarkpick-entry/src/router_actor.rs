//! Owns the router and answers where requests go.

use crate::in_force::InForce;
use kameo::prelude::*;
use skylarkpick_interface::{LoadReport, RunnerId, RunnerStatus, WeightVersion};
use skylarkpick_schedule::{Candidate, NoRoute, Route, RouteRequest, Router};
use std::{collections::BTreeMap, sync::Arc};

/// Owns the router.
#[derive(Actor)]
pub(crate) struct RouterActor {
    router: Router,
}

impl RouterActor {
    pub(crate) fn open(data_centre: &str) -> RouterActor {
        RouterActor { router: Router::open(data_centre) }
    }
}

/// Takes over the targets of a configuration.
pub(crate) struct SetConfiguration(pub(crate) Arc<InForce>);

/// Asks where a request goes.
pub(crate) struct Choose(pub(crate) Arc<RouteRequest>);

/// Reads what is known of the runners.
pub(crate) struct ReadCandidates;

/// What was seen of a runner.
pub(crate) enum Observed {
    /// A load report.
    Load(RunnerId, LoadReport),
    /// What the runner says that it serves.
    Status(RunnerId, RunnerStatus),
    /// The runner leaves.
    Leaving(RunnerId),
    /// A run has its first token.
    FirstToken(RunnerId, WeightVersion, Arc<RouteRequest>),
    /// A run has ended.
    End { runner: RunnerId, request: Arc<RouteRequest>, had_first_token: bool },
}

impl Message<SetConfiguration> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, message: SetConfiguration, _: &mut Context<Self, Self::Reply>) {
        self.router.set_configuration(&message.0.configuration);
    }
}

impl Message<Choose> for RouterActor {
    type Reply = Result<Route, NoRoute>;

    async fn handle(
        &mut self,
        message: Choose,
        _: &mut Context<Self, Self::Reply>,
    ) -> Result<Route, NoRoute> {
        self.router.choose(&message.0)
    }
}

impl Message<ReadCandidates> for RouterActor {
    type Reply = BTreeMap<RunnerId, Candidate>;

    async fn handle(
        &mut self,
        _: ReadCandidates,
        _: &mut Context<Self, Self::Reply>,
    ) -> BTreeMap<RunnerId, Candidate> {
        self.router.candidates().clone()
    }
}

impl Message<Observed> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, message: Observed, _: &mut Context<Self, Self::Reply>) {
        match message {
            Observed::Load(runner, load) => self.router.observe_load(&runner, load),
            Observed::Leaving(runner) => self.router.observe_leaving(&runner),
            Observed::Status(runner, status) => self.router.observe_status(&runner, &status),
            Observed::FirstToken(runner, weight_version, request) => {
                self.router.observe_first_token(&runner, weight_version, &request);
            }
            Observed::End { runner, request, had_first_token } => {
                self.router.observe_end(&runner, &request, had_first_token);
            }
        }
    }
}
