//! The policies that a trace is replayed under.

mod baseline;
mod router;

pub(crate) use baseline::Baseline;
pub(crate) use router::RouterPlacement;

use serde::Serialize;
use skylarkpick_config::Configuration;
use skylarkpick_interface::{LoadReport, RunnerStatus, StoreStatus};
use skylarkpick_schedule::{
    DEFAULT_RULES, ImportPlan, PrefixView, Route, RouteRequest, RoutingRules,
};
use std::time::{Duration, Instant};

/// A policy by its name on the command line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The policy that entry processes run.
    Skylarkpick,
    /// Runners in turn; no stores.
    RoundRobin,
    /// The runner with the fewest runs; no stores.
    LeastLoaded,
    /// One runner for each prefix; no stores.
    Sticky,
    /// The runner with the least work, importing whatever is saved.
    AlwaysImport,
}

impl PolicyName {
    /// Every policy with its name, the own one first.
    pub const ALL: [(&'static str, PolicyName); 5] = [
        ("skylarkpick", PolicyName::Skylarkpick),
        ("round-robin", PolicyName::RoundRobin),
        ("least-loaded", PolicyName::LeastLoaded),
        ("sticky", PolicyName::Sticky),
        ("always-import", PolicyName::AlwaysImport),
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        PolicyName::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| *name)
    }

    /// Whether prefixes are saved to stores under it.
    pub(crate) fn saves(self) -> bool {
        matches!(self, PolicyName::Skylarkpick | PolicyName::AlwaysImport)
    }

    /// Opens what one entry process decides with.
    pub(crate) fn open(
        self,
        configuration: &Configuration,
        data_centre: &str,
        seed: u64,
        rules: RoutingRules,
    ) -> Box<dyn Placement> {
        let always = RoutingRules { uses_holders: false, ..DEFAULT_RULES };
        match self {
            PolicyName::Skylarkpick => {
                Box::new(RouterPlacement::open(configuration, data_centre, seed, rules))
            }
            PolicyName::AlwaysImport => {
                let configuration = router::always_importing(configuration);
                Box::new(RouterPlacement::open(&configuration, data_centre, seed, always))
            }
            _ => Box::new(Baseline::open(self, configuration, seed)),
        }
    }
}

/// What one entry process decides with, and what it is told.
pub(crate) trait Placement {
    /// Chooses a runner and a way to get the context there.
    fn choose(
        &mut self,
        request: &RouteRequest,
        view: &dyn PrefixView,
        now: Instant,
    ) -> Option<Route>;

    /// A runner has reported.
    fn runner_report(
        &mut self,
        runner: &str,
        load: &LoadReport,
        status: &RunnerStatus,
        now: Instant,
    );

    /// A runner could not be reached.
    fn runner_failed(&mut self, runner: &str, now: Instant);

    /// A run has ended.
    fn ended(&mut self, route: &Route, request: &RouteRequest, had_first_token: bool, now: Instant);

    /// A store has reported.
    fn store_report(&mut self, _store: &str, _status: &StoreStatus, _now: Instant) {}

    /// A store could not be reached.
    fn store_failed(&mut self, _store: &str) {}

    /// A run was taken up; gives whether less was cached than believed.
    fn started(&mut self, _: &Route, _prompt_tokens: u64, _cached_tokens: u64, _: Instant) -> bool {
        false
    }

    /// A run has its first token.
    fn first_token(&mut self, _route: &Route, _request: &RouteRequest, _now: Instant) {}

    /// An import has ended, or failed without `took`.
    fn import_ended(&mut self, _runner: &str, _plan: &ImportPlan, _took: Option<Duration>) {}
}
