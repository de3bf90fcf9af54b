//! Metrics of a simulation, and the floors that no policy can go below.

mod floors;

pub use floors::Floors;

use crate::{
    engine::{RequestRecord, SimulationResult},
    trace::Trace,
};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Window over which the peak utilization of a link is measured.
const LINK_WINDOW: Duration = Duration::from_secs(10);

/// Metrics of one policy on one trace. Percentiles are of the time to first token, and are 0 if
/// there are no requests to compute them from.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Metrics {
    /// Number of requests.
    pub requests: usize,
    /// Median time to first token.
    pub first_token_p50_ms: f64,
    /// 95th percentile.
    pub first_token_p95_ms: f64,
    /// 99th percentile.
    pub first_token_p99_ms: f64,
    /// 95th percentile over the requests that arrive during a fault.
    pub during_faults_p95_ms: f64,
    /// 95th percentile over the requests that arrive before the first fault.
    pub before_faults_p95_ms: f64,
    /// 95th percentile by account.
    pub accounts_p95_ms: BTreeMap<String, f64>,
    /// Computed prefix tokens divided by requested prefix tokens.
    pub recomputed_share: f64,
    /// Bytes sent over all links.
    pub link_bytes: u64,
    /// Largest utilization of one link in a window of ten seconds, from 0 to 1.
    pub link_peak_share: f64,
    /// Requests that were refused or timed out.
    pub refusals: usize,
    /// Requests that were refused or timed out, by account; accounts without any are left out.
    pub accounts_refusals: BTreeMap<String, usize>,
    /// Jain's fairness index over the accounts that sent requests.
    pub fairness: f64,
    /// Largest number of weight loads in progress at once.
    pub loads_at_once: usize,
}

impl Metrics {
    pub(crate) fn compute(trace: &Trace, result: &SimulationResult, floors: &Floors) -> Metrics {
        let records = &result.records;
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
            link_bytes: result.link_transfers.iter().flatten().map(|(_, _, bytes)| bytes).sum(),
            link_peak_share: link_peak_share(trace, result),
            refusals: records.iter().filter(|record| record.first_token.is_none()).count(),
            accounts_refusals: accounts_refusals(trace, records),
            fairness: fairness(trace, records, floors),
            loads_at_once: result.loads_at_once,
        }
    }

    /// Returns the 95th percentile over the requests of all accounts except one.
    pub(crate) fn others_p95_ms(trace: &Trace, result: &SimulationResult, account: &str) -> f64 {
        let others = trace.requests.iter().zip(&result.records);
        let others = others.filter(|(request, _)| request.account != account);
        let others: Vec<RequestRecord> = others.map(|(_, record)| record.clone()).collect();
        percentile(&others, 95, |_| true)
    }
}

/// Returns the nearest-rank percentile of the time to first token, in milliseconds.
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
    let time = rank.checked_sub(1).and_then(|index| sorted.get(index));
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

/// Returns Jain's fairness index, (sum x)^2 / (n sum x^2), over the accounts that sent requests,
/// with x = time to first token on an idle fleet / measured time to first token. Requests without a
/// first token lower the x of their account in proportion.
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
    let share = |(requests, responses, floor, found): &(f64, f64, f64, f64)| {
        if *found > 0.0 { floor / found * responses / requests } else { 0.0 }
    };
    let shares: Vec<f64> = accounts.values().map(share).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 0.0 }
}

/// Returns the largest utilization of one link in any window. Windows start at multiples of their
/// length.
fn link_peak_share(trace: &Trace, result: &SimulationResult) -> f64 {
    let mut peak: f64 = 0.0;
    for (store, link_transfers) in trace.fleet.stores().zip(&result.link_transfers) {
        let mut windows: BTreeMap<u64, f64> = BTreeMap::new();
        for (started_at, ended_at, bytes) in link_transfers {
            spread_over_windows(&mut windows, *started_at, *ended_at, *bytes as f64);
        }
        let capacity_bytes = store.link_bytes_per_second * LINK_WINDOW.as_secs_f64();
        let busiest = windows.values().copied().fold(0.0, f64::max);
        peak = peak.max(busiest / capacity_bytes);
    }
    peak
}

/// Adds the bytes of a transfer to the windows that it overlaps, in proportion to the overlap.
fn spread_over_windows(
    windows: &mut BTreeMap<u64, f64>,
    started_at: Duration,
    ended_at: Duration,
    bytes: f64,
) {
    let length = LINK_WINDOW.as_secs_f64();
    let (begin, end) = (started_at.as_secs_f64(), ended_at.as_secs_f64());
    let duration = (end - begin).max(1e-9);
    for window in (begin / length) as u64..=(end / length) as u64 {
        let from = begin.max(window as f64 * length);
        let to = end.min((window + 1) as f64 * length);
        *windows.entry(window).or_default() += bytes * ((to - from).max(0.0) / duration);
    }
}
