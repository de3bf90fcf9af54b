//! The router actor: owns the router and the prefix index, and chooses a runner for each request.

use crate::{active_configuration::ActiveConfiguration, context::PrefixIndex};
use kameo::prelude::*;
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::{LoadReport, RunnerId, RunnerStatus};
use skylarkpick_schedule::{Candidate, NoRoute, Route, RouteRequest, Router};
use std::{collections::BTreeMap, sync::Arc, time::Instant};

/// Serialises all access to the router and the prefix index.
#[derive(Actor)]
pub(crate) struct RouterActor {
    pub(crate) router: Router,
    pub(crate) prefix_index: PrefixIndex,
}

impl RouterActor {
    pub(crate) fn open(data_centre: &str, seed: u64) -> RouterActor {
        RouterActor {
            router: Router::open(data_centre, seed),
            prefix_index: PrefixIndex::default(),
        }
    }

    fn record_run_started(&mut self, route: &Route, request: &RouteRequest, cached_tokens: u64) {
        let held_blocks = (cached_tokens / BLOCK_TOKENS) as usize;
        self.router.observe_started(route, request.prompt_tokens, cached_tokens, now());
        let keys = request.keys(route.weight_version);
        self.prefix_index.runners.correct(&route.runner, keys, held_blocks);
    }
}

/// Returns the time on tokio's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Replaces the targets by those of a configuration.
pub(crate) struct SetConfiguration(pub(crate) Arc<ActiveConfiguration>);

/// Chooses a runner for a request.
pub(crate) struct ChooseRoute(pub(crate) Arc<RouteRequest>);

/// Reads the tracked state of the runners.
pub(crate) struct ReadCandidates;

/// Counts the blocks that each runner holds according to the prefix index.
pub(crate) struct CountBlocks;

impl Message<CountBlocks> for RouterActor {
    type Reply = BTreeMap<RunnerId, u64>;

    async fn handle(
        &mut self,
        _: CountBlocks,
        _: &mut Context<Self, Self::Reply>,
    ) -> BTreeMap<RunnerId, u64> {
        self.prefix_index.runners.blocks_by_runner()
    }
}

/// Replaces the set of runners that are ejected for their failures.
pub(crate) struct SetEjected(pub(crate) Vec<RunnerId>);

/// An update of a runner's tracked state.
pub(crate) enum RouterUpdate {
    /// A load report.
    Load(RunnerId, LoadReport),
    /// The runner's reported status.
    Status(RunnerId, RunnerStatus),
    /// The runner is leaving: it accepts no new runs.
    Leaving(RunnerId),
    /// A run started with this many prompt tokens in the runner's KV cache.
    RunStarted { route: Route, request: Arc<RouteRequest>, cached_tokens: u64 },
    /// A run produced its first token.
    FirstToken(Route, Arc<RouteRequest>),
    /// A run has ended.
    RunEnded { route: Route, request: Arc<RouteRequest>, had_first_token: bool },
}

impl Message<SetConfiguration> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, message: SetConfiguration, _: &mut Context<Self, Self::Reply>) {
        self.router.set_configuration(&message.0.configuration);
    }
}

impl Message<ChooseRoute> for RouterActor {
    type Reply = Result<Route, NoRoute>;

    async fn handle(
        &mut self,
        message: ChooseRoute,
        _: &mut Context<Self, Self::Reply>,
    ) -> Result<Route, NoRoute> {
        self.router.choose(&message.0, &self.prefix_index, now())
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

impl Message<RouterUpdate> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, message: RouterUpdate, _: &mut Context<Self, Self::Reply>) {
        match message {
            RouterUpdate::Load(runner, load) => self.router.observe_load(&runner, load, now()),
            RouterUpdate::Leaving(runner) => self.router.observe_leaving(&runner),
            RouterUpdate::Status(runner, status) => {
                self.prefix_index.runners.note_incarnation(&runner, status.incarnation);
                self.router.observe_status(&runner, &status);
            }
            RouterUpdate::RunStarted { route, request, cached_tokens } => {
                self.record_run_started(&route, &request, cached_tokens);
            }
            RouterUpdate::FirstToken(route, request) => {
                self.prefix_index
                    .runners
                    .note_held_prefix(&route.runner, request.keys(route.weight_version));
                self.router.observe_first_token(&route, &request, now());
            }
            RouterUpdate::RunEnded { route, request, had_first_token } => {
                self.router.observe_end(&route, &request, had_first_token, now());
            }
        }
    }
}
