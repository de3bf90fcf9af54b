//! Owns the router and answers where requests go.

use crate::{active_configuration::ActiveConfiguration, context::Beliefs};
use kameo::prelude::*;
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::{LoadReport, RunnerId, RunnerStatus};
use skylarkpick_schedule::{Candidate, NoRoute, Route, RouteRequest, Router};
use std::{collections::BTreeMap, sync::Arc, time::Instant};

/// Owns the router.
#[derive(Actor)]
pub(crate) struct RouterActor {
    pub(crate) router: Router,
    pub(crate) beliefs: Beliefs,
}

impl RouterActor {
    pub(crate) fn open(data_centre: &str, seed: u64) -> RouterActor {
        RouterActor { router: Router::open(data_centre, seed), beliefs: Beliefs::default() }
    }

    fn note_started(&mut self, route: &Route, request: &RouteRequest, cached_tokens: u64) {
        let held_blocks = (cached_tokens / BLOCK_TOKENS) as usize;
        self.router.observe_started(route, request.prompt_tokens, cached_tokens, now());
        let keys = request.keys(route.weight_version);
        self.beliefs.runners.correct(&route.runner, keys, held_blocks);
    }
}

/// The time on tokio's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Takes over the targets of a configuration.
pub(crate) struct SetConfiguration(pub(crate) Arc<ActiveConfiguration>);

/// Asks where a request goes.
pub(crate) struct Choose(pub(crate) Arc<RouteRequest>);

/// Reads what is known of the runners.
pub(crate) struct ReadCandidates;

/// Counts the blocks that each runner is believed to hold.
pub(crate) struct CountBlocks;

impl Message<CountBlocks> for RouterActor {
    type Reply = BTreeMap<RunnerId, u64>;

    async fn handle(
        &mut self,
        _: CountBlocks,
        _: &mut Context<Self, Self::Reply>,
    ) -> BTreeMap<RunnerId, u64> {
        self.beliefs.runners.blocks_by_runner()
    }
}

/// Leaves out these runners, and no others, for their failures.
pub(crate) struct SetEjected(pub(crate) Vec<RunnerId>);

/// What was seen of a runner.
pub(crate) enum Observed {
    /// A load report.
    Load(RunnerId, LoadReport),
    /// What the runner says that it serves.
    Status(RunnerId, RunnerStatus),
    /// The runner leaves.
    Leaving(RunnerId),
    /// A run was taken up, sparing so many prompt tokens.
    Started { route: Route, request: Arc<RouteRequest>, cached_tokens: u64 },
    /// A run has its first token.
    FirstToken(Route, Arc<RouteRequest>),
    /// A run has ended.
    End { route: Route, request: Arc<RouteRequest>, had_first_token: bool },
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
        self.router.choose(&message.0, &self.beliefs, now())
    }
}

impl Message<SetEjected> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, message: SetEjected, _: &mut Context<Self, Self::Reply>) {
        self.router.set_ejected(&message.0);
    }
}

impl Message<ReadCandidates> for RouterActor {
    type Reply = BTreeMap<RunnerId, Candidate>;

    async fn handle(
        &mut self,
        _: ReadCandidates,
        _: &mut Context<Self, Self::Reply>,
    ) -> BTreeMap<RunnerId, Candidate> {
        self.router.candidates()
    }
}

impl Message<Observed> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, message: Observed, _: &mut Context<Self, Self::Reply>) {
        match message {
            Observed::Load(runner, load) => self.router.observe_load(&runner, load, now()),
            Observed::Leaving(runner) => self.router.observe_leaving(&runner),
            Observed::Status(runner, status) => {
                self.beliefs.runners.note_incarnation(&runner, status.incarnation);
                self.router.observe_status(&runner, &status);
            }
            Observed::Started { route, request, cached_tokens } => {
                self.note_started(&route, &request, cached_tokens);
            }
            Observed::FirstToken(route, request) => {
                self.beliefs
                    .runners
                    .note_held_prefix(&route.runner, request.keys(route.weight_version));
                self.router.observe_first_token(&route, &request, now());
            }
            Observed::End { route, request, had_first_token } => {
                self.router.observe_end(&route, &request, had_first_token, now());
            }
        }
    }
}
