//! A fake store VM: memory and disk behind a link of limited bandwidth.

use async_trait::async_trait;
use skylarkpick_interface::{
    Generation, Manifest, ManifestState, PinId, PrefixKey, SavedPrefix, Store, StoreError,
    StoreStatus, StoreTier,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Capacity and bandwidth of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// Memory capacity.
    pub memory_size_bytes: u64,
    /// Disk capacity.
    pub disk_size_bytes: u64,
    /// Bandwidth of the link, which all transfers share.
    pub link_bytes_per_second: f64,
    /// Read bandwidth of the disk.
    pub disk_bytes_per_second: f64,
}

impl Default for StoreSettings {
    fn default() -> StoreSettings {
        StoreSettings {
            memory_size_bytes: 64 << 30,
            disk_size_bytes: 512 << 30,
            link_bytes_per_second: 12.5e9,
            disk_bytes_per_second: 3.0e9,
        }
    }
}

/// Faults of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreFaults {
    /// The store is unreachable; transfers in progress fail.
    pub dead: bool,
    /// All reservations are rejected.
    pub full: bool,
    /// Factor on the bandwidth of the link.
    pub link_factor: f64,
    /// Reads return corrupt content.
    pub corrupts_content: bool,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults { dead: false, full: false, link_factor: 1.0, corrupts_content: false }
    }
}

/// A fake store VM: memory and disk behind a link of limited bandwidth.
pub struct FakeStore {
    settings: StoreSettings,
    state: Mutex<State>,
}

struct State {
    /// Saved generations of each prefix.
    saved: BTreeMap<PrefixKey, Vec<Saved>>,
    generation: Generation,
    pins: u64,
    faults: StoreFaults,
    /// When the link has completed the transfers that are queued.
    link_free_at: Instant,
    link_carried_bytes: u64,
    incarnation: u64,
}

#[derive(Clone)]
struct Saved {
    manifest: Manifest,
    content: Vec<u8>,
    pins: BTreeSet<PinId>,
}

impl FakeStore {
    /// Opens an empty store.
    pub fn open(settings: StoreSettings) -> Arc<FakeStore> {
        let state = State {
            saved: BTreeMap::new(),
            generation: 0,
            pins: 0,
            faults: StoreFaults::default(),
            link_free_at: Instant::now(),
            link_carried_bytes: 0,
            incarnation: 1,
        };
        Arc::new(FakeStore { settings, state: Mutex::new(state) })
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.lock().faults);
    }

    /// Restarts the store. Its memory is empty then; the disk keeps its content.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.incarnation += 1;
        state.faults.dead = false;
        for saved in state.saved.values_mut() {
            saved.retain(|saved| saved.manifest.prefix.tier == StoreTier::Disk);
            saved.iter_mut().for_each(|saved| saved.pins.clear());
        }
    }

    /// Returns the bytes that were transferred over the link since the start.
    pub fn link_carried_bytes(&self) -> u64 {
        self.lock().link_carried_bytes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state, or fails if the store is dead.
    fn reachable(&self) -> Result<MutexGuard<'_, State>, StoreError> {
        let state = self.lock();
        if state.faults.dead {
            return Err(StoreError::Failed("no connection".to_string()));
        }
        Ok(state)
    }

    /// Transfers data over the link, after the transfers that are queued there. The rate is that of
    /// the link, at most `rate_limit` bytes a second.
    async fn transfer(&self, size_bytes: u64, rate_limit: f64) -> Result<(), StoreError> {
        let done_at = {
            let mut state = self.reachable()?;
            let rate =
                (self.settings.link_bytes_per_second * state.faults.link_factor).min(rate_limit);
            let starts_at = state.link_free_at.max(Instant::now());
            let done_at = starts_at + Duration::from_secs_f64(size_bytes as f64 / rate);
            state.link_free_at = done_at;
            done_at
        };
        tokio::time::sleep_until(done_at).await;
        self.reachable()?.link_carried_bytes += size_bytes;
        Ok(())
    }

    fn used_bytes(state: &State, tier: StoreTier) -> u64 {
        let generations = state.saved.values().flatten();
        generations
            .filter(|saved| saved.manifest.prefix.tier == tier)
            .map(|saved| saved.manifest.prefix.size_bytes)
            .sum()
    }
}

impl State {
    fn find(&mut self, key: PrefixKey, generation: Generation) -> Result<&mut Saved, StoreError> {
        let generations = self.saved.get_mut(&key).ok_or(StoreError::NotFound)?;
        let found = generations.iter_mut().find(|saved| saved.manifest.generation == generation);
        found.ok_or(StoreError::NotFound)
    }

    /// Finds a generation that is sealed.
    fn find_sealed(
        &mut self,
        key: PrefixKey,
        generation: Generation,
    ) -> Result<&mut Saved, StoreError> {
        let saved = self.find(key, generation)?;
        match saved.manifest.state {
            ManifestState::Sealed => Ok(saved),
            _ => Err(StoreError::NotFound),
        }
    }

    /// Frees the retiring generations that nobody has pinned.
    fn free_unpinned(&mut self) {
        for generations in self.saved.values_mut() {
            generations.retain(|saved| {
                saved.manifest.state != ManifestState::Retiring || !saved.pins.is_empty()
            });
        }
        self.saved.retain(|_, generations| !generations.is_empty());
    }
}

fn digest(content: &[u8]) -> String {
    blake3::hash(content).to_hex().to_string()
}

#[async_trait]
impl Store for FakeStore {
    async fn reserve(&self, prefix: SavedPrefix) -> Result<Generation, StoreError> {
        let mut state = self.reachable()?;
        let size_bytes = match prefix.tier {
            StoreTier::Memory => self.settings.memory_size_bytes,
            StoreTier::Disk => self.settings.disk_size_bytes,
        };
        let used_bytes = FakeStore::used_bytes(&state, prefix.tier);
        if state.faults.full || used_bytes + prefix.size_bytes > size_bytes {
            return Err(StoreError::Full);
        }
        state.generation += 1;
        let generation = state.generation;
        let key = prefix.prefix_key;
        let initial_state = ManifestState::Writing;
        let manifest = Manifest { prefix, generation, digest: String::new(), state: initial_state };
        let saved = Saved { manifest, content: Vec::new(), pins: BTreeSet::new() };
        state.saved.entry(key).or_default().push(saved);
        Ok(generation)
    }

    async fn write(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        content: Vec<u8>,
        size_bytes: u64,
    ) -> Result<String, StoreError> {
        // A reader during the transfer finds half of the content.
        let half = content[..content.len() / 2].to_vec();
        self.reachable()?.find(prefix_key, generation)?.content = half;
        self.transfer(size_bytes, f64::INFINITY).await?;
        let digest = digest(&content);
        self.reachable()?.find(prefix_key, generation)?.content = content;
        Ok(digest)
    }

    async fn seal(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        digest: &str,
    ) -> Result<(), StoreError> {
        let mut state = self.reachable()?;
        let saved = state.find(prefix_key, generation)?;
        if saved.manifest.state != ManifestState::Writing {
            return Err(StoreError::NotFound);
        }
        saved.manifest.state = ManifestState::Sealed;
        saved.manifest.digest = digest.to_string();
        Ok(())
    }

    async fn pin(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(PinId, Manifest), StoreError> {
        let mut state = self.reachable()?;
        state.pins += 1;
        let pin = state.pins;
        let saved = state.find_sealed(prefix_key, generation)?;
        saved.pins.insert(pin);
        Ok((pin, saved.manifest.clone()))
    }

    async fn read(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<Vec<u8>, StoreError> {
        let prefix = self.reachable()?.find(prefix_key, generation)?.manifest.prefix.clone();
        let rate_limit = match prefix.tier {
            StoreTier::Memory => f64::INFINITY,
            StoreTier::Disk => self.settings.disk_bytes_per_second,
        };
        self.transfer(prefix.size_bytes, rate_limit).await?;
        let mut state = self.reachable()?;
        let corrupts_content = state.faults.corrupts_content;
        let mut content = state.find(prefix_key, generation)?.content.clone();
        if let Some(first) = content.first_mut().filter(|_| corrupts_content) {
            *first ^= 1;
        }
        Ok(content)
    }

    async fn unpin(&self, pin: PinId) -> Result<(), StoreError> {
        let mut state = self.reachable()?;
        for saved in state.saved.values_mut().flatten() {
            saved.pins.remove(&pin);
        }
        state.free_unpinned();
        Ok(())
    }

    async fn retire(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(), StoreError> {
        let mut state = self.reachable()?;
        state.find(prefix_key, generation)?.manifest.state = ManifestState::Retiring;
        state.free_unpinned();
        Ok(())
    }

    async fn manifests(
        &self,
        after: Option<PrefixKey>,
        count_limit: usize,
    ) -> Result<Vec<Manifest>, StoreError> {
        let state = self.reachable()?;
        let listed = state.saved.iter().filter(|(key, _)| after.is_none_or(|after| **key > after));
        Ok(listed
            .take(count_limit)
            .flat_map(|(_, generations)| generations.iter().map(|saved| saved.manifest.clone()))
            .collect())
    }

    async fn status(&self) -> Result<StoreStatus, StoreError> {
        let state = self.reachable()?;
        let link_bytes_per_second = self.settings.link_bytes_per_second * state.faults.link_factor;
        let backlog = state.link_free_at.saturating_duration_since(Instant::now());
        Ok(StoreStatus {
            memory_used_bytes: FakeStore::used_bytes(&state, StoreTier::Memory),
            memory_size_bytes: self.settings.memory_size_bytes,
            disk_used_bytes: FakeStore::used_bytes(&state, StoreTier::Disk),
            disk_size_bytes: self.settings.disk_size_bytes,
            link_bytes_per_second,
            link_queued_bytes: (backlog.as_secs_f64() * link_bytes_per_second) as u64,
            link_carried_bytes: state.link_carried_bytes,
            incarnation: state.incarnation,
            leaving: false,
        })
    }
}
