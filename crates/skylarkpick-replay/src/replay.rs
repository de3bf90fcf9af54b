//! Replays a trace under several policies and checks its stated outcomes.

use crate::{
    engine::{
        AdmissionControl, AdmitAll, EntryAdmission, Simulation, SimulationResult, runner_names,
    },
    metrics::{Floors, Metrics},
    outcome::{Metric, Outcome, OutcomeCheck, Reference},
    policy::PolicyName,
    trace::Trace,
};
use serde::Serialize;
use skylarkpick_schedule::{DEFAULT_RULES, ImportOrdering, RoutingRules, SavingSettings};
use std::collections::BTreeMap;

/// Options of a replay.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// Policy that the outcomes are checked for.
    pub policy: PolicyName,
    /// Policies that it is compared with.
    pub baselines: Vec<PolicyName>,
    /// Rules of the router under the `skylarkpick` policy.
    pub rules: RoutingRules,
    /// Settings of the saving policy; bytes per token and prefill rate are taken from the fleet.
    pub saving: SavingSettings,
    /// Order of the imports over a link.
    pub ordering: ImportOrdering,
    /// Creates the admission control of the `skylarkpick` policy; all others admit every request.
    pub admission: fn(&Trace) -> Box<dyn AdmissionControl>,
}

impl Default for ReplayOptions {
    fn default() -> ReplayOptions {
        ReplayOptions {
            policy: PolicyName::Skylarkpick,
            baselines: PolicyName::ALL.iter().skip(1).map(|(_, policy)| *policy).collect(),
            rules: DEFAULT_RULES,
            saving: SavingSettings::default(),
            ordering: ImportOrdering::default(),
            admission: |trace| {
                let runners = runner_names(&trace.fleet);
                Box::new(EntryAdmission::open(&trace.fleet, &runners))
            },
        }
    }
}

/// The metrics and checked outcomes of one trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Name of the trace.
    pub trace: String,
    /// Description of the trace.
    pub description: String,
    /// Policy that the outcomes are checked for.
    pub policy: PolicyName,
    /// Lower bounds that hold for every policy.
    pub floors: Floors,
    /// Metrics by policy.
    pub measures: BTreeMap<PolicyName, Metrics>,
    /// Checks of the stated outcomes.
    pub outcomes: Vec<OutcomeCheck>,
}

impl ReplayReport {
    /// Returns whether every stated outcome holds.
    pub fn all_hold(&self) -> bool {
        self.outcomes.iter().all(|outcome| outcome.holds)
    }
}

/// Replays a trace under the policy and the baselines of the options.
///
/// ```
/// use skylarkpick_replay::{ReplayOptions, parse_trace, replay_trace, write_trace};
/// use skylarkpick_replay::{FleetName, TraceKind, generate_trace};
/// let mut trace = generate_trace(FleetName::Bantay, TraceKind::Ordinary, 1);
/// trace.requests.truncate(50);
/// let replay = replay_trace(&trace, &ReplayOptions::default());
/// assert_eq!(replay, replay_trace(&trace, &ReplayOptions::default()));
/// ```
pub fn replay_trace(trace: &Trace, options: &ReplayOptions) -> ReplayReport {
    let floors = Floors::compute(trace);
    let mut measures = BTreeMap::new();
    let result = simulate(trace, options.policy, options);
    measures.insert(options.policy, Metrics::compute(trace, &result, &floors));
    for policy in &options.baselines {
        let result = simulate(trace, *policy, options);
        measures.insert(*policy, Metrics::compute(trace, &result, &floors));
    }
    let checker =
        OutcomeChecker { trace, options, floors: &floors, measures: &measures, result: &result };
    let outcomes = trace.outcomes.iter().map(|outcome| checker.check(outcome)).collect();
    ReplayReport {
        trace: trace.name.clone(),
        description: trace.description.clone(),
        policy: options.policy,
        floors,
        measures,
        outcomes,
    }
}

fn simulate(trace: &Trace, policy: PolicyName, options: &ReplayOptions) -> SimulationResult {
    let saving = SavingSettings {
        context_bytes_per_token: trace.fleet.context_bytes_per_token,
        prefill_tokens_per_second: trace.fleet.prefill_tokens_per_second,
        ..options.saving
    };
    let admission: Box<dyn AdmissionControl> = match policy {
        PolicyName::Skylarkpick => (options.admission)(trace),
        _ => Box::new(AdmitAll),
    };
    Simulation::open(trace, policy, options.rules, saving, options.ordering, admission).run()
}

struct OutcomeChecker<'a> {
    trace: &'a Trace,
    options: &'a ReplayOptions,
    floors: &'a Floors,
    measures: &'a BTreeMap<PolicyName, Metrics>,
    result: &'a SimulationResult,
}

impl OutcomeChecker<'_> {
    fn check(&self, outcome: &Outcome) -> OutcomeCheck {
        let metrics = &self.measures[&self.options.policy];
        let found = match (outcome.measure, &outcome.account) {
            (Metric::OtherAccountsP95Ms, Some(account)) => {
                Metrics::others_p95_ms(self.trace, self.result, account)
            }
            (metric, _) => metric_value(metrics, metric),
        };
        outcome.check(found, outcome.times.and_then(|times| self.reference(times, outcome)))
    }

    fn reference(&self, reference: Reference, outcome: &Outcome) -> Option<f64> {
        let value_under = |policy: PolicyName| {
            self.measures.get(&policy).map(|metrics| metric_value(metrics, outcome.measure))
        };
        match reference {
            Reference::Floor => self.floor(outcome.measure),
            Reference::RoundRobin => value_under(PolicyName::RoundRobin),
            Reference::LeastLoaded => value_under(PolicyName::LeastLoaded),
            Reference::Sticky => value_under(PolicyName::Sticky),
            Reference::AlwaysImport => value_under(PolicyName::AlwaysImport),
            Reference::BestBaseline => {
                let baselines =
                    [PolicyName::RoundRobin, PolicyName::LeastLoaded, PolicyName::Sticky];
                baselines.into_iter().filter_map(value_under).min_by(f64::total_cmp)
            }
            Reference::BeforeFaults => {
                Some(self.measures[&self.options.policy].before_faults_p95_ms)
            }
            Reference::WithoutAccount => self.without_account(outcome.account.as_deref()?),
        }
    }

    fn floor(&self, metric: Metric) -> Option<f64> {
        match metric {
            Metric::FirstTokenP50Ms => Some(self.floors.first_token_p50_ms),
            Metric::FirstTokenP95Ms => Some(self.floors.first_token_p95_ms),
            Metric::FirstTokenP99Ms => Some(self.floors.first_token_p99_ms),
            Metric::RecomputedShare => Some(self.floors.recomputed_share),
            _ => None,
        }
    }

    /// Replays the trace without the requests of one account. Returns the 95th percentile of the
    /// time to first token of the other accounts.
    fn without_account(&self, account: &str) -> Option<f64> {
        let mut trace = self.trace.clone();
        trace.requests.retain(|request| request.account != account);
        let result = simulate(&trace, self.options.policy, self.options);
        Some(Metrics::others_p95_ms(&trace, &result, account))
    }
}

fn metric_value(metrics: &Metrics, metric: Metric) -> f64 {
    match metric {
        Metric::FirstTokenP50Ms => metrics.first_token_p50_ms,
        Metric::FirstTokenP95Ms | Metric::OtherAccountsP95Ms => metrics.first_token_p95_ms,
        Metric::FirstTokenP99Ms => metrics.first_token_p99_ms,
        Metric::DuringFaultsP95Ms => metrics.during_faults_p95_ms,
        Metric::RecomputedShare => metrics.recomputed_share,
        Metric::LinkBytes => metrics.link_bytes as f64,
        Metric::LinkPeakShare => metrics.link_peak_share,
        Metric::Refusals => metrics.refusals as f64,
        Metric::Fairness => metrics.fairness,
        Metric::LoadsAtOnce => metrics.loads_at_once as f64,
    }
}
