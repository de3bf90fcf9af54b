//! The router of entry processes as a policy of replay.

use super::Placement;
use skylarkpick_config::{Configuration, Serving};
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use skylarkpick_schedule::{ImportPlan, PrefixView, Route, RouteRequest, Router, RoutingRules};
use std::time::{Duration, Instant};

/// Weight of recomputing that makes an import win always.
const ALWAYS_IMPORT_WEIGHT: f64 = 1_000.0;

/// The router of entry processes.
pub(crate) struct RouterPlacement {
    router: Router,
}

impl RouterPlacement {
    pub(super) fn open(
        configuration: &Configuration,
        data_centre: &str,
        seed: u64,
        rules: RoutingRules,
    ) -> RouterPlacement {
        let mut router = Router::open_with(data_centre, seed, rules);
        router.set_configuration(configuration);
        RouterPlacement { router }
    }
}

/// A configuration under which an import wins wherever there is a saved copy.
pub(super) fn always_importing(configuration: &Configuration) -> Configuration {
    let mut configuration = configuration.clone();
    for serving in configuration.serving.values_mut() {
        let weights =
            Serving { recompute_weight: ALWAYS_IMPORT_WEIGHT, link_weight: 0.0, ..serving.clone() };
        *serving = weights;
    }
    configuration
}

impl Placement for RouterPlacement {
    fn choose(
        &mut self,
        request: &RouteRequest,
        view: &dyn PrefixView,
        now: Instant,
    ) -> Option<Route> {
        self.router.choose(request, view, now).ok()
    }

    fn runner_report(
        &mut self,
        runner: &str,
        load: &LoadReport,
        status: &RunnerStatus,
        now: Instant,
    ) {
        self.router.observe_load(runner, load.clone(), now);
        self.router.observe_status(runner, status);
    }

    fn runner_failed(&mut self, runner: &str, now: Instant) {
        self.router.observe_failure(runner, now);
    }

    fn ended(
        &mut self,
        route: &Route,
        request: &RouteRequest,
        had_first_token: bool,
        now: Instant,
    ) {
        self.router.observe_end(route, request, had_first_token, now);
    }

    fn store_report(&mut self, store: &str, status: &StoreStatus, now: Instant) {
        self.router.observe_store(store, status, now);
    }

    fn store_failed(&mut self, store: &str) {
        self.router.observe_store_failure(store);
    }

    fn started(
        &mut self,
        route: &Route,
        prompt_tokens: u64,
        cached_tokens: u64,
        now: Instant,
    ) -> bool {
        let correction = self.router.observe_started(route, prompt_tokens, cached_tokens, now);
        correction.is_some_and(|found| found.held_tokens < found.expected_tokens)
    }

    fn first_token(&mut self, route: &Route, request: &RouteRequest, now: Instant) {
        self.router.observe_first_token(route, request, now);
    }

    fn import_ended(&mut self, runner: &str, plan: &ImportPlan, took: Option<Duration>) {
        self.router.observe_import_end(runner, plan, took);
    }
}
