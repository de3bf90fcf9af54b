//! The router of the entry processes as a replay policy.

use super::RoutingPolicy;
use skylarkpick_config::{Configuration, Serving};
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use skylarkpick_schedule::{ImportPlan, PrefixView, Route, RouteRequest, Router, RoutingRules};
use std::time::{Duration, Instant};

/// Recompute weight that makes an import cheaper than any recomputation.
const ALWAYS_IMPORT_WEIGHT: f64 = 1_000.0;

/// The router of the entry processes.
pub(crate) struct RouterPolicy {
    router: Router,
}

impl RouterPolicy {
    pub(super) fn open(
        configuration: &Configuration,
        data_centre: &str,
        seed: u64,
        rules: RoutingRules,
    ) -> RouterPolicy {
        let mut router = Router::open_with(data_centre, seed, rules);
        router.set_configuration(configuration);
        RouterPolicy { router }
    }
}

/// Returns a configuration under which the router imports whenever there is a saved copy.
pub(super) fn always_importing(configuration: &Configuration) -> Configuration {
    let mut configuration = configuration.clone();
    for serving in configuration.serving.values_mut() {
        let weights =
            Serving { recompute_weight: ALWAYS_IMPORT_WEIGHT, link_weight: 0.0, ..serving.clone() };
        *serving = weights;
    }
    configuration
}

impl RoutingPolicy for RouterPolicy {
    fn choose(
        &mut self,
        request: &RouteRequest,
        view: &dyn PrefixView,
        now: Instant,
    ) -> Option<Route> {
        self.router.choose(request, view, now).ok()
    }

    fn observe_runner_report(
        &mut self,
        runner: &str,
        load: &LoadReport,
        status: &RunnerStatus,
        now: Instant,
    ) {
        self.router.observe_load(runner, load.clone(), now);
        self.router.observe_status(runner, status);
    }

    fn observe_runner_failure(&mut self, runner: &str, now: Instant) {
        self.router.observe_failure(runner, now);
    }

    fn observe_run_end(
        &mut self,
        route: &Route,
        request: &RouteRequest,
        had_first_token: bool,
        now: Instant,
    ) {
        self.router.observe_end(route, request, had_first_token, now);
    }

    fn observe_store_report(&mut self, store: &str, status: &StoreStatus, now: Instant) {
        self.router.observe_store(store, status, now);
    }

    fn observe_store_failure(&mut self, store: &str) {
        self.router.observe_store_failure(store);
    }

    fn observe_run_start(
        &mut self,
        route: &Route,
        prompt_tokens: u64,
        cached_tokens: u64,
        now: Instant,
    ) -> bool {
        let correction = self.router.observe_started(route, prompt_tokens, cached_tokens, now);
        correction.is_some_and(|found| found.held_tokens < found.expected_tokens)
    }

    fn observe_first_token(&mut self, route: &Route, request: &RouteRequest, now: Instant) {
        self.router.observe_first_token(route, request, now);
    }

    fn observe_import_end(&mut self, runner: &str, plan: &ImportPlan, took: Option<Duration>) {
        self.router.observe_import_end(runner, plan, took);
    }
}
