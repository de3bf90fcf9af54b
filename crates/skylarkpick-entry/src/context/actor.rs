//! What the router's actor is told and asked about context.

use super::beliefs::Learned;
use crate::router_actor::{RouterActor, now};
use kameo::prelude::*;
use skylarkpick_cache::{CacheEventsQuery, RunnerHolder, StoreCopy};
use skylarkpick_interface::{AccountId, PrefixKey, RunnerId, StoreId};

/// Asks what to read of a runner's cache events next.
pub(super) struct AskNextEvents(pub(super) RunnerId);

/// Asks for every copy believed to be in a store.
pub(super) struct CopiesIn(pub(super) StoreId);

/// Asks for the copies of exactly the row that ends in a block, and the bytes of an account.
pub(super) struct CopiesOf(pub(super) PrefixKey, pub(super) AccountId);

/// Asks who holds a row, on behalf of a peer.
pub(super) struct LookUp(pub(super) Vec<PrefixKey>);

/// Counts what is believed.
pub(super) struct CountBeliefs;

/// Sizes of what is believed.
#[derive(Clone, Copy, Debug, Default, Reply)]
pub(super) struct BeliefCounts {
    pub(super) blocks: usize,
    pub(super) size_bytes: usize,
    pub(super) doubtful_runners: usize,
    pub(super) copies: usize,
}

impl Message<Learned> for RouterActor {
    type Reply = ();

    async fn handle(&mut self, learned: Learned, _: &mut Context<Self, Self::Reply>) {
        self.beliefs.learn(&learned);
        match learned {
            Learned::StoreStatus(store, status) => {
                self.router.observe_store(&store, &status, now());
            }
            Learned::StoreAway(store) => self.router.observe_store_failure(&store),
            Learned::ImportEnd { runner, plan, took, .. } => {
                self.router.observe_import_end(&runner, &plan, took);
            }
            _ => {}
        }
    }
}

impl Message<AskNextEvents> for RouterActor {
    type Reply = Option<(u64, CacheEventsQuery)>;

    async fn handle(
        &mut self,
        AskNextEvents(runner): AskNextEvents,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<(u64, CacheEventsQuery)> {
        Some(self.beliefs.next_events(&runner))
    }
}

impl Message<CopiesIn> for RouterActor {
    type Reply = Vec<StoreCopy>;

    async fn handle(
        &mut self,
        CopiesIn(store): CopiesIn,
        _: &mut Context<Self, Self::Reply>,
    ) -> Vec<StoreCopy> {
        self.beliefs.stores.copies_in(&store)
    }
}

impl Message<CopiesOf> for RouterActor {
    type Reply = Option<(Vec<StoreCopy>, u64)>;

    async fn handle(
        &mut self,
        CopiesOf(key, account): CopiesOf,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<(Vec<StoreCopy>, u64)> {
        let stores = &self.beliefs.stores;
        Some((stores.copies(&[key]), stores.account_bytes(&account)))
    }
}

impl Message<LookUp> for RouterActor {
    type Reply = (Vec<RunnerHolder>, Vec<StoreCopy>);

    async fn handle(
        &mut self,
        LookUp(keys): LookUp,
        _: &mut Context<Self, Self::Reply>,
    ) -> (Vec<RunnerHolder>, Vec<StoreCopy>) {
        (self.beliefs.runners.holders(&keys), self.beliefs.stores.copies(&keys))
    }
}

impl Message<CountBeliefs> for RouterActor {
    type Reply = BeliefCounts;

    async fn handle(
        &mut self,
        _: CountBeliefs,
        _: &mut Context<Self, Self::Reply>,
    ) -> BeliefCounts {
        BeliefCounts {
            blocks: self.beliefs.runners.len(),
            size_bytes: self.beliefs.runners.size_bytes(),
            doubtful_runners: self.beliefs.runners.doubtful_runners(),
            copies: self.beliefs.stores.len(),
        }
    }
}
