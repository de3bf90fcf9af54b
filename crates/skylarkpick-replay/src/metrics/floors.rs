//! Lower bounds of the metrics, from an idle fleet with one shared cache.

use crate::trace::{Trace, TraceRequest};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Lower bounds of the metrics that no policy can go below.
///
/// Each request runs alone on an idle fleet. The caches of all runners count as one cache with
/// least-recently-used eviction. A prefix that is not in it any more is imported from the memory of a
/// store or computed again, whichever is faster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Floors {
    /// Median time to first token on an idle fleet.
    pub first_token_p50_ms: f64,
    /// 95th percentile.
    pub first_token_p95_ms: f64,
    /// 99th percentile.
    pub first_token_p99_ms: f64,
    /// Recomputed share if every prefix token is computed exactly once.
    pub recomputed_share: f64,
    /// Time to first token of each request on an idle fleet.
    #[serde(skip)]
    pub first_tokens: Vec<Duration>,
}

/// A cache of the size of all runner caches together, with least-recently-used eviction.
#[derive(Default)]
struct FleetCache {
    tokens_limit: u64,
    tokens: u64,
    last_use: BTreeMap<usize, u64>,
    by_last_use: BTreeMap<u64, (usize, u64)>,
    uses: u64,
}

impl FleetCache {
    fn holds(&self, prefix: usize) -> bool {
        self.last_use.contains_key(&prefix)
    }

    fn put(&mut self, prefix: usize, tokens: u64) {
        self.uses += 1;
        if let Some(before) = self.last_use.insert(prefix, self.uses)
            && let Some((_, held)) = self.by_last_use.remove(&before)
        {
            self.tokens -= held;
        }
        self.by_last_use.insert(self.uses, (prefix, tokens));
        self.tokens += tokens;
        while self.tokens > self.tokens_limit
            && let Some((_, (oldest, held))) = self.by_last_use.pop_first()
        {
            self.last_use.remove(&oldest);
            self.tokens -= held;
        }
    }
}

impl Floors {
    pub(crate) fn compute(trace: &Trace) -> Floors {
        let fleet = &trace.fleet;
        let mut prefix_numbers: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut computed: Vec<u64> = Vec::new();
        let mut cache = FleetCache {
            tokens_limit: fleet.cache_tokens * fleet.runners() as u64,
            ..FleetCache::default()
        };
        let mut first_tokens = Vec::new();
        for request in &trace.requests {
            let next = prefix_numbers.len();
            let number = *prefix_numbers.entry((&request.account, &request.prefix)).or_insert(next);
            if number == computed.len() {
                computed.push(0);
            }
            let saved_tokens = computed[number].min(request.prefix_tokens);
            first_tokens.push(fastest_first_token(
                trace,
                request,
                saved_tokens,
                cache.holds(number),
            ));
            computed[number] = computed[number].max(request.prefix_tokens);
            cache.put(number, computed[number]);
        }
        let prefix_tokens: u64 = trace.requests.iter().map(|request| request.prefix_tokens).sum();
        let computed_once: u64 = computed.iter().sum();
        let mut sorted = first_tokens.clone();
        sorted.sort_unstable();
        Floors {
            first_token_p50_ms: super::nearest_rank_ms(&sorted, 50),
            first_token_p95_ms: super::nearest_rank_ms(&sorted, 95),
            first_token_p99_ms: super::nearest_rank_ms(&sorted, 99),
            recomputed_share: computed_once as f64 / prefix_tokens.max(1) as f64,
            first_tokens,
        }
    }
}

fn fastest_first_token(
    trace: &Trace,
    request: &TraceRequest,
    saved_tokens: u64,
    cached: bool,
) -> Duration {
    let fleet = &trace.fleet;
    let prompt_tokens = request.prefix_tokens + request.question_tokens;
    let prefill = |tokens: u64| tokens as f64 / fleet.prefill_tokens_per_second;
    let link = fleet.stores().map(|store| store.link_bytes_per_second).fold(0.0, f64::max);
    let import = (saved_tokens * fleet.context_bytes_per_token) as f64 / link.max(1.0);
    let seconds = if cached {
        prefill(prompt_tokens - saved_tokens)
    } else if saved_tokens > 0 && link > 0.0 {
        prefill(prompt_tokens).min(import + prefill(prompt_tokens - saved_tokens))
    } else {
        prefill(prompt_tokens)
    };
    Duration::from_secs_f64(seconds + 2.0 * fleet.client_ms / 1_000.0)
}
