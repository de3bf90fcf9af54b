//! Figures of a replay and the floors under them.

mod floors;

pub use floors::Floors;

use crate::{
    engine::{Played, RequestRecord},
    trace::Trace,
};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Window over which the peak use of a link is measured.
const LINK_WINDOW: Duration = Duration::from_secs(10);

/// Figures of one policy on one trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Metrics {
    /// Requests in all.
    pub requests: usize,
    /// 50 in 100 have their first token within this.
    pub first_token_p50_ms: f64,
    /// 95 in 100.
    pub first_token_p95_ms: f64,
    /// 99 in 100.
    pub first_token_p99_ms: f64,
    /// 95 in 100 of the requests that arrive while a fault is there.
    pub during_faults_p95_ms: f64,
    /// 95 in 100 of those that arrive before the first fault.
    pub before_faults_p95_ms: f64,
    /// 95 in 100 by account.
    pub accounts_p95_ms: BTreeMap<String, f64>,
    /// Prefix tokens computed over prefix tokens asked for.
    pub recomputed_share: f64,
    /// Bytes over all links.
    pub link_bytes: u64,
    /// Largest share of one link used in a window of ten seconds.
    pub link_peak_share: f64,
    /// Requests refused or given up.
    pub refusals: usize,
    /// Requests refused or given up by account, where there are any.
    pub accounts_refusals: BTreeMap<String, usize>,
    /// Jain's index over the accounts with demand.
    pub fairness: f64,
    /// Loads of weights under way at once.
    pub loads_at_once: usize,
}

impl Metrics {
    pub(crate) fn take(trace: &Trace, played: &Played, floors: &Floors) -> Metrics {
        let records = &played.records;
        let all = |_: &RequestRecord| true;
        let in_fault =
            |record: &RequestRecord| trace.faults.iter().any(|fault| fault.covers(record.at));
        let first_fault = trace.faults.iter().map(|fault| fault.at_ms).min();
        let before = |record: &RequestRecord| {
            first_fault.is_none_or(|at_ms| record.at < Duration::from_millis(at_ms))
        };
        let prefix_tokens: u64 = trace.requests.iter().map(|request| request.prefix_tokens).sum();
        let computed: u64 = records.iter().map(|record| record.computed_prefix_tokens).sum();
        Metrics {
            requests: records.len(),
            first_token_p50_ms: percentile(records, 50, all),
            first_token_p95_ms: percentile(records, 95, all),
            first_token_p99_ms: percentile(records, 99, all),
            during_faults_p95_ms: percentile(records, 95, in_fault),
            before_faults_p95_ms: percentile(records, 95, before),
            accounts_p95_ms: accounts_p95(trace, records),
            recomputed_share: computed as f64 / prefix_tokens.max(1) as f64,
            link_bytes: played.carried.iter().flatten().map(|(_, _, bytes)| bytes).sum(),
            link_peak_share: link_peak_share(trace, played),
            refusals: records.iter().filter(|record| record.first_token.is_none()).count(),
            accounts_refusals: accounts_refusals(trace, records),
            fairness: fairness(trace, records, floors),
            loads_at_once: played.loads_at_once,
        }
    }

    /// 95 in 100 of the requests of every account but one, over all of them together.
    pub(crate) fn others_p95_ms(trace: &Trace, played: &Played, account: &str) -> f64 {
        let others = trace.requests.iter().zip(&played.records);
        let others = others.filter(|(request, _)| request.account != account);
        let others: Vec<RequestRecord> = others.map(|(_, record)| record.clone()).collect();
        percentile(&others, 95, |_| true)
    }
}

/// Nearest-rank percentile of the first-token times in milliseconds.
fn percentile(
    records: &[RequestRecord],
    percent: usize,
    wanted: impl Fn(&RequestRecord) -> bool,
) -> f64 {
    let wanted = records.iter().filter(|record| wanted(record));
    let mut times: Vec<Duration> = wanted.filter_map(|record| record.first_token).collect();
    times.sort_unstable();
    nearest_rank_ms(&times, percent)
}

fn nearest_rank_ms(sorted: &[Duration], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    let time = rank.checked_sub(1).and_then(|place| sorted.get(place));
    time.map_or(0.0, |time| time.as_micros() as f64 / 1_000.0)
}

fn accounts_p95(trace: &Trace, records: &[RequestRecord]) -> BTreeMap<String, f64> {
    let mut times: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
    for (request, record) in trace.requests.iter().zip(records) {
        times.entry(request.account.clone()).or_default().extend(record.first_token);
    }
    times.values_mut().for_each(|times| times.sort_unstable());
    times.into_iter().map(|(account, times)| (account, nearest_rank_ms(&times, 95))).collect()
}

fn accounts_refusals(trace: &Trace, records: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut refusals: BTreeMap<String, usize> = BTreeMap::new();
    let requests = trace.requests.iter().zip(records);
    for (request, _) in requests.filter(|(_, record)| record.first_token.is_none()) {
        *refusals.entry(request.account.clone()).or_default() += 1;
    }
    refusals
}

/// Jain's index, (sum x)^2 / (n sum x^2), of x = time on an idle fleet / time found, over the
/// accounts with demand; requests without a first token lower an account's x in proportion.
fn fairness(trace: &Trace, records: &[RequestRecord], floors: &Floors) -> f64 {
    let mut accounts: BTreeMap<&str, (f64, f64, f64, f64)> = BTreeMap::new();
    let requests = trace.requests.iter().zip(records).zip(&floors.first_tokens);
    for ((request, record), floor) in requests {
        let sums = accounts.entry(&request.account).or_default();
        sums.0 += 1.0;
        if let Some(time) = record.first_token {
            sums.1 += 1.0;
            sums.2 += floor.as_secs_f64();
            sums.3 += time.as_secs_f64();
        }
    }
    let share = |(asked, answered, floor, found): &(f64, f64, f64, f64)| {
        if *found > 0.0 { floor / found * answered / asked } else { 0.0 }
    };
    let shares: Vec<f64> = accounts.values().map(share).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 0.0 }
}

/// Largest share of one link used in any of the windows that begin at multiples of its length.
fn link_peak_share(trace: &Trace, played: &Played) -> f64 {
    let mut peak: f64 = 0.0;
    for (store, carried) in trace.fleet.stores().zip(&played.carried) {
        let mut windows: BTreeMap<u64, f64> = BTreeMap::new();
        for (begun_at, ended_at, bytes) in carried {
            spread(&mut windows, *begun_at, *ended_at, *bytes as f64);
        }
        let fits = store.link_bytes_per_second * LINK_WINDOW.as_secs_f64();
        let busiest = windows.values().copied().fold(0.0, f64::max);
        peak = peak.max(busiest / fits);
    }
    peak
}

/// Spreads the bytes of a transfer evenly over the windows that it touches.
fn spread(windows: &mut BTreeMap<u64, f64>, begun_at: Duration, ended_at: Duration, bytes: f64) {
    let length = LINK_WINDOW.as_secs_f64();
    let (begin, end) = (begun_at.as_secs_f64(), ended_at.as_secs_f64());
    let whole = (end - begin).max(1e-9);
    for window in (begin / length) as u64..=(end / length) as u64 {
        let from = begin.max(window as f64 * length);
        let to = end.min((window + 1) as f64 * length);
        *windows.entry(window).or_default() += bytes * ((to - from).max(0.0) / whole);
    }
}
