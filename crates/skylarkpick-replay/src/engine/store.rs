//! A simulated store VM with a memory tier and a disk tier behind one link.

use super::event_queue::{ContextId, RunId};
use crate::trace::FleetStore;
use skylarkpick_interface::{PrefixKey, StoreTier};
use skylarkpick_schedule::{
    ImportOrdering, SavedEntry, SavingPolicy, StoreCapacity, TransferId, TransferQueue,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A saved copy of a context.
#[derive(Clone, Debug)]
pub(super) struct SavedContext {
    pub(super) tokens: u64,
    pub(super) entry: SavedEntry,
}

/// Direction of a transfer and the context that it carries.
#[derive(Clone, Debug)]
pub(super) enum TransferPurpose {
    /// From the store to a runner; `waiters` are the runs that wait for it.
    Import { entry: usize, runner: usize, context: ContextId, tokens: u64, waiters: Vec<RunId> },
    /// From a runner to a tier of the store.
    Export { runner: usize, context: ContextId, tier: StoreTier, saved: SavedContext },
}

/// A transfer that is queued or in progress.
#[derive(Clone, Debug)]
pub(super) struct TransferState {
    pub(super) purpose: TransferPurpose,
    pub(super) size_bytes: u64,
    pub(super) requested_at: Duration,
    pub(super) started_at: Option<Duration>,
}

/// A simulated store VM. `epoch` counts its crashes.
#[derive(Debug)]
pub(super) struct SimulatedStore {
    pub(super) sizes: FleetStore,
    pub(super) data_centre: usize,
    pub(super) down: bool,
    pub(super) epoch: u32,
    pub(super) link_factor: f64,
    pub(super) queue: TransferQueue,
    pub(super) transfers: BTreeMap<TransferId, TransferState>,
    pub(super) disk_free_at: Duration,
    /// Start, end and bytes of every transfer over the link.
    pub(super) link_transfers: Vec<(Duration, Duration, u64)>,
    link_share: f64,
    memory: BTreeMap<ContextId, SavedContext>,
    disk: BTreeMap<ContextId, SavedContext>,
}

impl SimulatedStore {
    pub(super) fn open(
        sizes: &FleetStore,
        data_centre: usize,
        link_share: f64,
        ordering: ImportOrdering,
    ) -> SimulatedStore {
        let budget = sizes.link_bytes_per_second * link_share;
        SimulatedStore {
            sizes: sizes.clone(),
            data_centre,
            down: false,
            epoch: 0,
            link_factor: 1.0,
            queue: TransferQueue::open(budget, ordering),
            transfers: BTreeMap::new(),
            disk_free_at: Duration::ZERO,
            link_transfers: Vec::new(),
            link_share,
            memory: BTreeMap::new(),
            disk: BTreeMap::new(),
        }
    }

    pub(super) fn link_rate(&self) -> f64 {
        self.sizes.link_bytes_per_second * self.link_factor
    }

    pub(super) fn set_link_factor(&mut self, factor: f64) {
        self.link_factor = factor;
        self.queue.set_budget(self.link_rate() * self.link_share);
    }

    pub(super) fn tier(&self, tier: StoreTier) -> &BTreeMap<ContextId, SavedContext> {
        match tier {
            StoreTier::Memory => &self.memory,
            StoreTier::Disk => &self.disk,
        }
    }

    fn tier_mut(&mut self, tier: StoreTier) -> &mut BTreeMap<ContextId, SavedContext> {
        match tier {
            StoreTier::Memory => &mut self.memory,
            StoreTier::Disk => &mut self.disk,
        }
    }

    fn size_bytes(&self, tier: StoreTier) -> u64 {
        match tier {
            StoreTier::Memory => self.sizes.memory_size_bytes,
            StoreTier::Disk => self.sizes.disk_size_bytes,
        }
    }

    fn used_bytes(&self, tier: StoreTier) -> u64 {
        self.tier(tier).values().map(|saved| saved.entry.size_bytes).sum()
    }

    pub(super) fn touch(&mut self, context: ContextId, now: Instant) {
        for tier in [StoreTier::Memory, StoreTier::Disk] {
            if let Some(saved) = self.tier_mut(tier).get_mut(&context) {
                saved.entry.last_used_at = now;
            }
        }
    }

    /// Inserts a copy, evicting others as the saving policy decides. Returns the evicted contexts.
    pub(super) fn put(
        &mut self,
        context: ContextId,
        tier: StoreTier,
        saved: SavedContext,
        policy: &SavingPolicy,
        now: Instant,
    ) -> Vec<(ContextId, PrefixKey)> {
        let size_bytes = self.size_bytes(tier);
        let excess_bytes =
            (self.used_bytes(tier) + saved.entry.size_bytes).saturating_sub(size_bytes);
        let mut evicted_contexts = Vec::new();
        if excess_bytes > 0 {
            let entries: Vec<SavedEntry> =
                self.tier(tier).values().map(|saved| saved.entry.clone()).collect();
            let evicted = policy.evict(&entries, size_bytes, excess_bytes, now);
            let held = self.tier_mut(tier);
            let contexts: BTreeMap<PrefixKey, ContextId> =
                held.iter().map(|(context, saved)| (saved.entry.prefix_key, *context)).collect();
            for key in evicted {
                if let Some(context) = contexts.get(&key) {
                    held.remove(context);
                    evicted_contexts.push((*context, key));
                }
            }
        }
        self.tier_mut(tier).insert(context, saved);
        evicted_contexts
    }

    /// Drops all copies and transfers. Returns the aborted transfers.
    pub(super) fn crash(&mut self) -> Vec<TransferState> {
        self.epoch += 1;
        self.memory.clear();
        self.disk.clear();
        self.queue.clear();
        std::mem::take(&mut self.transfers).into_values().collect()
    }

    pub(super) fn capacity(&self) -> StoreCapacity {
        let free = |tier| self.size_bytes(tier).saturating_sub(self.used_bytes(tier));
        StoreCapacity {
            store: self.sizes.name.clone(),
            memory_free_bytes: free(StoreTier::Memory),
            memory_size_bytes: self.sizes.memory_size_bytes,
            disk_free_bytes: free(StoreTier::Disk),
            disk_size_bytes: self.sizes.disk_size_bytes,
            link_bytes_per_second: self.link_rate(),
            usable: !self.down,
        }
    }
}
