//! What happens in each kind of trace.

use super::{
    FleetName, TraceKind,
    arrivals::{Callers, Prefix, account_name, exponential, length, pick},
};
use crate::{
    outcome::{Metric, Outcome, Reference},
    trace::{Fault, FaultKind, Fleet, TraceRequest},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Beginning of what happens, in seconds.
const EVENT_BEGIN_SECONDS: f64 = 1_200.0;
/// End of what happens, in seconds.
const EVENT_END_SECONDS: f64 = 1_800.0;
/// Time from the begin of a roll-out that counts as during it, in seconds.
const ROLL_OUT_SECONDS: f64 = 60.0;
/// Length of a trace in which something happens, in seconds.
const EVENT_TRACE_SECONDS: f64 = 2_400.0;
/// Requests a second for the prefix of a surge, in proportion to the usual load.
const SURGE_FACTOR: f64 = 8.0;
/// Length of a surge, in seconds.
const SURGE_SECONDS: f64 = 30.0;
/// Load of the flooding account in proportion to the whole usual load.
const FLOOD_FACTOR: f64 = 3.0;
/// Account that floods.
const FLOODING_ACCOUNT: usize = 0;

/// What a kind of trace is about.
pub(super) fn describe(kind: TraceKind) -> &'static str {
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

/// Requests of a kind, by arrival.
pub(super) fn requests(
    callers: &Callers,
    kind: TraceKind,
    model: &str,
    seed: u64,
) -> Vec<TraceRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let prefixes = callers.prefixes(&mut random);
    let mut source = Source { callers: *callers, random, model: model.to_string() };
    let is_ordinary = matches!(kind, TraceKind::Ordinary | TraceKind::LateReports);
    let seconds =
        if is_ordinary { callers.seconds } else { callers.seconds.min(EVENT_TRACE_SECONDS) };
    let mut requests = match kind {
        TraceKind::ReturnAfterEviction => source.rounds(&prefixes, seconds),
        _ => source.visits(&prefixes, seconds, callers.requests_per_second),
    };
    match kind {
        TraceKind::Surge => requests.extend(source.surge()),
        TraceKind::Flood => requests.extend(source.flood()),
        _ => {}
    }
    requests.sort_by_key(|request| request.at);
    requests
}

struct Source {
    callers: Callers,
    random: SmallRng,
    model: String,
}

impl Source {
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

    /// Visits to prefixes: a few requests each, then a long gap.
    fn visits(&mut self, prefixes: &[Prefix], seconds: f64, rate: f64) -> Vec<TraceRequest> {
        let (fewest, most) = self.callers.visit_requests;
        let visit_gap_seconds = (fewest + most) as f64 / 2.0 / rate;
        let mut requests = Vec::new();
        let mut at_seconds = 0.0;
        while at_seconds < seconds {
            at_seconds += exponential(&mut self.random, visit_gap_seconds);
            let prefix = pick(&mut self.random, prefixes).clone();
            let mut request_seconds = at_seconds;
            for _ in 0..self.random.random_range(fewest..=most) {
                if request_seconds < seconds {
                    requests.push(self.request(&prefix, request_seconds));
                }
                let pause = self.callers.visit_pause_seconds;
                request_seconds += exponential(&mut self.random, pause);
            }
        }
        requests
    }

    /// Every prefix in turn, over and over, one request each.
    fn rounds(&mut self, prefixes: &[Prefix], seconds: f64) -> Vec<TraceRequest> {
        let gap_seconds = 1.0 / self.callers.requests_per_second;
        let mut requests = Vec::new();
        let mut at_seconds = 0.0;
        while at_seconds < seconds {
            for prefix in prefixes {
                at_seconds += exponential(&mut self.random, gap_seconds);
                requests.push(self.request(prefix, at_seconds));
            }
        }
        requests
    }

    fn surge(&mut self) -> Vec<TraceRequest> {
        let prefix = Prefix {
            account: account_name(1),
            name: "surge".to_string(),
            tokens: self.callers.tokens.1,
            weight: 1.0,
        };
        let rate = SURGE_FACTOR * self.callers.requests_per_second;
        let mut requests = Vec::new();
        let mut at_seconds = EVENT_BEGIN_SECONDS;
        while at_seconds < EVENT_BEGIN_SECONDS + SURGE_SECONDS {
            requests.push(self.request(&prefix, at_seconds));
            at_seconds += exponential(&mut self.random, 1.0 / rate);
        }
        requests
    }

    /// Requests of one account, each about a new prefix.
    fn flood(&mut self) -> Vec<TraceRequest> {
        let rate = FLOOD_FACTOR * self.callers.requests_per_second;
        let mut requests = Vec::new();
        let mut at_seconds = EVENT_BEGIN_SECONDS;
        while at_seconds < EVENT_END_SECONDS {
            let prefix = Prefix {
                account: account_name(FLOODING_ACCOUNT),
                name: format!("flood-{}", requests.len()),
                tokens: length(&mut self.random, self.callers.tokens),
                weight: 1.0,
            };
            requests.push(self.request(&prefix, at_seconds));
            at_seconds += exponential(&mut self.random, 1.0 / rate);
        }
        requests
    }
}

/// Faults of a kind.
pub(super) fn faults(kind: TraceKind, fleet: &Fleet) -> Vec<Fault> {
    let fault = |kind| Fault {
        at_ms: (EVENT_BEGIN_SECONDS * 1_000.0) as u64,
        until_ms: Some((EVENT_END_SECONDS * 1_000.0) as u64),
        kind,
        target: None,
        factor: None,
        age_ms: None,
    };
    let first_store = fleet.stores().next().map(|store| store.name.clone());
    let last_centre = fleet.data_centres.last().map(|centre| centre.name.clone());
    match kind {
        TraceKind::StoreDeath => {
            vec![Fault { target: first_store, ..fault(FaultKind::StoreDown) }]
        }
        TraceKind::SlowLink => vec![Fault { factor: Some(0.1), ..fault(FaultKind::SlowLink) }],
        TraceKind::WeightSwap => {
            let until_ms = Some(((EVENT_BEGIN_SECONDS + ROLL_OUT_SECONDS) * 1_000.0) as u64);
            vec![Fault { until_ms, ..fault(FaultKind::WeightSwap) }]
        }
        TraceKind::DataCentreCut => {
            vec![Fault { target: last_centre, ..fault(FaultKind::DataCentreCut) }]
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

/// Outcomes that have to hold.
pub(super) fn outcomes(fleet: FleetName, kind: TraceKind) -> Vec<Outcome> {
    let first_token = Metric::FirstTokenP95Ms;
    let mut outcomes = vec![at_most(Metric::LinkPeakShare, link_budget(), None)];
    match kind {
        TraceKind::Ordinary | TraceKind::ReturnAfterEviction => {
            outcomes.extend(usual_outcomes(fleet));
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

fn usual_outcomes(fleet: FleetName) -> Vec<Outcome> {
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

/// Share of a link that transfers may take.
fn link_budget() -> f64 {
    skylarkpick_config::Serving::default().link_share_limit
}

fn at_most(measure: Metric, limit: f64, times: Option<Reference>) -> Outcome {
    Outcome { measure, at_most: Some(limit), at_least: None, times, account: None }
}
