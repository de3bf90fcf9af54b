//! The routing policies that a trace can be replayed under.

mod baseline;
mod router;

pub(crate) use baseline::BaselinePolicy;
pub(crate) use router::RouterPolicy;

use serde::Serialize;
use skylarkpick_config::Configuration;
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use skylarkpick_schedule::{
    DEFAULT_RULES, ImportPlan, PrefixView, Route, RouteRequest, RoutingRules,
};
use std::time::{Duration, Instant};

/// A routing policy, as named on the command line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The policy that entry processes run.
    Skylarkpick,
    /// Round robin over the runners, without stores.
    RoundRobin,
    /// The runner with the fewest runs, without stores.
    LeastLoaded,
    /// The same runner for every request of a prefix (rendezvous hashing), without stores.
    Sticky,
    /// The router without use of cached prefixes, which imports whenever there is a saved copy.
    AlwaysImport,
}

impl PolicyName {
    /// Every policy with its name; the one that entry processes run is first.
    pub const ALL: [(&'static str, PolicyName); 5] = [
        ("skylarkpick", PolicyName::Skylarkpick),
        ("round-robin", PolicyName::RoundRobin),
        ("least-loaded", PolicyName::LeastLoaded),
        ("sticky", PolicyName::Sticky),
        ("always-import", PolicyName::AlwaysImport),
    ];

    /// Returns the name of the policy on the command line.
    pub fn name(self) -> &'static str {
        PolicyName::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| *name)
    }

    /// Returns whether the policy saves prefixes to stores.
    pub(crate) fn saves_prefixes(self) -> bool {
        matches!(self, PolicyName::Skylarkpick | PolicyName::AlwaysImport)
    }

    /// Creates the policy instance of one entry process.
    pub(crate) fn open(
        self,
        configuration: &Configuration,
        data_centre: &str,
        seed: u64,
        rules: RoutingRules,
    ) -> Box<dyn RoutingPolicy> {
        let always_import_rules = RoutingRules { uses_holders: false, ..DEFAULT_RULES };
        match self {
            PolicyName::Skylarkpick => {
                Box::new(RouterPolicy::open(configuration, data_centre, seed, rules))
            }
            PolicyName::AlwaysImport => {
                let configuration = router::always_importing(configuration);
                Box::new(RouterPolicy::open(&configuration, data_centre, seed, always_import_rules))
            }
            _ => Box::new(BaselinePolicy::open(self, configuration, seed)),
        }
    }
}

/// The routing decisions of one entry process, and the observations that they are based on.
pub(crate) trait RoutingPolicy {
    /// Chooses a runner and a plan to provide its context; none if no runner is available.
    fn choose(
        &mut self,
        request: &RouteRequest,
        view: &dyn PrefixView,
        now: Instant,
    ) -> Option<Route>;

    /// Records a report of a runner.
    fn observe_runner_report(
        &mut self,
        runner: &str,
        load: &LoadReport,
        status: &RunnerStatus,
        now: Instant,
    );

    /// Records that a runner could not be reached.
    fn observe_runner_failure(&mut self, runner: &str, now: Instant);

    /// Records the end of a run.
    fn observe_run_end(
        &mut self,
        route: &Route,
        request: &RouteRequest,
        had_first_token: bool,
        now: Instant,
    );

    /// Records a report of a store.
    fn observe_store_report(&mut self, _store: &str, _status: &StoreStatus, _now: Instant) {}

    /// Records that a store could not be reached.
    fn observe_store_failure(&mut self, _store: &str) {}

    /// Records that a runner has started a run. Returns whether it had cached less of the prefix
    /// than the directory recorded.
    fn observe_run_start(
        &mut self,
        _: &Route,
        _prompt_tokens: u64,
        _cached_tokens: u64,
        _: Instant,
    ) -> bool {
        false
    }

    /// Records the first token of a run.
    fn observe_first_token(&mut self, _route: &Route, _request: &RouteRequest, _now: Instant) {}

    /// Records the end of an import; `took` is none if it failed.
    fn observe_import_end(&mut self, _runner: &str, _plan: &ImportPlan, _took: Option<Duration>) {}
}
