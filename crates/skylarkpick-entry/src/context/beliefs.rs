//! What this process believes of runners' caches and stores, as the router reads it.

use skylarkpick_cache::{
    BLOCK_TOKENS, CacheEventsQuery, RunnerChange, RunnerPrefixIndex, StoreCopy, StorePrefixIndex,
};
use skylarkpick_interface::{
    CacheEventBatch, Generation, Manifest, PrefixKey, RunnerId, StoreId, StoreStatus,
};
use skylarkpick_schedule::{Holder, ImportPlan, PrefixView, SavedCopy};
use std::time::Duration;

/// What this process believes of runners' caches and stores.
#[derive(Debug, Default)]
pub(crate) struct Beliefs {
    pub(crate) runners: RunnerPrefixIndex,
    pub(crate) stores: StorePrefixIndex,
}

/// News of runners' caches and stores.
pub(crate) enum Learned {
    /// Cache events of a runner's incarnation.
    Events(RunnerId, u64, CacheEventBatch),
    /// What a peer read of a runner's cache.
    Change(RunnerId, RunnerChange),
    /// What a store reports of itself.
    StoreStatus(StoreId, StoreStatus),
    /// A store cannot be reached.
    StoreAway(StoreId),
    /// A manifest of a store's incarnation.
    Manifest(StoreId, u64, Manifest),
    /// A save that cannot be imported any more.
    CopyGone(StoreId, PrefixKey, Generation),
    /// An import has ended; with its time if it was confirmed, and the blocks that it brought.
    ImportEnd { runner: RunnerId, plan: ImportPlan, took: Option<Duration>, keys: Vec<PrefixKey> },
}

impl PrefixView for Beliefs {
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

impl Beliefs {
    /// Takes news of caches and stores in. What the router itself has to know is its affair.
    pub(crate) fn learn(&mut self, learned: &Learned) {
        match learned {
            Learned::Events(runner, incarnation, batch) => {
                self.runners.apply_events(runner, *incarnation, batch);
            }
            Learned::Change(runner, change) => self.runners.apply_change(runner, change),
            Learned::StoreStatus(store, status) => {
                self.stores.note_incarnation(store, status.incarnation);
            }
            Learned::StoreAway(_) => {}
            Learned::Manifest(store, incarnation, manifest) => {
                self.stores.apply_manifest(store, *incarnation, manifest);
            }
            Learned::CopyGone(store, prefix_key, generation) => {
                self.stores.forget_copy(store, *prefix_key, *generation);
            }
            Learned::ImportEnd { runner, took, keys, .. } => {
                if took.is_some() {
                    self.runners.note_held_prefix(runner, keys);
                }
            }
        }
    }

    /// The start of a runner that is followed, and what to ask it for next.
    pub(crate) fn next_events(&self, runner: &str) -> (u64, CacheEventsQuery) {
        (self.runners.incarnation(runner), self.runners.next_events(runner))
    }
}
