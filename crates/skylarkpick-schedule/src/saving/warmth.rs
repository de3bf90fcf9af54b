//! Which prefixes the runners' caches hold, and which of them are about to be evicted.

use skylarkpick_interface::{AccountId, PrefixKey, RunnerId};
use std::collections::{BTreeMap, HashMap};

/// Share of the newest value in the learned size of a cache.
const AVERAGE_SHARE: f64 = 0.2;

/// A prefix in a runner's cache that nobody has used for a while.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CoolingPrefix {
    pub(super) prefix_key: PrefixKey,
    pub(super) account: AccountId,
    pub(super) tokens: u64,
}

#[derive(Clone, Debug)]
struct HeldPrefix {
    last_use: u64,
    account: AccountId,
    tokens: u64,
    cooled: bool,
}

/// A runner's cache as far as uses and evictions tell.
#[derive(Debug, Default)]
struct RunnerCache {
    by_use: BTreeMap<u64, PrefixKey>,
    held: HashMap<PrefixKey, HeldPrefix>,
    /// Tokens that fit, learned from how deep in the order of use evictions strike.
    size_tokens: Option<f64>,
}

/// Which prefixes the runners' caches hold, and which of them are about to be evicted.
#[derive(Debug, Default)]
pub(super) struct Warmth {
    runners: BTreeMap<RunnerId, RunnerCache>,
    /// Runners in whose caches a prefix was used lately.
    warm_at: HashMap<PrefixKey, u32>,
    uses: u64,
}

impl Warmth {
    /// Whether some runner's cache will keep the prefix for a while.
    pub(super) fn is_warm(&self, prefix_key: PrefixKey) -> bool {
        self.warm_at.contains_key(&prefix_key)
    }

    /// Notes a use; gives the prefixes that have come near the end of the runner's cache, which
    /// is where less than `1 - near_eviction_share` of it is left behind them.
    pub(super) fn note_use(
        &mut self,
        runner: &str,
        prefix_key: PrefixKey,
        account: &str,
        tokens: u64,
        near_eviction_share: f64,
    ) -> Vec<CoolingPrefix> {
        self.uses += 1;
        self.forget(runner, prefix_key);
        let held =
            HeldPrefix { last_use: self.uses, account: account.to_string(), tokens, cooled: false };
        let cache = self.runners.entry(runner.to_string()).or_default();
        cache.by_use.insert(self.uses, prefix_key);
        cache.held.insert(prefix_key, held);
        *self.warm_at.entry(prefix_key).or_default() += 1;
        let cooling = cache.cool(near_eviction_share);
        for prefix in &cooling {
            self.lose_warmth(prefix.prefix_key);
        }
        cooling
    }

    /// Notes that a runner has evicted a prefix, and learns the size of its cache.
    pub(super) fn note_evicted(&mut self, runner: &str, prefix_key: PrefixKey) {
        if let Some(cache) = self.runners.get_mut(runner)
            && let Some(depth) = cache.depth(prefix_key)
        {
            let size = cache.size_tokens.unwrap_or(depth);
            cache.size_tokens = Some(size + AVERAGE_SHARE * (depth - size));
        }
        self.forget(runner, prefix_key);
    }

    fn forget(&mut self, runner: &str, prefix_key: PrefixKey) {
        let Some(cache) = self.runners.get_mut(runner) else { return };
        let Some(held) = cache.held.remove(&prefix_key) else { return };
        cache.by_use.remove(&held.last_use);
        if !held.cooled {
            self.lose_warmth(prefix_key);
        }
    }

    fn lose_warmth(&mut self, prefix_key: PrefixKey) {
        if let Some(count) = self.warm_at.get_mut(&prefix_key) {
            *count -= 1;
            if *count == 0 {
                self.warm_at.remove(&prefix_key);
            }
        }
    }
}

impl RunnerCache {
    /// Tokens of a prefix and of those used since.
    fn depth(&self, prefix_key: PrefixKey) -> Option<f64> {
        let last_use = self.held.get(&prefix_key)?.last_use;
        let newer = self.by_use.range(last_use..).map(|(_, key)| self.held[key].tokens);
        Some(newer.sum::<u64>() as f64)
    }

    fn cool(&mut self, near_eviction_share: f64) -> Vec<CoolingPrefix> {
        let Some(size_tokens) = self.size_tokens else { return Vec::new() };
        let mut depth = 0.0;
        let mut cooling = Vec::new();
        for (place, key) in self.by_use.values().rev().enumerate() {
            let Some(held) = self.held.get_mut(key) else { continue };
            depth += held.tokens as f64;
            let is_newest = place == 0;
            if depth > near_eviction_share * size_tokens && !is_newest && !held.cooled {
                held.cooled = true;
                cooling.push(CoolingPrefix {
                    prefix_key: *key,
                    account: held.account.clone(),
                    tokens: held.tokens,
                });
            }
        }
        cooling
    }
}
