//! Which caches keep which parts of prompts, as far as their events tell.

use skylarkpick_interface::{
    CacheEpoch, CacheScope, ContextMemory, DataCentreId, PartChanges, PartId, TargetId,
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// Time without word from a store after which nothing is fetched from it. A store that restarts is
/// away for longer, so that a part that is being saved anew is never taken for the old one.
const STORE_WORD_LIMIT: Duration = Duration::from_millis(1_200);
/// Time after which a save that no event confirmed may be made again.
const SAVE_RETRY: Duration = Duration::from_secs(4);
/// Share of a store that saves may fill; the rest is for parts whose events were lost.
const STORE_FILL_LIMIT: f64 = 0.97;
/// Share of a runner's memory that parts sent there are taken to stay in; runs need the rest.
const EXPECTED_FILL_LIMIT: f64 = 0.6;
/// Blocks of a store, in tokens; a part takes whole blocks.
const STORE_BLOCK_TOKENS: u64 = 16;

/// Names a part of a prompt under a scope.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartKey {
    /// Text under which it is kept.
    pub scope: CacheScope,
    /// The part.
    pub part: PartId,
}

/// Stands for a [`PartKey`], the same in every process. Two parts with one fingerprint cost a fetch
/// that finds nothing: a target names the part that it wants by its own request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartFingerprint(pub u64);

impl PartFingerprint {
    /// The fingerprint of a part under a scope.
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

/// What a cache belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheKind {
    /// The memory of a runner.
    Runner(TargetId),
    /// A store that drops nothing by itself.
    ManagedStore,
    /// A store that drops what was used least recently.
    Store,
}

/// One cache and what it keeps.
#[derive(Clone, Debug)]
pub struct CacheView {
    /// What it belongs to.
    pub kind: CacheKind,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Its size and its link.
    pub memory: ContextMemory,
    /// Its life, once it was heard of.
    pub epoch: Option<CacheEpoch>,
    heard_at: Option<Duration>,
    held: HashMap<PartFingerprint, u64>,
    held_tokens: u64,
    /// What managed stores keep by name, so that it can be freed.
    names: HashMap<PartFingerprint, PartKey>,
    saving: HashMap<PartFingerprint, Saving>,
    /// Parts that were sent there and not heard of, oldest first.
    expected: VecDeque<PartFingerprint>,
}

#[derive(Clone, Copy, Debug)]
struct Saving {
    tokens: u64,
    since: Duration,
}

/// Which caches keep which parts.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    caches: BTreeMap<SocketAddr, CacheView>,
    /// For each part, the caches that keep some of it.
    keepers: HashMap<PartFingerprint, Vec<SocketAddr>>,
}

impl CacheView {
    fn open(kind: CacheKind, data_centre: DataCentreId, memory: ContextMemory) -> CacheView {
        CacheView {
            kind,
            data_centre,
            memory,
            epoch: None,
            heard_at: None,
            held: HashMap::new(),
            held_tokens: 0,
            names: HashMap::new(),
            saving: HashMap::new(),
            expected: VecDeque::new(),
        }
    }

    /// Whether it is a store.
    pub fn is_store(&self) -> bool {
        !matches!(self.kind, CacheKind::Runner(_))
    }

    /// Tokens of a part that it keeps, 0 for none.
    pub fn tokens_of(&self, part: PartFingerprint) -> u64 {
        self.held.get(&part).copied().unwrap_or(0)
    }

    /// Whether its word is new enough to fetch from it.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|at| !self.is_store() || now < at + STORE_WORD_LIMIT)
    }

    /// Parts that it keeps, with their tokens.
    pub fn held(&self) -> impl Iterator<Item = (PartFingerprint, u64)> {
        self.held.iter().map(|(part, tokens)| (*part, *tokens))
    }

    /// Names of the parts that a managed store keeps, as far as this process read them itself.
    pub fn names(&self) -> impl Iterator<Item = &PartKey> {
        self.names.values()
    }

    /// Tokens that it keeps.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    fn set(&mut self, part: PartFingerprint, tokens: u64) {
        self.saving.remove(&part);
        let before = if tokens == 0 {
            self.names.remove(&part);
            self.held.remove(&part)
        } else {
            self.held.insert(part, tokens)
        };
        self.held_tokens = self.held_tokens + tokens - before.unwrap_or(0);
    }

    /// Whether this process hears of what it keeps.
    pub fn is_followed(&self) -> bool {
        self.heard_at.is_some()
    }

    fn saving_tokens(&self, now: Duration) -> u64 {
        let recent = self.saving.values().filter(|saving| now < saving.since + SAVE_RETRY);
        recent.map(|saving| saving.tokens).sum()
    }

    fn has_room(&self, tokens: u64, now: Duration) -> bool {
        let limit = self.memory.capacity_tokens as f64 * STORE_FILL_LIMIT;
        let used = self.held_tokens + self.saving_tokens(now) + whole_blocks(tokens);
        used as f64 <= limit
    }

    fn is_saving(&self, part: PartFingerprint, now: Duration) -> bool {
        self.saving.get(&part).is_some_and(|saving| now < saving.since + SAVE_RETRY)
    }
}

fn whole_blocks(tokens: u64) -> u64 {
    tokens.div_ceil(STORE_BLOCK_TOKENS) * STORE_BLOCK_TOKENS
}

impl PartDirectory {
    /// Adds a cache, or updates its size; one of another kind under the address replaces it.
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

    /// Keeps only the caches at these addresses.
    pub fn retain(&mut self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        let gone: Vec<SocketAddr> =
            self.caches.keys().filter(|address| !is_wanted(address)).copied().collect();
        for address in gone {
            self.clear(&address);
            self.caches.remove(&address);
        }
    }

    /// Forgets what a cache kept, after its restart or a gap in its events.
    pub fn forget(&mut self, address: &SocketAddr) {
        self.clear(address);
        if let Some(cache) = self.caches.get_mut(address) {
            cache.heard_at = None;
            cache.epoch = None;
        }
    }

    fn clear(&mut self, address: &SocketAddr) {
        let Some(cache) = self.caches.get_mut(address) else { return };
        let held = std::mem::take(&mut cache.held);
        cache.held_tokens = 0;
        cache.names.clear();
        cache.saving.clear();
        cache.expected.clear();
        for part in held.into_keys() {
            remove_keeper(&mut self.keepers, part, address);
        }
    }

    /// Sets the tokens that a cache keeps of a part.
    fn set(&mut self, address: &SocketAddr, part: PartFingerprint, tokens: u64) {
        let Some(cache) = self.caches.get_mut(address) else { return };
        let was_held = cache.tokens_of(part) > 0;
        cache.set(part, tokens);
        match (was_held, tokens > 0) {
            (false, true) => self.keepers.entry(part).or_default().push(*address),
            (true, false) => remove_keeper(&mut self.keepers, part, address),
            _ => {}
        }
    }

    /// Takes in what a cache told. Another life or a gap means that what was known is dropped.
    pub fn apply(&mut self, address: &SocketAddr, changes: &PartChanges, now: Duration) {
        let Some(cache) = self.caches.get(address) else { return };
        if cache.epoch != Some(changes.epoch) || changes.has_gap {
            self.clear(address);
        }
        let Some(cache) = self.caches.get_mut(address) else { return };
        cache.epoch = Some(changes.epoch);
        cache.heard_at = Some(now);
        let has_names = cache.kind == CacheKind::ManagedStore;
        for change in &changes.changes {
            let part = PartFingerprint::of(&change.scope, &change.part);
            self.set(address, part, change.tokens);
            if has_names
                && change.tokens > 0
                && let Some(store) = self.caches.get_mut(address)
            {
                let key = PartKey { scope: change.scope.clone(), part: change.part.clone() };
                store.names.insert(part, key);
            }
        }
    }

    /// Takes in one change of a cache that another process told of, in the life that it names.
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
            // A runner's part that is gone meanwhile is a miss, which another source makes good.
            cache.heard_at = cache.heard_at.or(Some(Duration::ZERO));
        }
    }

    /// Notes that a request saves a part to a store.
    pub fn note_saving(
        &mut self,
        address: &SocketAddr,
        part: PartFingerprint,
        tokens: u64,
        now: Duration,
    ) {
        if let Some(cache) = self.caches.get_mut(address) {
            cache.saving.retain(|_, saving| now < saving.since + SAVE_RETRY);
            cache.saving.insert(part, Saving { tokens: whole_blocks(tokens), since: now });
        }
    }

    /// Notes that a request brings parts to a cache that this process does not hear of.
    pub fn note_sent(
        &mut self,
        address: &SocketAddr,
        parts: impl Iterator<Item = (PartFingerprint, u64)>,
    ) {
        if self.caches.get(address).is_some_and(|cache| !cache.is_followed()) {
            for (part, tokens) in parts {
                self.expect(address, part, tokens);
            }
        }
    }

    /// Takes a part as kept that a request brings there, until others must have pushed it out.
    fn expect(&mut self, address: &SocketAddr, part: PartFingerprint, tokens: u64) {
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

    /// Notes that parts of a store were freed.
    pub fn note_freed(&mut self, address: &SocketAddr, keys: &[PartKey]) {
        for key in keys {
            self.set(address, key.into(), 0);
        }
    }

    /// The caches that keep some of a part, with the tokens that each keeps of it.
    pub fn holders(
        &self,
        part: PartFingerprint,
    ) -> impl Iterator<Item = (&SocketAddr, &CacheView, u64)> {
        let addresses = self.keepers.get(&part).into_iter().flatten();
        addresses.filter_map(move |address| {
            let cache = self.caches.get(address)?;
            Some((address, cache, cache.tokens_of(part)))
        })
    }

    /// A cache.
    pub fn cache(&self, address: &SocketAddr) -> Option<&CacheView> {
        self.caches.get(address)
    }

    /// All caches.
    pub fn caches(&self) -> impl Iterator<Item = (&SocketAddr, &CacheView)> {
        self.caches.iter()
    }

    /// Store that a part is saved to now, if it is worth saving: none keeps it or is being sent it,
    /// and one has room. Of those with the fastest link it is chosen by the part's name, so that
    /// every process chooses the same one.
    pub fn store_for(
        &self,
        part: PartFingerprint,
        tokens: u64,
        now: Duration,
    ) -> Option<SocketAddr> {
        let stores = || {
            let managed = self.caches.iter().filter(|(_, it)| it.kind == CacheKind::ManagedStore);
            managed.filter(|(_, store)| store.is_fresh(now))
        };
        if stores().any(|(_, store)| store.tokens_of(part) > 0 || store.is_saving(part, now)) {
            return None;
        }
        let with_room = stores().filter(|(_, store)| store.has_room(tokens, now));
        let chosen = with_room.max_by_key(|(address, store)| {
            let speed = store.memory.link_megabits_per_second as u64;
            (speed, weight_of(part, address))
        });
        chosen.map(|(address, _)| *address)
    }
}

fn remove_keeper(
    keepers: &mut HashMap<PartFingerprint, Vec<SocketAddr>>,
    part: PartFingerprint,
    address: &SocketAddr,
) {
    if let Some(addresses) = keepers.get_mut(&part) {
        addresses.retain(|known| known != address);
        if addresses.is_empty() {
            keepers.remove(&part);
        }
    }
}

/// Weight of a store for a part.
fn weight_of(part: PartFingerprint, store: &SocketAddr) -> u64 {
    rendezvous_weight(&part.0.to_string(), &store.to_string())
}

/// Weight of a candidate for a subject; the same in every process.
pub(super) fn rendezvous_weight(subject: &str, candidate: &str) -> u64 {
    // FNV-1a over both names, then the finalizer of SplitMix64.
    let bytes = subject.bytes().chain([0]).chain(candidate.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
