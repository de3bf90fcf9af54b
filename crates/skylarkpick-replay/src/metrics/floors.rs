//! Floors that no policy can go below.

use crate::trace::{Trace, TraceRequest};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Floors that no policy can go below.
///
/// An idle fleet: each request alone meets idle runners and links. A prefix computed before is
/// cached if a cache of the whole fleet's size, least recently used out first, still has it;
/// otherwise it is imported from a store's memory or computed, whichever is faster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Floors {
    /// 50 in 100 first tokens on an idle fleet come within this.
    pub first_token_p50_ms: f64,
    /// 95 in 100.
    pub first_token_p95_ms: f64,
    /// 99 in 100.
    pub first_token_p99_ms: f64,
    /// Share of prefix tokens computed when each is computed once.
    pub recomputed_share: f64,
    /// Time to first token of each request on an idle fleet.
    #[serde(skip)]
    pub first_tokens: Vec<Duration>,
}

/// A cache of the whole fleet's size.
#[derive(Default)]
struct FleetCache {
    tokens_limit: u64,
    tokens: u64,
    last_use: BTreeMap<usize, u64>,
    by_use: BTreeMap<u64, (usize, u64)>,
    uses: u64,
}

impl FleetCache {
    fn holds(&self, prefix: usize) -> bool {
        self.last_use.contains_key(&prefix)
    }

    fn put(&mut self, prefix: usize, tokens: u64) {
        self.uses += 1;
        if let Some(before) = self.last_use.insert(prefix, self.uses)
            && let Some((_, held)) = self.by_use.remove(&before)
        {
            self.tokens -= held;
        }
        self.by_use.insert(self.uses, (prefix, tokens));
        self.tokens += tokens;
        while self.tokens > self.tokens_limit
            && let Some((_, (oldest, held))) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
            self.tokens -= held;
        }
    }
}

impl Floors {
    pub(crate) fn of(trace: &Trace) -> Floors {
        let fleet = &trace.fleet;
        let mut numbers: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut computed: Vec<u64> = Vec::new();
        let mut cache = FleetCache {
            tokens_limit: fleet.cache_tokens * fleet.runners() as u64,
            ..FleetCache::default()
        };
        let mut first_tokens = Vec::new();
        for request in &trace.requests {
            let next = numbers.len();
            let number = *numbers.entry((&request.account, &request.prefix)).or_insert(next);
            if number == computed.len() {
                computed.push(0);
            }
            let known = computed[number].min(request.prefix_tokens);
            first_tokens.push(fastest(trace, request, known, cache.holds(number)));
            computed[number] = computed[number].max(request.prefix_tokens);
            cache.put(number, computed[number]);
        }
        let asked: u64 = trace.requests.iter().map(|request| request.prefix_tokens).sum();
        let once: u64 = computed.iter().sum();
        let mut sorted = first_tokens.clone();
        sorted.sort_unstable();
        Floors {
            first_token_p50_ms: super::nearest_rank_ms(&sorted, 50),
            first_token_p95_ms: super::nearest_rank_ms(&sorted, 95),
            first_token_p99_ms: super::nearest_rank_ms(&sorted, 99),
            recomputed_share: once as f64 / asked.max(1) as f64,
            first_tokens,
        }
    }
}

fn fastest(trace: &Trace, request: &TraceRequest, known: u64, cached: bool) -> Duration {
    let fleet = &trace.fleet;
    let whole = request.prefix_tokens + request.question_tokens;
    let prefill = |tokens: u64| tokens as f64 / fleet.prefill_tokens_per_second;
    let link = fleet.stores().map(|store| store.link_bytes_per_second).fold(0.0, f64::max);
    let import = (known * fleet.context_bytes_per_token) as f64 / link.max(1.0);
    let seconds = if cached {
        prefill(whole - known)
    } else if known > 0 && link > 0.0 {
        prefill(whole).min(import + prefill(whole - known))
    } else {
        prefill(whole)
    };
    Duration::from_secs_f64(seconds + 2.0 * fleet.client_ms / 1_000.0)
}
