//! The saving policy.

use super::{
    returns::{ReturnTable, UseHistory},
    types::{SaveDecision, SavedEntry, SavingSettings, StoreCapacity},
    warmth::{CoolingPrefix, Warmth},
};
use crate::route::Backlog;
use skylarkpick_interface::{AccountId, PrefixKey, StoreId, StoreTier};
use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

/// Bytes in a gigabyte.
const GIGABYTE: f64 = 1e9;
/// Uses of prefixes between two sweeps for prefixes that were given up.
const SWEEP_INTERVAL_USES: u64 = 1_024;
/// Seconds of exports that may wait for a link before no more are begun.
const EXPORT_QUEUE_SECONDS: f64 = 4.0;

/// Worth of a copy that some runner's cache holds too, in proportion to one that is alone.
const WARM_WORTH_SHARE: f64 = 0.01;

/// Decides what is saved where, and what gives way.
///
/// The value of a copy is the chance that the prefix returns times the seconds that computing
/// it takes; the price is its bytes. Pure: told of uses and times, gives decisions.
#[derive(Debug)]
pub struct SavingPolicy {
    settings: SavingSettings,
    prefixes: HashMap<PrefixKey, UseHistory>,
    returns: ReturnTable,
    rooms: BTreeMap<StoreId, StoreCapacity>,
    exports: BTreeMap<StoreId, Backlog>,
    saved: HashMap<PrefixKey, Vec<(StoreId, StoreTier)>>,
    warmth: Warmth,
    uses_since_sweep: u64,
}

impl SavingPolicy {
    /// Opens a policy that has seen nothing.
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
            returns: ReturnTable::open(),
            rooms: BTreeMap::new(),
            exports: BTreeMap::new(),
            saved: HashMap::new(),
            warmth: Warmth::default(),
            uses_since_sweep: 0,
        }
    }

    /// Takes in room and link of a store; a store never reported gets no copies.
    pub fn set_store(&mut self, room: StoreCapacity) {
        self.rooms.insert(room.store.clone(), room);
    }

    /// Notes that a store holds a copy, so that it is not saved there again.
    pub fn note_saved(&mut self, prefix_key: PrefixKey, store: &str, tier: StoreTier) {
        let copies = self.saved.entry(prefix_key).or_default();
        let copy = (store.to_string(), tier);
        if !copies.contains(&copy) {
            copies.push(copy);
        }
    }

    /// Notes that a store holds a copy no longer, or that saving it failed.
    pub fn note_copy_removed(&mut self, prefix_key: PrefixKey, store: &str, tier: StoreTier) {
        if let Some(copies) = self.saved.get_mut(&prefix_key) {
            copies.retain(|(known, known_tier)| known != store || *known_tier != tier);
            if copies.is_empty() {
                self.saved.remove(&prefix_key);
            }
        }
    }

    /// Notes that a store has lost all that it held.
    pub fn note_store_emptied(&mut self, store: &str) {
        self.saved.retain(|_, stores| {
            stores.retain(|(known, _)| known != store);
            !stores.is_empty()
        });
    }

    /// Takes in a use of a prefix, named by its last block, that a runner now holds. Gives the
    /// copies to save, each counted as begun.
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
        let cooling = self.warmth.note_use(runner, prefix_key, account, tokens, share);
        let mut decisions = Vec::new();
        if uses >= self.settings.uses_floor {
            let first = CoolingPrefix { prefix_key, account: account.to_string(), tokens };
            let tier = self.settings.saves_near_eviction.then_some(StoreTier::Disk);
            decisions.extend(self.save(runner, first, tier, now));
        }
        if self.settings.saves_near_eviction {
            for prefix in cooling {
                decisions.extend(self.save(runner, prefix, Some(StoreTier::Memory), now));
            }
        }
        decisions
    }

    /// Notes that a runner has evicted a prefix, by its cache events.
    pub fn on_evicted(&mut self, runner: &str, prefix_key: PrefixKey) {
        self.warmth.note_evicted(runner, prefix_key);
    }

    /// Decides about one prefix: in one tier, or in any if there is no copy at all.
    fn save(
        &mut self,
        runner: &str,
        prefix: CoolingPrefix,
        wanted_tier: Option<StoreTier>,
        now: Instant,
    ) -> Vec<SaveDecision> {
        let CoolingPrefix { prefix_key, account, tokens } = prefix;
        let value_seconds = self.value_seconds(prefix_key, tokens, now);
        let size_bytes = tokens * self.settings.context_bytes_per_token;
        let per_gigabyte = value_seconds / (size_bytes as f64 / GIGABYTE).max(1e-9);
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

    /// Copies of a prefix; a copy in memory also stands for one on disk.
    fn copies(&self, prefix_key: PrefixKey, tier: Option<StoreTier>) -> usize {
        let counts = |(_, known): &&(StoreId, StoreTier)| {
            tier != Some(StoreTier::Memory) || *known == StoreTier::Memory
        };
        self.saved.get(&prefix_key).map_or(0, |copies| copies.iter().filter(counts).count())
    }

    /// Seconds of recomputing that a copy of a prefix is expected to spare.
    pub fn value_seconds(&self, prefix_key: PrefixKey, tokens: u64, now: Instant) -> f64 {
        let history = self.prefixes.get(&prefix_key);
        let uses = history.map_or(1, |history| history.uses);
        let away = history.map(|history| now.saturating_duration_since(history.last_used_at));
        let chance = self.returns.chance(uses, away.unwrap_or_default());
        chance * tokens as f64 / self.settings.prefill_tokens_per_second.max(1.0)
    }

    /// Copies that give way, least worth for their bytes first, until `wanted_bytes` are free.
    ///
    /// Copies of accounts above their share of `size_bytes` go before those of others.
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
        let rank = |entry: &SavedEntry| self.worth(entry, now);
        let mut by_worth: Vec<(f64, &SavedEntry)> =
            entries.iter().map(|entry| (rank(entry), entry)).collect();
        by_worth.sort_by(|left, right| {
            left.0
                .total_cmp(&right.0)
                .then(left.1.last_used_at.cmp(&right.1.last_used_at))
                .then(left.1.prefix_key.cmp(&right.1.prefix_key))
        });
        let mut freed_bytes = 0;
        let mut evicted = Vec::new();
        for over_share in [true, false] {
            for (_, entry) in &by_worth {
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

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Expected seconds spared in a second for each byte kept.
    fn worth(&self, entry: &SavedEntry, now: Instant) -> f64 {
        let away = now.saturating_duration_since(entry.last_used_at);
        let wait_seconds = self.returns.expected_wait_seconds(away);
        let value = self.value_seconds(entry.prefix_key, entry.tokens, now);
        let warmth = if self.warmth.is_warm(entry.prefix_key) { WARM_WORTH_SHARE } else { 1.0 };
        warmth * value / entry.size_bytes.max(1) as f64 / wait_seconds
    }

    fn note_use(&mut self, prefix_key: PrefixKey, now: Instant) -> u32 {
        if let Some(history) = self.prefixes.get_mut(&prefix_key) {
            let gap = history.note(now);
            self.returns.note_return(gap, history.uses);
            return history.uses;
        }
        self.prefixes.insert(prefix_key, UseHistory::open(now));
        self.returns.note_first();
        1
    }

    /// Forgets prefixes that did not return, and learns from them.
    fn sweep(&mut self, now: Instant) {
        self.uses_since_sweep += 1;
        if self.uses_since_sweep < SWEEP_INTERVAL_USES {
            return;
        }
        self.uses_since_sweep = 0;
        let (returns, limit) = (&mut self.returns, self.settings.forgotten_after);
        self.prefixes.retain(|_, history| {
            let away = now.saturating_duration_since(history.last_used_at);
            if away > limit {
                returns.note_given_up(away);
            }
            away <= limit
        });
    }

    /// The store with the shortest export queue that takes the copy, and the tier there.
    fn pick_store(
        &self,
        prefix_key: PrefixKey,
        size_bytes: u64,
        wanted_tier: Option<StoreTier>,
        now: Instant,
    ) -> Option<(StoreId, StoreTier)> {
        let takes = |room: &&StoreCapacity| {
            let tier = pick_tier(room, size_bytes, wanted_tier);
            room.usable
                && tier.is_some_and(|tier| !self.holds(prefix_key, &room.store, tier))
                && self.export_seconds(room, now) < EXPORT_QUEUE_SECONDS
        };
        let by_queue = |left: &&StoreCapacity, right: &&StoreCapacity| {
            let (left_seconds, right_seconds) =
                (self.export_seconds(left, now), self.export_seconds(right, now));
            left_seconds
                .total_cmp(&right_seconds)
                .then(right.memory_free_bytes.cmp(&left.memory_free_bytes))
                .then(left.store.cmp(&right.store))
        };
        let room = self.rooms.values().filter(takes).min_by(by_queue)?;
        Some((room.store.clone(), pick_tier(room, size_bytes, wanted_tier)?))
    }

    /// Whether a store has the copy in this tier, or at all if disk is asked for.
    fn holds(&self, prefix_key: PrefixKey, store: &str, tier: StoreTier) -> bool {
        let same = |(known, known_tier): &(StoreId, StoreTier)| {
            known == store && (tier == StoreTier::Disk || *known_tier == tier)
        };
        self.saved.get(&prefix_key).is_some_and(|copies| copies.iter().any(same))
    }

    fn export_rate(&self, room: &StoreCapacity) -> f64 {
        (room.link_bytes_per_second * self.settings.export_link_share).max(1.0)
    }

    fn export_seconds(&self, room: &StoreCapacity, now: Instant) -> f64 {
        let rate = self.export_rate(room);
        self.exports.get(&room.store).map_or(0.0, |queue| queue.estimate(rate, now) / rate)
    }

    fn begin_export(&mut self, store: &str, tier: StoreTier, size_bytes: u64, now: Instant) {
        let Some(room) = self.rooms.get_mut(store) else { return };
        let free_bytes = match tier {
            StoreTier::Memory => &mut room.memory_free_bytes,
            StoreTier::Disk => &mut room.disk_free_bytes,
        };
        *free_bytes = free_bytes.saturating_sub(size_bytes);
        let rate = (room.link_bytes_per_second * self.settings.export_link_share).max(1.0);
        self.exports.entry(store.to_string()).or_default().add(size_bytes as f64, rate, now);
    }
}

/// Tier of a store for a copy: the wanted one, or memory while there is room and then disk.
fn pick_tier(
    room: &StoreCapacity,
    size_bytes: u64,
    wanted_tier: Option<StoreTier>,
) -> Option<StoreTier> {
    let fits = |tier: &StoreTier| match tier {
        StoreTier::Memory => size_bytes <= room.memory_size_bytes,
        StoreTier::Disk => size_bytes <= room.disk_size_bytes,
    };
    let has_memory_free = size_bytes <= room.memory_free_bytes;
    let usual = if has_memory_free { StoreTier::Memory } else { StoreTier::Disk };
    let wanted = wanted_tier.unwrap_or(usual);
    [wanted, StoreTier::Disk, StoreTier::Memory].into_iter().find(fits)
}
