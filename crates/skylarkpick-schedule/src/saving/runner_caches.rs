//! Model of the runners' caches: which prefixes they hold, and which are about to be evicted.

use skylarkpick_interface::{AccountId, PrefixKey, RunnerId};
use std::collections::{BTreeMap, HashMap};

/// Weight of a new value in the moving average of a cache's size.
const AVERAGE_SHARE: f64 = 0.2;

/// A prefix in the cache of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CachedPrefix {
    pub(super) prefix_key: PrefixKey,
    pub(super) account: AccountId,
    pub(super) tokens: u64,
}

#[derive(Clone, Debug)]
struct HeldPrefix {
    last_use: u64,
    account: AccountId,
    tokens: u64,
    is_near_eviction: bool,
}

/// Model of one runner's cache, derived from the uses and evictions that were observed.
#[derive(Debug, Default)]
struct RunnerCache {
    by_use: BTreeMap<u64, PrefixKey>,
    held: HashMap<PrefixKey, HeldPrefix>,
    /// Estimated capacity: the moving average of the depth, in order of use, at which the runner
    /// evicts.
    size_tokens: Option<f64>,
}

/// Model of the runners' caches.
#[derive(Debug, Default)]
pub(super) struct RunnerCaches {
    runners: BTreeMap<RunnerId, RunnerCache>,
    /// For each prefix, the runners that hold it and are not about to evict it.
    stable_holders: HashMap<PrefixKey, u32>,
    uses: u64,
}

impl RunnerCaches {
    /// Returns whether some runner holds the prefix and is not about to evict it.
    pub(super) fn has_stable_holder(&self, prefix_key: PrefixKey) -> bool {
        self.stable_holders.contains_key(&prefix_key)
    }

    /// Records a use. Returns the prefixes that have become about to be evicted: those beyond
    /// `near_eviction_share` of the runner's cache, in order of last use.
    pub(super) fn note_use(
        &mut self,
        runner: &str,
        prefix_key: PrefixKey,
        account: &str,
        tokens: u64,
        near_eviction_share: f64,
    ) -> Vec<CachedPrefix> {
        self.uses += 1;
        self.remove_prefix(runner, prefix_key);
        let held = HeldPrefix {
            last_use: self.uses,
            account: account.to_string(),
            tokens,
            is_near_eviction: false,
        };
        let cache = self.runners.entry(runner.to_string()).or_default();
        cache.by_use.insert(self.uses, prefix_key);
        cache.held.insert(prefix_key, held);
        *self.stable_holders.entry(prefix_key).or_default() += 1;
        let near_eviction = cache.mark_near_eviction(near_eviction_share);
        for prefix in &near_eviction {
            self.remove_stable_holder(prefix.prefix_key);
        }
        near_eviction
    }

    /// Records that a runner has evicted a prefix, and updates the estimated size of its cache.
    pub(super) fn note_evicted(&mut self, runner: &str, prefix_key: PrefixKey) {
        if let Some(cache) = self.runners.get_mut(runner)
            && let Some(depth) = cache.depth(prefix_key)
        {
            let size = cache.size_tokens.unwrap_or(depth);
            cache.size_tokens = Some(size + AVERAGE_SHARE * (depth - size));
        }
        self.remove_prefix(runner, prefix_key);
    }

    fn remove_prefix(&mut self, runner: &str, prefix_key: PrefixKey) {
        let Some(cache) = self.runners.get_mut(runner) else { return };
        let Some(held) = cache.held.remove(&prefix_key) else { return };
        cache.by_use.remove(&held.last_use);
        if !held.is_near_eviction {
            self.remove_stable_holder(prefix_key);
        }
    }

    fn remove_stable_holder(&mut self, prefix_key: PrefixKey) {
        if let Some(count) = self.stable_holders.get_mut(&prefix_key) {
            *count -= 1;
            if *count == 0 {
                self.stable_holders.remove(&prefix_key);
            }
        }
    }
}

impl RunnerCache {
    /// Returns the tokens of a prefix and of all prefixes used after it.
    fn depth(&self, prefix_key: PrefixKey) -> Option<f64> {
        let last_use = self.held.get(&prefix_key)?.last_use;
        let newer = self.by_use.range(last_use..).map(|(_, key)| self.held[key].tokens);
        Some(newer.sum::<u64>() as f64)
    }

    /// Marks the prefixes that have become about to be evicted, and returns them.
    fn mark_near_eviction(&mut self, near_eviction_share: f64) -> Vec<CachedPrefix> {
        let Some(size_tokens) = self.size_tokens else { return Vec::new() };
        let mut depth = 0.0;
        let mut near_eviction = Vec::new();
        for (index, key) in self.by_use.values().rev().enumerate() {
            let Some(held) = self.held.get_mut(key) else { continue };
            depth += held.tokens as f64;
            let is_newest = index == 0;
            if depth > near_eviction_share * size_tokens && !is_newest && !held.is_near_eviction {
                held.is_near_eviction = true;
                near_eviction.push(CachedPrefix {
                    prefix_key: *key,
                    account: held.account.clone(),
                    tokens: held.tokens,
                });
            }
        }
        near_eviction
    }
}
