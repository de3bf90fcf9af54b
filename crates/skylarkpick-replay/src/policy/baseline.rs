//! Policies to compare with: they use no stores and know nothing of cached prefixes.

use super::{Placement, PolicyName};
use skylarkpick_config::Configuration;
use skylarkpick_interface::{LoadReport, PrefixKey, RunnerStatus, WeightVersion};
use skylarkpick_schedule::{ContextPlan, PrefixView, Route, RouteRequest};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Age of a runner's last report after which the runner counts as out of reach.
const REPORT_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Clone, Debug, Default)]
struct Known {
    address: String,
    weight_version: Option<WeightVersion>,
    loading: bool,
    reported_at: Option<Instant>,
    failed_at: Option<Instant>,
    reported_runs: u32,
    sent_since_report: u32,
}

/// A policy to compare with.
pub(crate) struct Baseline {
    name: PolicyName,
    runners: BTreeMap<String, Known>,
    turn: usize,
}

impl Baseline {
    pub(super) fn open(name: PolicyName, configuration: &Configuration, seed: u64) -> Baseline {
        let targets = configuration.data_centres.values().flat_map(|centre| &centre.runners);
        let known = |address: &String| Known { address: address.clone(), ..Known::default() };
        let runners = targets.map(|(name, target)| (name.clone(), known(&target.address)));
        let runners: BTreeMap<String, Known> = runners.collect();
        let turn = seed as usize % runners.len().max(1);
        Baseline { name, runners, turn }
    }

    fn usable(&self, request: &RouteRequest, now: Instant) -> Vec<&String> {
        let willing = |name: &String, known: &Known| {
            !known.loading
                && !request.avoid.contains(name)
                && known
                    .weight_version
                    .is_some_and(|version| request.prefix_keys.contains_key(&version))
        };
        let in_reach = |known: &Known| {
            let reported = known.reported_at;
            reported.is_some_and(|at| now.saturating_duration_since(at) <= REPORT_TIMEOUT)
                && known.failed_at.is_none_or(|failed_at| reported > Some(failed_at))
        };
        let usable: Vec<(&String, &Known)> =
            self.runners.iter().filter(|(name, known)| willing(name, known)).collect();
        let reached: Vec<&String> =
            usable.iter().filter(|(_, known)| in_reach(known)).map(|(name, _)| *name).collect();
        if reached.is_empty() {
            usable.into_iter().map(|(name, _)| name).collect()
        } else {
            reached
        }
    }

    fn pick(&self, usable: &[&String], request: &RouteRequest) -> Option<String> {
        let runs = |name: &&&String| {
            let known = &self.runners[**name];
            known.reported_runs + known.sent_since_report
        };
        let first_key = request.prefix_keys.values().next().and_then(|keys| keys.first());
        let picked = match (self.name, first_key) {
            (PolicyName::LeastLoaded, _) => {
                let start = self.turn % usable.len().max(1);
                let (before, after) = usable.split_at(start);
                after.iter().chain(before).min_by_key(runs)
            }
            (PolicyName::Sticky, Some(key)) => {
                usable.iter().max_by_key(|name| rendezvous(name, *key))
            }
            _ => usable.get(self.turn % usable.len().max(1)),
        };
        picked.map(|name| name.to_string())
    }
}

/// Rank of a runner for a prefix; the runner with the highest one serves it.
fn rendezvous(name: &str, key: PrefixKey) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&(key >> 64).to_be_bytes());
    *hasher.finalize().as_bytes()
}

impl Placement for Baseline {
    fn choose(
        &mut self,
        request: &RouteRequest,
        _: &dyn PrefixView,
        now: Instant,
    ) -> Option<Route> {
        let runner = self.pick(&self.usable(request, now), request)?;
        self.turn += 1;
        let known = self.runners.get_mut(&runner)?;
        known.sent_since_report += 1;
        Some(Route {
            address: known.address.clone(),
            weight_version: known.weight_version?,
            runner,
            context: ContextPlan::Recompute,
            compute_tokens: request.prompt_tokens,
            chosen_at: now,
        })
    }

    fn runner_report(
        &mut self,
        runner: &str,
        load: &LoadReport,
        status: &RunnerStatus,
        now: Instant,
    ) {
        if let Some(known) = self.runners.get_mut(runner) {
            known.weight_version = Some(status.weight_version);
            known.loading = status.loading.is_some();
            known.reported_at = Some(now);
            known.reported_runs = load.active_runs + load.queued_runs;
            known.sent_since_report = 0;
        }
    }

    fn runner_failed(&mut self, runner: &str, now: Instant) {
        if let Some(known) = self.runners.get_mut(runner) {
            known.failed_at = Some(now);
        }
    }

    fn ended(&mut self, _: &Route, _: &RouteRequest, _: bool, _: Instant) {}
}
