//! Baseline policies: round robin, least loaded and sticky.
//!
//! They use no stores and do not consider which runner has a prefix cached.

use super::{PolicyName, RoutingPolicy};
use skylarkpick_config::Configuration;
use skylarkpick_interface::{LoadReport, PrefixKey, RunnerStatus, WeightVersion};
use skylarkpick_schedule::{ContextPlan, PrefixView, Route, RouteRequest};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Age of the last report of a runner after which the runner counts as unreachable.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Clone, Debug, Default)]
struct RunnerState {
    address: String,
    weight_version: Option<WeightVersion>,
    loading: bool,
    reported_at: Option<Instant>,
    failed_at: Option<Instant>,
    reported_runs: u32,
    sent_since_report: u32,
}

/// A baseline policy.
pub(crate) struct BaselinePolicy {
    name: PolicyName,
    runners: BTreeMap<String, RunnerState>,
    next_turn: usize,
}

impl BaselinePolicy {
    pub(super) fn open(
        name: PolicyName,
        configuration: &Configuration,
        seed: u64,
    ) -> BaselinePolicy {
        let targets =
            configuration.data_centres.values().flat_map(|data_centre| &data_centre.runners);
        let new_state =
            |address: &String| RunnerState { address: address.clone(), ..RunnerState::default() };
        let runners = targets.map(|(name, target)| (name.clone(), new_state(&target.address)));
        let runners: BTreeMap<String, RunnerState> = runners.collect();
        let next_turn = seed as usize % runners.len().max(1);
        BaselinePolicy { name, runners, next_turn }
    }

    /// Returns the runners that can serve a request: those that are reachable, or all if none is.
    fn candidates(&self, request: &RouteRequest, now: Instant) -> Vec<&String> {
        let serves_request = |name: &String, state: &RunnerState| {
            !state.loading
                && !request.avoid.contains(name)
                && state
                    .weight_version
                    .is_some_and(|version| request.prefix_keys.contains_key(&version))
        };
        let is_reachable = |state: &RunnerState| {
            let reported = state.reported_at;
            reported.is_some_and(|at| now.saturating_duration_since(at) <= REPORT_TIMEOUT)
                && state.failed_at.is_none_or(|failed_at| reported > Some(failed_at))
        };
        let candidates: Vec<(&String, &RunnerState)> =
            self.runners.iter().filter(|(name, state)| serves_request(name, state)).collect();
        let reachable: Vec<&String> = candidates
            .iter()
            .filter(|(_, state)| is_reachable(state))
            .map(|(name, _)| *name)
            .collect();
        if reachable.is_empty() {
            candidates.into_iter().map(|(name, _)| name).collect()
        } else {
            reachable
        }
    }

    fn pick(&self, candidates: &[&String], request: &RouteRequest) -> Option<String> {
        let runs = |name: &&&String| {
            let state = &self.runners[**name];
            state.reported_runs + state.sent_since_report
        };
        let first_key = request.prefix_keys.values().next().and_then(|keys| keys.first());
        let picked = match (self.name, first_key) {
            (PolicyName::LeastLoaded, _) => {
                let start = self.next_turn % candidates.len().max(1);
                let (before, after) = candidates.split_at(start);
                after.iter().chain(before).min_by_key(runs)
            }
            (PolicyName::Sticky, Some(key)) => {
                candidates.iter().max_by_key(|name| rendezvous(name, *key))
            }
            _ => candidates.get(self.next_turn % candidates.len().max(1)),
        };
        picked.map(|name| name.to_string())
    }
}

/// Returns the rendezvous hash of a runner and a prefix; the runner with the highest hash serves the
/// prefix.
fn rendezvous(name: &str, key: PrefixKey) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&(key >> 64).to_be_bytes());
    *hasher.finalize().as_bytes()
}

impl RoutingPolicy for BaselinePolicy {
    fn choose(
        &mut self,
        request: &RouteRequest,
        _: &dyn PrefixView,
        now: Instant,
    ) -> Option<Route> {
        let runner = self.pick(&self.candidates(request, now), request)?;
        self.next_turn += 1;
        let state = self.runners.get_mut(&runner)?;
        state.sent_since_report += 1;
        Some(Route {
            address: state.address.clone(),
            weight_version: state.weight_version?,
            runner,
            context: ContextPlan::Recompute,
            compute_tokens: request.prompt_tokens,
            chosen_at: now,
        })
    }

    fn observe_runner_report(
        &mut self,
        runner: &str,
        load: &LoadReport,
        status: &RunnerStatus,
        now: Instant,
    ) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.weight_version = Some(status.weight_version);
            state.loading = status.loading.is_some();
            state.reported_at = Some(now);
            state.reported_runs = load.active_runs + load.queued_runs;
            state.sent_since_report = 0;
        }
    }

    fn observe_runner_failure(&mut self, runner: &str, now: Instant) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.failed_at = Some(now);
        }
    }

    fn observe_run_end(&mut self, _: &Route, _: &RouteRequest, _: bool, _: Instant) {}
}
