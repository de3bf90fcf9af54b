//! The saving policy: what to save, where, and what to evict.

use super::{
    reuse::{ReuseStatistics, UseHistory},
    runner_caches::{CachedPrefix, RunnerCaches},
    types::{SaveDecision, SavedEntry, SavingSettings, StoreCapacity},
};
use crate::route::Backlog;
use skylarkpick_interface::{AccountId, PrefixKey, StoreId, StoreTier};
use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

const GIGABYTE_BYTES: f64 = 1e9;
/// Uses of prefixes between two sweeps of the history for expired prefixes.
const SWEEP_INTERVAL_USES: u64 = 1_024;
/// Queued exports of a link, in seconds, from which on no more exports start.
const EXPORT_QUEUE_LIMIT_SECONDS: f64 = 4.0;

/// Factor on the value of a copy whose prefix some runner holds and is not about to evict.
const HELD_VALUE_FACTOR: f64 = 0.01;

/// Decides which prefixes are saved where, and which copies are evicted.
///
/// The value of a copy is the probability that the prefix is used again, multiplied by the time to
/// compute it; the cost is its size. Free of I/O: the caller passes in the uses and the time.
#[derive(Debug)]
pub struct SavingPolicy {
    settings: SavingSettings,
    prefixes: HashMap<PrefixKey, UseHistory>,
    reuse: ReuseStatistics,
    stores: BTreeMap<StoreId, StoreCapacity>,
    exports: BTreeMap<StoreId, Backlog>,
    saved: HashMap<PrefixKey, Vec<(StoreId, StoreTier)>>,
    runner_caches: RunnerCaches,
    uses_since_sweep: u64,
}

impl SavingPolicy {
    /// Opens a policy without any history.
    ///
    /// ```
    /// use skylarkpick_schedule::{SavingPolicy, SavingSettings};
    /// use std::time::Instant;
    /// let mut policy = SavingPolicy::open(SavingSettings::default());
    /// assert!(policy.on_use("runner", 1, "account", 4_096, Instant::now()).is_empty());
    /// ```
    pub fn open(settings: SavingSettings) -> SavingPolicy {
        SavingPolicy {
            settings,
            prefixes: HashMap::new(),
            reuse: ReuseStatistics::open(),
            stores: BTreeMap::new(),
            exports: BTreeMap::new(),
            saved: HashMap::new(),
            runner_caches: RunnerCaches::default(),
            uses_since_sweep: 0,
        }
    }

    /// Sets the capacity and the link of a store. Stores that were never set receive no copies.
    pub fn set_store(&mut self, store: StoreCapacity) {
        self.stores.insert(store.store.clone(), store);
    }

    /// Records that a store holds a copy, so that it isn't saved there again.
    pub fn note_saved(&mut self, prefix_key: PrefixKey, store: &str, tier: StoreTier) {
        let copies = self.saved.entry(prefix_key).or_default();
        let copy = (store.to_string(), tier);
        if !copies.contains(&copy) {
            copies.push(copy);
        }
    }

    /// Records that a store no longer holds a copy, or that saving it failed.
    pub fn note_copy_removed(&mut self, prefix_key: PrefixKey, store: &str, tier: StoreTier) {
        if let Some(copies) = self.saved.get_mut(&prefix_key) {
            copies.retain(|(known, known_tier)| known != store || *known_tier != tier);
            if copies.is_empty() {
                self.saved.remove(&prefix_key);
            }
        }
    }

    /// Records that a store has lost all its copies.
    pub fn note_store_emptied(&mut self, store: &str) {
        self.saved.retain(|_, stores| {
            stores.retain(|(known, _)| known != store);
            !stores.is_empty()
        });
    }

    /// Records a use of a prefix, identified by its last block, which the runner holds afterwards.
    /// Returns the copies to save, which count as started.
    pub fn on_use(
        &mut self,
        runner: &str,
        prefix_key: PrefixKey,
        account: &str,
        tokens: u64,
        now: Instant,
    ) -> Vec<SaveDecision> {
        let uses = self.note_use(prefix_key, now);
        self.sweep(now);
        let share = self.settings.near_eviction_share;
        let near_eviction = self.runner_caches.note_use(runner, prefix_key, account, tokens, share);
        let mut decisions = Vec::new();
        if uses >= self.settings.uses_floor {
            let used = CachedPrefix { prefix_key, account: account.to_string(), tokens };
            let tier = self.settings.saves_near_eviction.then_some(StoreTier::Disk);
            decisions.extend(self.save(runner, used, tier, now));
        }
        if self.settings.saves_near_eviction {
            for prefix in near_eviction {
                decisions.extend(self.save(runner, prefix, Some(StoreTier::Memory), now));
            }
        }
        decisions
    }

    /// Records that a runner has evicted a prefix, as its cache events reported.
    pub fn on_evicted(&mut self, runner: &str, prefix_key: PrefixKey) {
        self.runner_caches.note_evicted(runner, prefix_key);
    }

    /// Decides whether to save a prefix: to the wanted tier, or to any tier if none is given.
    fn save(
        &mut self,
        runner: &str,
        prefix: CachedPrefix,
        wanted_tier: Option<StoreTier>,
        now: Instant,
    ) -> Vec<SaveDecision> {
        let CachedPrefix { prefix_key, account, tokens } = prefix;
        let value_seconds = self.value_seconds(prefix_key, tokens, now);
        let size_bytes = tokens * self.settings.context_bytes_per_token;
        let per_gigabyte = value_seconds / (size_bytes as f64 / GIGABYTE_BYTES).max(1e-9);
        let is_worth_it = per_gigabyte >= self.settings.seconds_per_gigabyte_floor;
        if tokens < self.settings.tokens_floor || !is_worth_it {
            return Vec::new();
        }
        let copies = if value_seconds >= self.settings.two_copies_seconds { 2 } else { 1 };
        let mut decisions = Vec::new();
        while self.copies(prefix_key, wanted_tier) < copies {
            let picked = self.pick_store(prefix_key, size_bytes, wanted_tier, now);
            let Some((store, tier)) = picked else { break };
            self.begin_export(&store, tier, size_bytes, now);
            self.note_saved(prefix_key, &store, tier);
            decisions.push(SaveDecision {
                runner: runner.to_string(),
                account: account.clone(),
                store,
                tier,
                prefix_key,
                tokens,
                size_bytes,
                value_seconds,
            });
        }
        decisions
    }

    /// Returns the number of copies of a prefix in a tier. A copy in memory also counts as one on
    /// disk.
    fn copies(&self, prefix_key: PrefixKey, tier: Option<StoreTier>) -> usize {
        let counts = |(_, known): &&(StoreId, StoreTier)| {
            tier != Some(StoreTier::Memory) || *known == StoreTier::Memory
        };
        self.saved.get(&prefix_key).map_or(0, |copies| copies.iter().filter(counts).count())
    }

    /// Returns the seconds of recomputation that a copy of a prefix is expected to avoid.
    pub fn value_seconds(&self, prefix_key: PrefixKey, tokens: u64, now: Instant) -> f64 {
        let history = self.prefixes.get(&prefix_key);
        let uses = history.map_or(1, |history| history.uses);
        let idle = history.map(|history| now.saturating_duration_since(history.last_used_at));
        let probability = self.reuse.reuse_probability(uses, idle.unwrap_or_default());
        probability * tokens as f64 / self.settings.prefill_tokens_per_second.max(1.0)
    }

    /// Returns the copies to evict until `wanted_bytes` are free, least valuable per byte first.
    ///
    /// Copies of accounts that exceed their share of `size_bytes` are evicted before those of other
    /// accounts.
    pub fn evict(
        &self,
        entries: &[SavedEntry],
        size_bytes: u64,
        wanted_bytes: u64,
        now: Instant,
    ) -> Vec<PrefixKey> {
        let mut used: BTreeMap<&AccountId, u64> = BTreeMap::new();
        for entry in entries {
            *used.entry(&entry.account).or_default() += entry.size_bytes;
        }
        let share_bytes = (self.settings.account_share_limit * size_bytes as f64) as u64;
        let rank = |entry: &SavedEntry| self.value_rate(entry, now);
        let mut by_value: Vec<(f64, &SavedEntry)> =
            entries.iter().map(|entry| (rank(entry), entry)).collect();
        by_value.sort_by(|left, right| {
            left.0
                .total_cmp(&right.0)
                .then(left.1.last_used_at.cmp(&right.1.last_used_at))
                .then(left.1.prefix_key.cmp(&right.1.prefix_key))
        });
        let mut freed_bytes = 0;
        let mut evicted = Vec::new();
        for over_share in [true, false] {
            for (_, entry) in &by_value {
                if freed_bytes >= wanted_bytes {
                    return evicted;
                }
                let account_bytes = used.entry(&entry.account).or_default();
                let is_over = *account_bytes > share_bytes;
                if is_over == over_share && !evicted.contains(&entry.prefix_key) {
                    *account_bytes = account_bytes.saturating_sub(entry.size_bytes);
                    freed_bytes += entry.size_bytes;
                    evicted.push(entry.prefix_key);
                }
            }
        }
        evicted
    }

    /// Returns the number of prefixes in the history.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Returns the seconds of recomputation that a copy is expected to avoid, per byte and per
    /// second of storage.
    fn value_rate(&self, entry: &SavedEntry, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(entry.last_used_at);
        let wait_seconds = self.reuse.expected_wait_seconds(idle);
        let value = self.value_seconds(entry.prefix_key, entry.tokens, now);
        let is_held = self.runner_caches.has_stable_holder(entry.prefix_key);
        let factor = if is_held { HELD_VALUE_FACTOR } else { 1.0 };
        factor * value / entry.size_bytes.max(1) as f64 / wait_seconds
    }

    fn note_use(&mut self, prefix_key: PrefixKey, now: Instant) -> u32 {
        if let Some(history) = self.prefixes.get_mut(&prefix_key) {
            let gap = history.note_use(now);
            self.reuse.note_reuse(gap, history.uses);
            return history.uses;
        }
        self.prefixes.insert(prefix_key, UseHistory::open(now));
        self.reuse.note_first_use();
        1
    }

    /// Drops expired prefixes from the history, and records them in the statistics.
    fn sweep(&mut self, now: Instant) {
        self.uses_since_sweep += 1;
        if self.uses_since_sweep < SWEEP_INTERVAL_USES {
            return;
        }
        self.uses_since_sweep = 0;
        let (reuse, limit) = (&mut self.reuse, self.settings.history_lifetime);
        self.prefixes.retain(|_, history| {
            let idle = now.saturating_duration_since(history.last_used_at);
            if idle > limit {
                reuse.note_dropped(idle);
            }
            idle <= limit
        });
    }

    /// Returns the store with the shortest export queue that can take the copy, with its tier.
    fn pick_store(
        &self,
        prefix_key: PrefixKey,
        size_bytes: u64,
        wanted_tier: Option<StoreTier>,
        now: Instant,
    ) -> Option<(StoreId, StoreTier)> {
        let can_take = |store: &&StoreCapacity| {
            let tier = pick_tier(store, size_bytes, wanted_tier);
            store.usable
                && tier.is_some_and(|tier| !self.holds(prefix_key, &store.store, tier))
                && self.export_seconds(store, now) < EXPORT_QUEUE_LIMIT_SECONDS
        };
        let by_queue = |left: &&StoreCapacity, right: &&StoreCapacity| {
            let (left_seconds, right_seconds) =
                (self.export_seconds(left, now), self.export_seconds(right, now));
            left_seconds
                .total_cmp(&right_seconds)
                .then(right.memory_free_bytes.cmp(&left.memory_free_bytes))
                .then(left.store.cmp(&right.store))
        };
        let store = self.stores.values().filter(can_take).min_by(by_queue)?;
        Some((store.store.clone(), pick_tier(store, size_bytes, wanted_tier)?))
    }

    /// Returns whether a store holds a copy in a tier. For the disk tier, any copy counts.
    fn holds(&self, prefix_key: PrefixKey, store: &str, tier: StoreTier) -> bool {
        let same = |(known, known_tier): &(StoreId, StoreTier)| {
            known == store && (tier == StoreTier::Disk || *known_tier == tier)
        };
        self.saved.get(&prefix_key).is_some_and(|copies| copies.iter().any(same))
    }

    fn export_rate(&self, store: &StoreCapacity) -> f64 {
        (store.link_bytes_per_second * self.settings.export_link_share).max(1.0)
    }

    fn export_seconds(&self, store: &StoreCapacity, now: Instant) -> f64 {
        let rate = self.export_rate(store);
        self.exports.get(&store.store).map_or(0.0, |queue| queue.estimate(rate, now) / rate)
    }

    fn begin_export(&mut self, store: &str, tier: StoreTier, size_bytes: u64, now: Instant) {
        let Some(capacity) = self.stores.get_mut(store) else { return };
        let free_bytes = match tier {
            StoreTier::Memory => &mut capacity.memory_free_bytes,
            StoreTier::Disk => &mut capacity.disk_free_bytes,
        };
        *free_bytes = free_bytes.saturating_sub(size_bytes);
        let rate = (capacity.link_bytes_per_second * self.settings.export_link_share).max(1.0);
        self.exports.entry(store.to_string()).or_default().add(size_bytes as f64, rate, now);
    }
}

/// Returns the tier of a store for a copy: the wanted tier or, if none is given, memory while it
/// has space and disk otherwise. Falls back to another tier if the copy is larger than that one.
fn pick_tier(
    store: &StoreCapacity,
    size_bytes: u64,
    wanted_tier: Option<StoreTier>,
) -> Option<StoreTier> {
    let fits = |tier: &StoreTier| match tier {
        StoreTier::Memory => size_bytes <= store.memory_size_bytes,
        StoreTier::Disk => size_bytes <= store.disk_size_bytes,
    };
    let has_memory_free = size_bytes <= store.memory_free_bytes;
    let default = if has_memory_free { StoreTier::Memory } else { StoreTier::Disk };
    let wanted = wanted_tier.unwrap_or(default);
    [wanted, StoreTier::Disk, StoreTier::Memory].into_iter().find(fits)
}
