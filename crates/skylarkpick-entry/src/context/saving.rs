//! Decides after each run what is saved, and has it exported.

use super::{
    actor::{CopiesIn, CopiesOf},
    beliefs::Learned,
    export::{ExportError, ExportJob},
    seen::SeenPrefixes,
};
use crate::{
    active_configuration::ActiveConfiguration,
    router_actor::{RouterActor, now},
};
use kameo::prelude::*;
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::{
    AccountId, Manifest, ModelName, PrefixKey, RunnerId, SavedPrefix, StoreError, StoreId,
    StoreStatus, StoreTier, TargetConnector, WeightVersion,
};
use skylarkpick_schedule::{SaveDecision, SavedEntry, SavingPolicy, SavingSettings, StoreCapacity};
use std::{collections::BTreeMap, sync::Arc};
use tokio::sync::watch;

/// Blocks from which on a prefix is worth saving.
const SAVED_BLOCKS_FLOOR: usize = 4;
/// Exports that one process has under way at once.
const EXPORTS_LIMIT: usize = 4;

/// Decides after each run what is saved, and has it exported.
#[derive(Actor)]
pub(super) struct SavingActor {
    router: ActorRef<RouterActor>,
    connector: Arc<dyn TargetConnector>,
    in_force: watch::Receiver<Arc<ActiveConfiguration>>,
    data_centre: String,
    policies: BTreeMap<ModelName, SavingPolicy>,
    rooms: BTreeMap<StoreId, (StoreCapacity, u64)>,
    seen: SeenPrefixes,
    /// Bytes that exports under way will add, by account.
    under_way_bytes: BTreeMap<AccountId, u64>,
    exports: usize,
}

/// A run has come to its end, and its runner holds the prompt's blocks.
pub(crate) struct Used {
    pub(crate) account: AccountId,
    pub(crate) model: ModelName,
    pub(crate) runner: RunnerId,
    pub(crate) address: String,
    pub(crate) weight_version: WeightVersion,
    pub(crate) keys: Vec<PrefixKey>,
}

/// What a store reports of itself; `None` while it cannot be reached.
pub(super) struct StoreSeen(pub(super) StoreId, pub(super) Option<StoreStatus>);

/// Counts exports under way.
pub(super) struct CountExports;

struct Exported {
    model: ModelName,
    job: ExportJob,
    incarnation: u64,
    outcome: Result<Manifest, ExportError>,
}

impl SavingActor {
    pub(super) fn open(
        router: ActorRef<RouterActor>,
        connector: Arc<dyn TargetConnector>,
        in_force: watch::Receiver<Arc<ActiveConfiguration>>,
        data_centre: &str,
    ) -> SavingActor {
        SavingActor {
            router,
            connector,
            in_force,
            data_centre: data_centre.to_string(),
            policies: BTreeMap::new(),
            rooms: BTreeMap::new(),
            seen: SeenPrefixes::default(),
            under_way_bytes: BTreeMap::new(),
            exports: 0,
        }
    }

    /// The part of a prompt that may be worth a copy: the longest start that returned, or at
    /// first sight all of it.
    fn saved_keys<'a>(&mut self, used: &'a Used) -> Option<&'a [PrefixKey]> {
        let returned = self.seen.note(&used.keys, tokio::time::Instant::now());
        let blocks = if returned >= SAVED_BLOCKS_FLOOR { returned } else { used.keys.len() };
        (blocks >= SAVED_BLOCKS_FLOOR).then(|| &used.keys[..blocks])
    }

    async fn decide(&mut self, used: &Used) -> Vec<(SaveDecision, Vec<PrefixKey>)> {
        let in_force = self.in_force.borrow().clone();
        let configuration = &in_force.configuration;
        let Some(model) = configuration.models.get(&used.model) else { return Vec::new() };
        let saves = configuration.serving.get(&model.serving).is_none_or(|serving| serving.saving);
        let Some(keys) = self.saved_keys(used).filter(|_| saves) else { return Vec::new() };
        let Some(last) = keys.last().copied() else { return Vec::new() };
        if self.exports >= EXPORTS_LIMIT {
            return Vec::new();
        }
        let asked = self.router.ask(CopiesOf(last, used.account.clone())).await;
        let Ok(Some((copies, saved_bytes))) = asked else { return Vec::new() };
        let limit_bytes = configuration
            .accounts
            .get(&used.account)
            .map_or(u64::MAX, |account| account.saved_bytes_limit);
        let tokens = keys.len() as u64 * BLOCK_TOKENS;
        let policy = self.policy(&used.model, model.context_bytes_per_token);
        copies.iter().for_each(|copy| policy.note_saved(last, &copy.store, copy.tier));
        let decisions = policy.on_use(&used.runner, last, &used.account, tokens, now());
        let mut allowed = Vec::new();
        for decision in decisions {
            let under_way = self.under_way_bytes.get(&used.account).copied().unwrap_or_default();
            if saved_bytes + under_way + decision.size_bytes > limit_bytes {
                self.policy(&used.model, 0).note_copy_removed(last, &decision.store, decision.tier);
                continue;
            }
            *self.under_way_bytes.entry(used.account.clone()).or_default() += decision.size_bytes;
            allowed.push((decision, keys.to_vec()));
        }
        allowed
    }

    fn policy(&mut self, model: &str, context_bytes_per_token: u64) -> &mut SavingPolicy {
        let rooms = &self.rooms;
        self.policies.entry(model.to_string()).or_insert_with(|| {
            let settings = SavingSettings {
                context_bytes_per_token,
                // A use tells of its own prefix alone, so only that one can be exported.
                saves_near_eviction: false,
                ..SavingSettings::default()
            };
            let mut policy = SavingPolicy::open(settings);
            rooms.values().for_each(|(room, _)| policy.set_store(room.clone()));
            policy
        })
    }

    /// Begins one export, after making room for it if its tier is full.
    async fn begin(
        &mut self,
        used: &Used,
        (decision, prefix_keys): (SaveDecision, Vec<PrefixKey>),
        actor: ActorRef<SavingActor>,
    ) {
        let Some(address) = self.store_address(&decision.store) else { return };
        let store = self.connector.store(&address);
        let job = ExportJob {
            runner: self.connector.runner(&used.address),
            store,
            store_name: decision.store.clone(),
            store_address: address,
            prefix: SavedPrefix {
                prefix_key: decision.prefix_key,
                prefix_keys,
                account: used.account.clone(),
                weight_version: used.weight_version,
                tokens: decision.tokens,
                size_bytes: decision.size_bytes,
                tier: decision.tier,
            },
        };
        let evicted = self.room_for(&used.model, &decision).await;
        let incarnation = self.rooms.get(&decision.store).map_or(0, |(_, number)| *number);
        let model = used.model.clone();
        self.exports += 1;
        tokio::spawn(async move {
            let mut outcome = job.carry_out().await;
            if outcome == Err(ExportError::Reserve(StoreError::Full)) && !evicted.is_empty() {
                for (key, generation) in evicted {
                    // A copy that is gone already leaves room too.
                    let _ = job.store.retire(key, generation).await;
                }
                outcome = job.carry_out().await;
            }
            // A stopped actor means that the process ends.
            let _ = actor.tell(Exported { model, job, incarnation, outcome }).await;
        });
    }

    /// Copies that would give way if the store turns out to be full.
    async fn room_for(&mut self, model: &str, decision: &SaveDecision) -> Vec<(PrefixKey, u64)> {
        let copies = self.router.ask(CopiesIn(decision.store.clone())).await.unwrap_or_default();
        let in_tier: Vec<_> = copies.iter().filter(|copy| copy.tier == decision.tier).collect();
        let long_ago = now();
        let entries: Vec<SavedEntry> = in_tier
            .iter()
            .map(|copy| SavedEntry {
                prefix_key: copy.prefix_key,
                account: copy.account.clone(),
                tokens: copy.tokens,
                size_bytes: copy.size_bytes,
                last_used_at: self
                    .seen
                    .used_at(copy.prefix_key)
                    .map_or(long_ago, tokio::time::Instant::into_std),
            })
            .collect();
        let tier_bytes =
            self.rooms.get(&decision.store).map_or(0, |(room, _)| match decision.tier {
                StoreTier::Memory => room.memory_size_bytes,
                StoreTier::Disk => room.disk_size_bytes,
            });
        let policy = self.policy(model, 0);
        let evicted = policy.evict(&entries, tier_bytes, decision.size_bytes, long_ago);
        in_tier
            .iter()
            .filter(|copy| evicted.contains(&copy.prefix_key))
            .map(|copy| (copy.prefix_key, copy.generation))
            .collect()
    }

    /// Address of a store of this data centre.
    fn store_address(&self, store: &str) -> Option<String> {
        let in_force = self.in_force.borrow();
        let centre = in_force.configuration.data_centres.get(&self.data_centre)?;
        centre.stores.get(store).map(|target| target.address.clone())
    }
}

/// Room of a store as it reports it.
fn store_room(store: &str, status: &StoreStatus) -> StoreCapacity {
    StoreCapacity {
        store: store.to_string(),
        memory_free_bytes: status.memory_size_bytes.saturating_sub(status.memory_used_bytes),
        memory_size_bytes: status.memory_size_bytes,
        disk_free_bytes: status.disk_size_bytes.saturating_sub(status.disk_used_bytes),
        disk_size_bytes: status.disk_size_bytes,
        link_bytes_per_second: status.link_bytes_per_second,
        usable: !status.leaving,
    }
}

impl Message<Used> for SavingActor {
    type Reply = ();

    async fn handle(&mut self, used: Used, context: &mut Context<Self, Self::Reply>) {
        for decided in self.decide(&used).await {
            self.begin(&used, decided, context.actor_ref().clone()).await;
        }
    }
}

impl Message<Exported> for SavingActor {
    type Reply = ();

    async fn handle(&mut self, exported: Exported, _: &mut Context<Self, Self::Reply>) {
        let Exported { model, job, incarnation, outcome } = exported;
        self.exports = self.exports.saturating_sub(1);
        if let Some(bytes) = self.under_way_bytes.get_mut(&job.prefix.account) {
            *bytes = bytes.saturating_sub(job.prefix.size_bytes);
        }
        match outcome {
            Ok(manifest) => {
                let learned = Learned::Manifest(job.store_name, incarnation, manifest);
                // A stopped actor means that the process ends.
                let _ = self.router.tell(learned).await;
            }
            Err(error) => {
                self.policy(&model, 0).note_copy_removed(
                    job.prefix.prefix_key,
                    &job.store_name,
                    job.prefix.tier,
                );
                spdlog::warn!("a prefix was not saved", kv: {
                    store = job.store_name.as_str(), error = error.to_string().as_str(),
                });
            }
        }
    }
}

impl Message<StoreSeen> for SavingActor {
    type Reply = ();

    async fn handle(&mut self, message: StoreSeen, _: &mut Context<Self, Self::Reply>) {
        let StoreSeen(store, status) = message;
        let Some(status) = status else {
            if let Some((room, _)) = self.rooms.get_mut(&store) {
                room.usable = false;
                let room = room.clone();
                self.policies.values_mut().for_each(|policy| policy.set_store(room.clone()));
            }
            return;
        };
        let room = store_room(&store, &status);
        let before = self.rooms.insert(store.clone(), (room.clone(), status.incarnation));
        let restarted = before.is_some_and(|(_, number)| number != status.incarnation);
        for policy in self.policies.values_mut() {
            policy.set_store(room.clone());
            if restarted {
                policy.note_store_emptied(&store);
            }
        }
    }
}

impl Message<CountExports> for SavingActor {
    type Reply = usize;

    async fn handle(&mut self, _: CountExports, _: &mut Context<Self, Self::Reply>) -> usize {
        self.exports
    }
}
