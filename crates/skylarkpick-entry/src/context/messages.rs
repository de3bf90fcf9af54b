//! Messages to the router actor about cached and saved context.

use super::prefix_index::ContextUpdate;
use crate::router_actor::{RouterActor, now};
use kameo::prelude::*;
use skylarkpick_cache::{CacheEventsQuery, RunnerHolder, StoreCopy};
use skylarkpick_interface::{AccountId, PrefixKey, RunnerId, StoreId};

/// Reads a runner's incarnation and which of its cache events to read next.
pub(super) struct NextCacheEvents(pub(super) RunnerId);

/// Reads every copy that the index lists in a store.
pub(super) struct ReadStoreCopies(pub(super) StoreId);

/// Reads the copies of the prefix that ends with this block, and the saved bytes of the account.
pub(super) struct ReadPrefixCopies(pub(super) PrefixKey, pub(super) AccountId);

/// Looks up which runners and stores hold the start of a prompt, on behalf of a peer.
pub(super) struct LookUpHolders(pub(super) Vec<PrefixKey>);

/// Reads the sizes of the prefix index.
pub(super) struct ReadIndexSizes;

/// Sizes of the prefix index.
#[derive(Clone, Copy, Debug, Default, Reply)]
pub(super) struct IndexSizes {
    pub(super) blocks: usize,
    pub(super) size_bytes: usize,
    pub(super) doubtful_runners: usize,
    pub(super) copies: usize,
}

impl Message<ContextUpdate> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, update: ContextUpdate, _: &mut Context<Self, Self::Reply>) {
        self.prefix_index.apply(&update);
        match update {
            ContextUpdate::StoreStatus(store, status) => {
                self.router.observe_store(&store, &status, now());
            }
            ContextUpdate::StoreUnavailable(store) => self.router.observe_store_failure(&store),
            ContextUpdate::ImportEnded { runner, plan, took, .. } => {
                self.router.observe_import_end(&runner, &plan, took);
            }
            _ => {}
        }
    }
}

impl Message<NextCacheEvents> for RouterActor {
    type Reply = Option<(u64, CacheEventsQuery)>;

    async fn handle(
        &mut self,
        NextCacheEvents(runner): NextCacheEvents,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<(u64, CacheEventsQuery)> {
        Some(self.prefix_index.next_events(&runner))
    }
}

impl Message<ReadStoreCopies> for RouterActor {
    type Reply = Vec<StoreCopy>;

    async fn handle(
        &mut self,
        ReadStoreCopies(store): ReadStoreCopies,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<StoreCopy> {
        self.prefix_index.stores.copies_in(&store)
    }
}

impl Message<ReadPrefixCopies> for RouterActor {
    type Reply = Option<(Vec<StoreCopy>, u64)>;

    async fn handle(
        &mut self,
        ReadPrefixCopies(key, account): ReadPrefixCopies,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<(Vec<StoreCopy>, u64)> {
        let stores = &self.prefix_index.stores;
        Some((stores.copies(&[key]), stores.account_bytes(&account)))
    }
}

impl Message<LookUpHolders> for RouterActor {
    type Reply = (Vec<RunnerHolder>, Vec<StoreCopy>);

    async fn handle(
        &mut self,
        LookUpHolders(keys): LookUpHolders,
        _: &mut Context<Self, Self::Reply>,
    ) -> (Vec<RunnerHolder>, Vec<StoreCopy>) {
        (self.prefix_index.runners.holders(&keys), self.prefix_index.stores.copies(&keys))
    }
}

impl Message<ReadIndexSizes> for RouterActor {
    type Reply = IndexSizes;

    async fn handle(
        &mut self,
        _: ReadIndexSizes,
        _: &mut Context<Self, Self::Reply>,
    ) -> IndexSizes {
        IndexSizes {
            blocks: self.prefix_index.runners.len(),
            size_bytes: self.prefix_index.runners.size_bytes(),
            doubtful_runners: self.prefix_index.runners.doubtful_runners(),
            copies: self.prefix_index.stores.len(),
        }
    }
}
