//! Requests, faults and expected outcomes of each kind of trace.

use super::{
    FleetName, TraceKind,
    arrivals::{
        Prefix, Workload, account_name, block_aligned_length, exponential_gap_seconds,
        pick_by_weight,
    },
};
use crate::{
    outcome::{Metric, Outcome, Reference},
    trace::{Fault, FaultKind, Fleet, TraceRequest},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Start of the fault or load change of a trace.
const EVENT_START_SECONDS: f64 = 1_200.0;
/// End of the fault or load change of a trace.
const EVENT_END_SECONDS: f64 = 1_800.0;
/// Requests that arrive within this time after the start of a rollout count as during it.
const ROLLOUT_SECONDS: f64 = 60.0;
/// Maximum length of a trace with a fault or load change.
const EVENT_TRACE_SECONDS: f64 = 2_400.0;
/// Request rate for the prefix of a surge, as a factor of the usual rate of the fleet.
const SURGE_FACTOR: f64 = 8.0;
/// Length of a surge.
const SURGE_SECONDS: f64 = 30.0;
/// Request rate of the flooding account, as a factor of the usual rate of the fleet.
const FLOOD_FACTOR: f64 = 3.0;
/// Number of the flooding account.
const FLOODING_ACCOUNT: usize = 0;

/// Returns the description of a kind of trace.
pub(super) fn description(kind: TraceKind) -> &'static str {
    match kind {
        TraceKind::Ordinary => "An ordinary day: visits to long prefixes with gaps between them.",
        TraceKind::ReturnAfterEviction => {
            "Each prefix returns after all others, when the runners have evicted it."
        }
        TraceKind::Surge => "Many requests for one long prefix that no cache holds.",
        TraceKind::Flood => "One large account sends several times the fleet's usual load.",
        TraceKind::StoreDeath => "A store VM dies with all that it holds and comes back empty.",
        TraceKind::SlowLink => "Every store link runs at a tenth of its speed for a while.",
        TraceKind::WeightSwap => "New weights are rolled out at the peak.",
        TraceKind::DataCentreCut => "One data centre reaches no other for a while.",
        TraceKind::LateReports => "Load reports come five seconds late all day.",
    }
}

/// Generates the requests of a kind of trace, in the order of their arrival.
pub(super) fn requests(
    workload: &Workload,
    kind: TraceKind,
    model: &str,
    seed: u64,
) -> Vec<TraceRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let prefixes = workload.prefixes(&mut random);
    let mut generator = RequestGenerator { workload: *workload, random, model: model.to_string() };
    let is_ordinary = matches!(kind, TraceKind::Ordinary | TraceKind::LateReports);
    let seconds =
        if is_ordinary { workload.seconds } else { workload.seconds.min(EVENT_TRACE_SECONDS) };
    let mut requests = match kind {
        TraceKind::ReturnAfterEviction => generator.rounds(&prefixes, seconds),
        _ => generator.visits(&prefixes, seconds, workload.requests_per_second),
    };
    match kind {
        TraceKind::Surge => requests.extend(generator.surge()),
        TraceKind::Flood => requests.extend(generator.flood()),
        _ => {}
    }
    requests.sort_by_key(|request| request.at);
    requests
}

struct RequestGenerator {
    workload: Workload,
    random: SmallRng,
    model: String,
}

impl RequestGenerator {
    fn request(&mut self, prefix: &Prefix, at_seconds: f64) -> TraceRequest {
        TraceRequest {
            at: Duration::from_micros((at_seconds * 1e6) as u64),
            account: prefix.account.clone(),
            model: self.model.clone(),
            prefix: prefix.name.clone(),
            prefix_tokens: prefix.tokens,
            question_tokens: self.random.random_range(32..=512),
            answer_tokens: self.random.random_range(16..=192),
            repeatable: self.random.random_range(0..10) > 0,
            data_centre: None,
        }
    }

    /// Generates bursts of a few requests for one prefix, `rate` requests per second in the mean.
    fn visits(&mut self, prefixes: &[Prefix], seconds: f64, rate: f64) -> Vec<TraceRequest> {
        let (fewest, most) = self.workload.visit_requests;
        let visit_gap_seconds = (fewest + most) as f64 / 2.0 / rate;
        let mut requests = Vec::new();
        let mut at_seconds = 0.0;
        while at_seconds < seconds {
            at_seconds += exponential_gap_seconds(&mut self.random, visit_gap_seconds);
            let prefix = pick_by_weight(&mut self.random, prefixes).clone();
            let mut request_seconds = at_seconds;
            for _ in 0..self.random.random_range(fewest..=most) {
                if request_seconds < seconds {
                    requests.push(self.request(&prefix, request_seconds));
                }
                let pause = self.workload.visit_pause_seconds;
                request_seconds += exponential_gap_seconds(&mut self.random, pause);
            }
        }
        requests
    }

    /// Generates one request for each prefix in turn, repeatedly.
    fn rounds(&mut self, prefixes: &[Prefix], seconds: f64) -> Vec<TraceRequest> {
        let gap_seconds = 1.0 / self.workload.requests_per_second;
        let mut requests = Vec::new();
        let mut at_seconds = 0.0;
        while at_seconds < seconds {
            for prefix in prefixes {
                at_seconds += exponential_gap_seconds(&mut self.random, gap_seconds);
                requests.push(self.request(prefix, at_seconds));
            }
        }
        requests
    }

    /// Generates requests for one new prefix of the maximum length.
    fn surge(&mut self) -> Vec<TraceRequest> {
        let prefix = Prefix {
            account: account_name(1),
            name: "surge".to_string(),
            tokens: self.workload.tokens.1,
            weight: 1.0,
        };
        let rate = SURGE_FACTOR * self.workload.requests_per_second;
        let mut requests = Vec::new();
        let mut at_seconds = EVENT_START_SECONDS;
        while at_seconds < EVENT_START_SECONDS + SURGE_SECONDS {
            requests.push(self.request(&prefix, at_seconds));
            at_seconds += exponential_gap_seconds(&mut self.random, 1.0 / rate);
        }
        requests
    }

    /// Generates requests of one account, each for a new prefix.
    fn flood(&mut self) -> Vec<TraceRequest> {
        let rate = FLOOD_FACTOR * self.workload.requests_per_second;
        let mut requests = Vec::new();
        let mut at_seconds = EVENT_START_SECONDS;
        while at_seconds < EVENT_END_SECONDS {
            let prefix = Prefix {
                account: account_name(FLOODING_ACCOUNT),
                name: format!("flood-{}", requests.len()),
                tokens: block_aligned_length(&mut self.random, self.workload.tokens),
                weight: 1.0,
            };
            requests.push(self.request(&prefix, at_seconds));
            at_seconds += exponential_gap_seconds(&mut self.random, 1.0 / rate);
        }
        requests
    }
}

/// Returns the faults of a kind of trace.
pub(super) fn faults(kind: TraceKind, fleet: &Fleet) -> Vec<Fault> {
    let fault = |kind| Fault {
        at_ms: (EVENT_START_SECONDS * 1_000.0) as u64,
        until_ms: Some((EVENT_END_SECONDS * 1_000.0) as u64),
        kind,
        target: None,
        factor: None,
        age_ms: None,
    };
    let first_store = fleet.stores().next().map(|store| store.name.clone());
    let last_data_centre = fleet.data_centres.last().map(|data_centre| data_centre.name.clone());
    match kind {
        TraceKind::StoreDeath => {
            vec![Fault { target: first_store, ..fault(FaultKind::StoreDown) }]
        }
        TraceKind::SlowLink => vec![Fault { factor: Some(0.1), ..fault(FaultKind::SlowLink) }],
        TraceKind::WeightSwap => {
            let until_ms = Some(((EVENT_START_SECONDS + ROLLOUT_SECONDS) * 1_000.0) as u64);
            vec![Fault { until_ms, ..fault(FaultKind::WeightSwap) }]
        }
        TraceKind::DataCentreCut => {
            vec![Fault { target: last_data_centre, ..fault(FaultKind::DataCentreCut) }]
        }
        TraceKind::LateReports => vec![Fault {
            at_ms: 0,
            until_ms: None,
            age_ms: Some(5_000),
            ..fault(FaultKind::LateReports)
        }],
        _ => Vec::new(),
    }
}

/// Returns the outcomes that are expected of a kind of trace.
pub(super) fn outcomes(fleet: FleetName, kind: TraceKind) -> Vec<Outcome> {
    let first_token = Metric::FirstTokenP95Ms;
    let mut outcomes = vec![at_most(Metric::LinkPeakShare, link_budget(), None)];
    match kind {
        TraceKind::Ordinary | TraceKind::ReturnAfterEviction => {
            outcomes.extend(ordinary_outcomes(fleet));
        }
        TraceKind::Flood => {
            let account = Some(account_name(FLOODING_ACCOUNT));
            let measure = Metric::OtherAccountsP95Ms;
            let limit = at_most(measure, 1.1, Some(Reference::WithoutAccount));
            outcomes.push(Outcome { account, ..limit });
        }
        TraceKind::WeightSwap => {
            let loads = if fleet == FleetName::Viti { 3.0 } else { 2.0 };
            outcomes.push(at_most(Metric::LoadsAtOnce, loads, None));
            let during = Metric::DuringFaultsP95Ms;
            outcomes.push(at_most(during, 1.5, Some(Reference::BeforeFaults)));
        }
        TraceKind::StoreDeath
        | TraceKind::SlowLink
        | TraceKind::LateReports
        | TraceKind::Surge
        | TraceKind::DataCentreCut => {
            outcomes.push(at_most(first_token, 1.0, Some(Reference::BestBaseline)));
            let recomputed = Metric::RecomputedShare;
            outcomes.push(at_most(recomputed, 1.0, Some(Reference::BestBaseline)));
        }
    }
    outcomes
}

fn ordinary_outcomes(fleet: FleetName) -> Vec<Outcome> {
    let first_token = Metric::FirstTokenP95Ms;
    match fleet {
        FleetName::Bantay => vec![
            at_most(first_token, 0.5, Some(Reference::LeastLoaded)),
            at_most(first_token, 1.25, Some(Reference::Floor)),
        ],
        FleetName::Viti => vec![
            at_most(Metric::RecomputedShare, 1.15, Some(Reference::Floor)),
            at_most(Metric::LinkBytes, 1.0, Some(Reference::AlwaysImport)),
        ],
        FleetName::Planned => vec![at_most(first_token, 870.0, None)],
    }
}

/// Returns the share of the bandwidth of a link that transfers may use.
fn link_budget() -> f64 {
    skylarkpick_config::Serving::default().link_share_limit
}

fn at_most(measure: Metric, limit: f64, times: Option<Reference>) -> Outcome {
    Outcome { measure, at_most: Some(limit), at_least: None, times, account: None }
}
