//! Directory of the prompt parts that caches hold, built from their cache events.

use skylarkpick_interface::{
    CacheEpoch, CacheScope, ContextMemory, DataCentreId, PartChanges, PartId, TargetId,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// Time without an update from a store after which nothing is fetched from it. A restarting store
/// is unavailable for longer, so a part that is being saved again is never mistaken for the copy
/// from before the restart.
const STORE_FRESHNESS_LIMIT: Duration = Duration::from_millis(1_200);
/// Time after which a save that no event has confirmed may be repeated.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// Share of a store that saves may fill. The rest is reserved for parts whose events were lost.
const STORE_FILL_LIMIT: f64 = 0.97;
/// Share of a runner's memory in which parts are assumed to stay after they were sent there. Runs
/// need the rest.
const EXPECTED_FILL_LIMIT: f64 = 0.6;
/// Block size of a store. A part takes whole blocks.
const STORE_BLOCK_TOKENS: u64 = 16;

/// Identifies a part of a prompt under a scope.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartKey {
    /// Scope under which the part is cached.
    pub scope: CacheScope,
    /// The part.
    pub part: PartId,
}

/// Hash of a [`PartKey`], the same in every process.
///
/// A collision costs one fetch without a result: the target fetches by the part's ID, which it
/// takes from its own request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartFingerprint(pub u64);

impl PartFingerprint {
    /// Returns the fingerprint of a part under a scope.
    ///
    /// ```
    /// use skylarkpick_schedule::PartFingerprint;
    /// assert_eq!(PartFingerprint::of("tala.1", "p"), PartFingerprint::of("tala.1", "p"));
    /// assert_ne!(PartFingerprint::of("tala.1", "p"), PartFingerprint::of("tala.2", "p"));
    /// ```
    pub fn of(scope: &str, part: &str) -> PartFingerprint {
        PartFingerprint(rendezvous_weight(part, scope))
    }
}

impl From<&PartKey> for PartFingerprint {
    fn from(key: &PartKey) -> PartFingerprint {
        PartFingerprint::of(&key.scope, &key.part)
    }
}

/// Kind of a cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheKind {
    /// The memory of a runner.
    Runner(TargetId),
    /// A store that evicts nothing by itself; outdated parts are freed explicitly.
    ManagedStore,
    /// A store that evicts the least recently used parts.
    Store,
}

/// Tracked state of one cache and the parts that it holds.
#[derive(Clone, Debug)]
pub struct CacheView {
    /// Kind of the cache.
    pub kind: CacheKind,
    /// Data centre of the cache.
    pub data_centre: DataCentreId,
    /// Capacity and link of the cache.
    pub memory: ContextMemory,
    /// Incarnation of the cache, once an update named it.
    pub epoch: Option<CacheEpoch>,
    /// When the last update arrived, if the cache is watched.
    updated_at: Option<Duration>,
    /// Tokens held of each part.
    held: HashMap<PartFingerprint, u64>,
    held_tokens: u64,
    /// Keys of the parts in a managed store, which are needed to free them.
    keys: HashMap<PartFingerprint, PartKey>,
    /// Saves to the cache that no event has confirmed yet.
    pending_saves: HashMap<PartFingerprint, PendingSave>,
    /// Parts that requests brought to an unwatched cache, oldest first.
    expected: VecDeque<PartFingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct PendingSave {
    tokens: u64,
    started_at: Duration,
}

/// Tracks which caches hold which parts.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    caches: BTreeMap<SocketAddr, CacheView>,
    /// For each part, the caches that hold some of it.
    holders: HashMap<PartFingerprint, Vec<SocketAddr>>,
}

impl CacheView {
    fn open(kind: CacheKind, data_centre: DataCentreId, memory: ContextMemory) -> CacheView {
        CacheView {
            kind,
            data_centre,
            memory,
            epoch: None,
            updated_at: None,
            held: HashMap::new(),
            held_tokens: 0,
            keys: HashMap::new(),
            pending_saves: HashMap::new(),
            expected: VecDeque::new(),
        }
    }

    /// Returns whether the cache is a store.
    pub fn is_store(&self) -> bool {
        !matches!(self.kind, CacheKind::Runner(_))
    }

    /// Returns the tokens that the cache holds of a part, 0 for none.
    pub fn tokens_of(&self, part: PartFingerprint) -> u64 {
        self.held.get(&part).copied().unwrap_or(0)
    }

    /// Returns whether the tracked state is recent enough to fetch from the cache.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.updated_at.is_some_and(|at| !self.is_store() || now < at + STORE_FRESHNESS_LIMIT)
    }

    /// Returns the parts that the cache holds, with their tokens.
    pub fn held(&self) -> impl Iterator<Item = (PartFingerprint, u64)> {
        self.held.iter().map(|(part, tokens)| (*part, *tokens))
    }

    /// Returns the keys of the parts that a managed store holds, as far as this process watched
    /// the store itself.
    pub fn keys(&self) -> impl Iterator<Item = &PartKey> {
        self.keys.values()
    }

    /// Returns the tokens that the cache holds.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    fn set(&mut self, part: PartFingerprint, tokens: u64) {
        self.pending_saves.remove(&part);
        let before = if tokens == 0 {
            self.keys.remove(&part);
            self.held.remove(&part)
        } else {
            self.held.insert(part, tokens)
        };
        self.held_tokens = self.held_tokens + tokens - before.unwrap_or(0);
    }

    /// Returns whether this process receives updates about what the cache holds.
    pub fn is_watched(&self) -> bool {
        self.updated_at.is_some()
    }

    fn pending_tokens(&self, now: Duration) -> u64 {
        let recent =
            self.pending_saves.values().filter(|save| now < save.started_at + SAVE_RETRY_INTERVAL);
        recent.map(|save| save.tokens).sum()
    }

    fn has_space(&self, tokens: u64, now: Duration) -> bool {
        let limit = self.memory.capacity_tokens as f64 * STORE_FILL_LIMIT;
        let used = self.held_tokens + self.pending_tokens(now) + round_up_to_blocks(tokens);
        used as f64 <= limit
    }

    fn has_pending_save(&self, part: PartFingerprint, now: Duration) -> bool {
        self.pending_saves
            .get(&part)
            .is_some_and(|save| now < save.started_at + SAVE_RETRY_INTERVAL)
    }
}

fn round_up_to_blocks(tokens: u64) -> u64 {
    tokens.div_ceil(STORE_BLOCK_TOKENS) * STORE_BLOCK_TOKENS
}

impl PartDirectory {
    /// Adds a cache, or updates its capacity and data centre. A cache of another kind at the same
    /// address replaces it.
    pub fn set_cache(
        &mut self,
        address: SocketAddr,
        kind: CacheKind,
        data_centre: &str,
        memory: ContextMemory,
    ) {
        let known = self.caches.get_mut(&address).filter(|cache| cache.kind == kind);
        match known {
            Some(cache) => {
                cache.memory = memory;
                cache.data_centre = data_centre.to_string();
            }
            None => {
                self.clear(&address);
                let cache = CacheView::open(kind, data_centre.to_string(), memory);
                self.caches.insert(address, cache);
            }
        }
    }

    /// Removes all caches except those for which `is_wanted` returns true.
    pub fn retain(&mut self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        let removed: Vec<SocketAddr> =
            self.caches.keys().filter(|address| !is_wanted(address)).copied().collect();
        for address in removed {
            self.clear(&address);
            self.caches.remove(&address);
        }
    }

    /// Drops the tracked contents of a cache, after its restart or a gap in its events.
    pub fn forget(&mut self, address: &SocketAddr) {
        self.clear(address);
        if let Some(cache) = self.caches.get_mut(address) {
            cache.updated_at = None;
            cache.epoch = None;
        }
    }

    fn clear(&mut self, address: &SocketAddr) {
        let Some(cache) = self.caches.get_mut(address) else { return };
        let held = std::mem::take(&mut cache.held);
        cache.held_tokens = 0;
        cache.keys.clear();
        cache.pending_saves.clear();
        cache.expected.clear();
        for part in held.into_keys() {
            remove_holder(&mut self.holders, part, address);
        }
    }

    /// Sets the tokens that a cache holds of a part.
    fn set(&mut self, address: &SocketAddr, part: PartFingerprint, tokens: u64) {
        let Some(cache) = self.caches.get_mut(address) else { return };
        let was_held = cache.tokens_of(part) > 0;
        cache.set(part, tokens);
        match (was_held, tokens > 0) {
            (false, true) => self.holders.entry(part).or_default().push(*address),
            (true, false) => remove_holder(&mut self.holders, part, address),
            _ => {}
        }
    }

    /// Applies changes that a cache reported. If they belong to another incarnation or follow a
    /// gap, the previous contents are dropped first.
    pub fn apply(&mut self, address: &SocketAddr, changes: &PartChanges, now: Duration) {
        let Some(cache) = self.caches.get(address) else { return };
        if cache.epoch != Some(changes.epoch) || changes.has_gap {
            self.clear(address);
        }
        let Some(cache) = self.caches.get_mut(address) else { return };
        cache.epoch = Some(changes.epoch);
        cache.updated_at = Some(now);
        let tracks_keys = cache.kind == CacheKind::ManagedStore;
        for change in &changes.changes {
            let part = PartFingerprint::of(&change.scope, &change.part);
            self.set(address, part, change.tokens);
            if tracks_keys
                && change.tokens > 0
                && let Some(store) = self.caches.get_mut(address)
            {
                let key = PartKey { scope: change.scope.clone(), part: change.part.clone() };
                store.keys.insert(part, key);
            }
        }
    }

    /// Applies a change of a cache that another process relayed, for the given incarnation.
    pub fn apply_peer_change(
        &mut self,
        address: &SocketAddr,
        epoch: CacheEpoch,
        part: PartFingerprint,
        tokens: u64,
    ) {
        let Some(cache) = self.caches.get(address) else { return };
        if cache.epoch != Some(epoch) {
            self.clear(address);
        }
        self.set(address, part, tokens);
        let Some(cache) = self.caches.get_mut(address) else { return };
        cache.epoch = Some(epoch);
        if !cache.is_store() {
            // Relayed changes are enough to fetch from a runner: if it has evicted the part since,
            // the fetch misses and another source is used.
            cache.updated_at = cache.updated_at.or(Some(Duration::ZERO));
        }
    }

    /// Records that a request saves a part to a store.
    pub fn note_saving(
        &mut self,
        address: &SocketAddr,
        part: PartFingerprint,
        tokens: u64,
        now: Duration,
    ) {
        if let Some(cache) = self.caches.get_mut(address) {
            cache.pending_saves.retain(|_, save| now < save.started_at + SAVE_RETRY_INTERVAL);
            let save = PendingSave { tokens: round_up_to_blocks(tokens), started_at: now };
            cache.pending_saves.insert(part, save);
        }
    }

    /// Records that a request brings parts to a cache, if this process doesn't watch that cache.
    pub fn note_sent(
        &mut self,
        address: &SocketAddr,
        parts: impl Iterator<Item = (PartFingerprint, u64)>,
    ) {
        if self.caches.get(address).is_some_and(|cache| !cache.is_watched()) {
            for (part, tokens) in parts {
                self.assume_held(address, part, tokens);
            }
        }
    }

    /// Assumes that a cache holds a part that a request brings there, until later parts have
    /// presumably evicted it.
    fn assume_held(&mut self, address: &SocketAddr, part: PartFingerprint, tokens: u64) {
        self.set(address, part, tokens);
        let Some(cache) = self.caches.get_mut(address) else { return };
        cache.expected.retain(|known| *known != part);
        cache.expected.push_back(part);
        let limit = cache.memory.capacity_tokens as f64 * EXPECTED_FILL_LIMIT;
        while let Some(cache) = self.caches.get_mut(address)
            && cache.held_tokens as f64 > limit
        {
            let Some(oldest) = cache.expected.pop_front() else { return };
            self.set(address, oldest, 0);
        }
    }

    /// Records that parts of a store were freed.
    pub fn note_freed(&mut self, address: &SocketAddr, keys: &[PartKey]) {
        for key in keys {
            self.set(address, key.into(), 0);
        }
    }

    /// Returns the caches that hold some of a part, with the tokens that each holds of it.
    pub fn holders(
        &self,
        part: PartFingerprint,
    ) -> impl Iterator<Item = (&SocketAddr, &CacheView, u64)> {
        let addresses = self.holders.get(&part).into_iter().flatten();
        addresses.filter_map(move |address| {
            let cache = self.caches.get(address)?;
            Some((address, cache, cache.tokens_of(part)))
        })
    }

    /// Returns the cache at an address.
    pub fn cache(&self, address: &SocketAddr) -> Option<&CacheView> {
        self.caches.get(address)
    }

    /// Returns all caches with their addresses.
    pub fn caches(&self) -> impl Iterator<Item = (&SocketAddr, &CacheView)> {
        self.caches.iter()
    }

    /// Returns the managed store to save a part to, or `None` if a store already holds it, if a
    /// save is pending, or if no store has space.
    ///
    /// Among the stores with the fastest link, those in the data centre `home` come first: transfers
    /// between data centres take twice as long. Then rendezvous hashing of the part decides, so that
    /// all processes choose the same store.
    pub fn store_for(
        &self,
        part: PartFingerprint,
        tokens: u64,
        home: Option<&str>,
        now: Duration,
    ) -> Option<SocketAddr> {
        let stores = || {
            let managed = self.caches.iter().filter(|(_, it)| it.kind == CacheKind::ManagedStore);
            managed.filter(|(_, store)| store.is_fresh(now))
        };
        let is_saved =
            |store: &CacheView| store.tokens_of(part) > 0 || store.has_pending_save(part, now);
        if stores().any(|(_, store)| is_saved(store)) {
            return None;
        }
        let with_space = stores().filter(|(_, store)| store.has_space(tokens, now));
        let chosen = with_space.max_by_key(|(address, store)| {
            let speed = store.memory.link_megabits_per_second as u64;
            let is_at_home = home == Some(store.data_centre.as_str());
            (speed, is_at_home, store_weight(part, address))
        });
        chosen.map(|(address, _)| *address)
    }
}

fn remove_holder(
    holders: &mut HashMap<PartFingerprint, Vec<SocketAddr>>,
    part: PartFingerprint,
    address: &SocketAddr,
) {
    if let Some(addresses) = holders.get_mut(&part) {
        addresses.retain(|known| known != address);
        if addresses.is_empty() {
            holders.remove(&part);
        }
    }
}

/// Returns the rendezvous weight of a store for a part.
fn store_weight(part: PartFingerprint, store: &SocketAddr) -> u64 {
    rendezvous_weight(&part.0.to_string(), &store.to_string())
}

/// Returns the weight of a candidate for a subject in rendezvous hashing. It is the same in every
/// process.
pub(crate) fn rendezvous_weight(subject: &str, candidate: &str) -> u64 {
    // FNV-1a over both strings, then the SplitMix64 finalizer.
    let bytes = subject.bytes().chain([0]).chain(candidate.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
