//! The prefix index: which runners and stores hold which prefixes, as last reported to this
//! process.

use skylarkpick_cache::{
    BLOCK_TOKENS, CacheEventsQuery, RunnerChange, RunnerPrefixIndex, StoreCopy, StorePrefixIndex,
};
use skylarkpick_interface::{
    CacheEventBatch, Generation, Manifest, PrefixKey, RunnerId, StoreId, StoreStatus,
};
use skylarkpick_schedule::{Holder, ImportPlan, PrefixView, SavedCopy};
use std::time::Duration;

/// Which runners and stores hold which prefixes, as last reported to this process. The router reads
/// it; entries may be outdated.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    pub(crate) runners: RunnerPrefixIndex,
    pub(crate) stores: StorePrefixIndex,
}

/// An update of the prefix index.
pub(crate) enum ContextUpdate {
    /// Cache events of a runner's incarnation.
    CacheEvents(RunnerId, u64, CacheEventBatch),
    /// A change of a runner's cache that a peer has read.
    PeerChange(RunnerId, RunnerChange),
    /// The status that a store reports.
    StoreStatus(StoreId, StoreStatus),
    /// A store cannot be reached.
    StoreUnavailable(StoreId),
    /// A manifest listed by a store's incarnation.
    Manifest(StoreId, u64, Manifest),
    /// A saved copy that can no longer be imported.
    CopyRemoved(StoreId, PrefixKey, Generation),
    /// An import has ended. `took` is its duration if the runner confirmed it, and `keys` are the
    /// imported blocks.
    ImportEnded { runner: RunnerId, plan: ImportPlan, took: Option<Duration>, keys: Vec<PrefixKey> },
}

impl PrefixView for PrefixIndex {
    fn holders(&self, keys: &[PrefixKey]) -> Vec<Holder> {
        let holders = self.runners.holders(keys).into_iter();
        holders
            .map(|holder| Holder {
                runner: holder.runner,
                tokens: holder.blocks as u64 * BLOCK_TOKENS,
            })
            .collect()
    }

    fn saved_copies(&self, keys: &[PrefixKey]) -> Vec<SavedCopy> {
        self.stores.copies(keys).into_iter().map(saved_copy).collect()
    }
}

fn saved_copy(copy: StoreCopy) -> SavedCopy {
    SavedCopy {
        store: copy.store,
        tier: copy.tier,
        tokens: copy.tokens,
        prefix_key: copy.prefix_key,
        generation: copy.generation,
        size_bytes: copy.size_bytes,
    }
}

impl PrefixIndex {
    /// Applies an update to the index. The caller passes updates that also change the router's state
    /// on to the router.
    pub(crate) fn apply(&mut self, update: &ContextUpdate) {
        match update {
            ContextUpdate::CacheEvents(runner, incarnation, batch) => {
                self.runners.apply_events(runner, *incarnation, batch);
            }
            ContextUpdate::PeerChange(runner, change) => self.runners.apply_change(runner, change),
            ContextUpdate::StoreStatus(store, status) => {
                self.stores.note_incarnation(store, status.incarnation);
            }
            ContextUpdate::StoreUnavailable(_) => {}
            ContextUpdate::Manifest(store, incarnation, manifest) => {
                self.stores.apply_manifest(store, *incarnation, manifest);
            }
            ContextUpdate::CopyRemoved(store, prefix_key, generation) => {
                self.stores.forget_copy(store, *prefix_key, *generation);
            }
            ContextUpdate::ImportEnded { runner, took, keys, .. } => {
                if took.is_some() {
                    self.runners.note_held_prefix(runner, keys);
                }
            }
        }
    }

    /// Returns the runner's incarnation that the index follows, and which events to read next.
    pub(crate) fn next_events(&self, runner: &str) -> (u64, CacheEventsQuery) {
        (self.runners.incarnation(runner), self.runners.next_events(runner))
    }
}
