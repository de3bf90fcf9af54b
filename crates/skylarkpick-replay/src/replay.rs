//! Replays a trace under several policies and judges its stated outcomes.

use crate::{
    engine::{AdmissionControl, AdmitAll, EntryAdmission, Played, World, runner_names},
    measure::{Floors, Metrics},
    outcome::{Metric, Outcome, OutcomeCheck, Reference},
    policy::PolicyName,
    trace::Trace,
};
use serde::Serialize;
use skylarkpick_schedule::{DEFAULT_RULES, ImportOrdering, RoutingRules, SavingSettings};
use std::collections::BTreeMap;

/// How a trace is replayed.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// Policy that the outcomes are about.
    pub policy: PolicyName,
    /// Policies beside it.
    pub baselines: Vec<PolicyName>,
    /// Rules of the router.
    pub rules: RoutingRules,
    /// Rules of saving; bytes and rates are taken from the fleet.
    pub saving: SavingSettings,
    /// Order of imports over a link.
    pub ordering: ImportOrdering,
    /// Opens what stands before routing under the own policy; baselines admit everything.
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

/// The figures of one trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Name of the trace.
    pub trace: String,
    /// What it is about.
    pub description: String,
    /// Policy that the outcomes are about.
    pub policy: PolicyName,
    /// Floors.
    pub floors: Floors,
    /// Figures by policy.
    pub measures: BTreeMap<PolicyName, Metrics>,
    /// Stated outcomes with what was found.
    pub outcomes: Vec<OutcomeCheck>,
}

impl ReplayReport {
    /// Whether every stated outcome holds.
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
    let floors = Floors::of(trace);
    let mut measures = BTreeMap::new();
    let played = play(trace, options.policy, options);
    measures.insert(options.policy, Metrics::take(trace, &played, &floors));
    for policy in &options.baselines {
        let played = play(trace, *policy, options);
        measures.insert(*policy, Metrics::take(trace, &played, &floors));
    }
    let judge = Judge { trace, options, floors: &floors, measures: &measures, played: &played };
    let outcomes = trace.outcomes.iter().map(|outcome| judge.judge(outcome)).collect();
    ReplayReport {
        trace: trace.name.clone(),
        description: trace.description.clone(),
        policy: options.policy,
        floors,
        measures,
        outcomes,
    }
}

fn play(trace: &Trace, policy: PolicyName, options: &ReplayOptions) -> Played {
    let saving = SavingSettings {
        context_bytes_per_token: trace.fleet.context_bytes_per_token,
        prefill_tokens_per_second: trace.fleet.prefill_tokens_per_second,
        ..options.saving
    };
    let admission: Box<dyn AdmissionControl> = match policy {
        PolicyName::Skylarkpick => (options.admission)(trace),
        _ => Box::new(AdmitAll),
    };
    World::open(trace, policy, options.rules, saving, options.ordering, admission).play()
}

struct Judge<'a> {
    trace: &'a Trace,
    options: &'a ReplayOptions,
    floors: &'a Floors,
    measures: &'a BTreeMap<PolicyName, Metrics>,
    played: &'a Played,
}

impl Judge<'_> {
    fn judge(&self, outcome: &Outcome) -> OutcomeCheck {
        let own = &self.measures[&self.options.policy];
        let found = match (outcome.measure, &outcome.account) {
            (Metric::OtherAccountsP95Ms, Some(account)) => {
                Metrics::others_p95_ms(self.trace, self.played, account)
            }
            (measure, _) => figure(own, measure),
        };
        outcome.check(found, outcome.times.and_then(|times| self.reference(times, outcome)))
    }

    fn reference(&self, reference: Reference, outcome: &Outcome) -> Option<f64> {
        let of = |policy: PolicyName| {
            self.measures.get(&policy).map(|measures| figure(measures, outcome.measure))
        };
        match reference {
            Reference::Floor => self.floor(outcome.measure),
            Reference::RoundRobin => of(PolicyName::RoundRobin),
            Reference::LeastLoaded => of(PolicyName::LeastLoaded),
            Reference::Sticky => of(PolicyName::Sticky),
            Reference::AlwaysImport => of(PolicyName::AlwaysImport),
            Reference::BestBaseline => {
                let all = [PolicyName::RoundRobin, PolicyName::LeastLoaded, PolicyName::Sticky];
                all.into_iter().filter_map(of).min_by(f64::total_cmp)
            }
            Reference::BeforeFaults => {
                Some(self.measures[&self.options.policy].before_faults_p95_ms)
            }
            Reference::WithoutAccount => self.without(outcome.account.as_deref()?),
        }
    }

    fn floor(&self, measure: Metric) -> Option<f64> {
        match measure {
            Metric::FirstTokenP50Ms => Some(self.floors.first_token_p50_ms),
            Metric::FirstTokenP95Ms => Some(self.floors.first_token_p95_ms),
            Metric::FirstTokenP99Ms => Some(self.floors.first_token_p99_ms),
            Metric::RecomputedShare => Some(self.floors.recomputed_share),
            _ => None,
        }
    }

    /// The figure of the other accounts on the trace without one account.
    fn without(&self, account: &str) -> Option<f64> {
        let mut trace = self.trace.clone();
        trace.requests.retain(|request| request.account != account);
        let played = play(&trace, self.options.policy, self.options);
        Some(Metrics::others_p95_ms(&trace, &played, account))
    }
}

fn figure(measures: &Metrics, measure: Metric) -> f64 {
    match measure {
        Metric::FirstTokenP50Ms => measures.first_token_p50_ms,
        Metric::FirstTokenP95Ms | Metric::OtherAccountsP95Ms => measures.first_token_p95_ms,
        Metric::FirstTokenP99Ms => measures.first_token_p99_ms,
        Metric::DuringFaultsP95Ms => measures.during_faults_p95_ms,
        Metric::RecomputedShare => measures.recomputed_share,
        Metric::LinkBytes => measures.link_bytes as f64,
        Metric::LinkPeakShare => measures.link_peak_share,
        Metric::Refusals => measures.refusals as f64,
        Metric::Fairness => measures.fairness,
        Metric::LoadsAtOnce => measures.loads_at_once as f64,
    }
}
