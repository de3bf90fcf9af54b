//! The saving actor: decides after each run which prefix is saved to which store, and exports it.

use super::{
    export::{ExportError, ExportJob},
    messages::{ReadPrefixCopies, ReadStoreCopies},
    prefix_history::PrefixHistory,
    prefix_index::ContextUpdate,
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

/// Minimum length in blocks at which a prefix is worth saving.
const SAVED_BLOCKS_FLOOR: usize = 4;
/// Maximum number of exports in progress in one process.
const EXPORTS_LIMIT: usize = 4;

/// Decides which prefixes to save and tracks the exports in progress.
#[derive(Actor)]
pub(super) struct SavingActor {
    router: ActorRef<RouterActor>,
    connector: Arc<dyn TargetConnector>,
    active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    data_centre: String,
    policies: BTreeMap<ModelName, SavingPolicy>,
    /// Capacity of each store, and the store's incarnation.
    stores: BTreeMap<StoreId, (StoreCapacity, u64)>,
    history: PrefixHistory,
    /// Bytes that exports in progress will add, by account.
    exporting_bytes: BTreeMap<AccountId, u64>,
    exports: usize,
}

/// A run has completed; its runner has the prompt's blocks in its cache.
pub(crate) struct CompletedRun {
    pub(crate) account: AccountId,
    pub(crate) model: ModelName,
    pub(crate) runner: RunnerId,
    pub(crate) address: String,
    pub(crate) weight_version: WeightVersion,
    pub(crate) keys: Vec<PrefixKey>,
}

/// The status that a store reports; `None` while it cannot be reached.
pub(super) struct StoreReport(pub(super) StoreId, pub(super) Option<StoreStatus>);

/// Counts the exports in progress.
pub(super) struct CountExports;

struct ExportEnded {
    model: ModelName,
    job: ExportJob,
    incarnation: u64,
    outcome: Result<Manifest, ExportError>,
}

impl SavingActor {
    pub(super) fn open(
        router: ActorRef<RouterActor>,
        connector: Arc<dyn TargetConnector>,
        active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
        data_centre: &str,
    ) -> SavingActor {
        SavingActor {
            router,
            connector,
            active_configuration,
            data_centre: data_centre.to_string(),
            policies: BTreeMap::new(),
            stores: BTreeMap::new(),
            history: PrefixHistory::default(),
            exporting_bytes: BTreeMap::new(),
            exports: 0,
        }
    }

    /// Returns the part of a prompt that may be worth saving: the longest start that was used
    /// before, or the whole prompt if that start is too short.
    fn saved_keys<'a>(&mut self, run: &'a CompletedRun) -> Option<&'a [PrefixKey]> {
        let reused = self.history.record(&run.keys, tokio::time::Instant::now());
        let blocks = if reused >= SAVED_BLOCKS_FLOOR { reused } else { run.keys.len() };
        (blocks >= SAVED_BLOCKS_FLOOR).then(|| &run.keys[..blocks])
    }

    async fn decide(&mut self, run: &CompletedRun) -> Vec<(SaveDecision, Vec<PrefixKey>)> {
        let active = self.active_configuration.borrow().clone();
        let configuration = &active.configuration;
        let Some(model) = configuration.models.get(&run.model) else { return Vec::new() };
        let saving_enabled =
            configuration.serving.get(&model.serving).is_none_or(|serving| serving.saving);
        let Some(keys) = self.saved_keys(run).filter(|_| saving_enabled) else { return Vec::new() };
        let Some(last) = keys.last().copied() else { return Vec::new() };
        if self.exports >= EXPORTS_LIMIT {
            return Vec::new();
        }
        let reply = self.router.ask(ReadPrefixCopies(last, run.account.clone())).await;
        let Ok(Some((copies, saved_bytes))) = reply else { return Vec::new() };
        let limit_bytes = configuration
            .accounts
            .get(&run.account)
            .map_or(u64::MAX, |account| account.saved_bytes_limit);
        let tokens = keys.len() as u64 * BLOCK_TOKENS;
        let policy = self.policy(&run.model, model.context_bytes_per_token);
        copies.iter().for_each(|copy| policy.note_saved(last, &copy.store, copy.tier));
        let decisions = policy.on_use(&run.runner, last, &run.account, tokens, now());
        let mut allowed = Vec::new();
        for decision in decisions {
            let exporting = self.exporting_bytes.get(&run.account).copied().unwrap_or_default();
            if saved_bytes + exporting + decision.size_bytes > limit_bytes {
                self.policy(&run.model, 0).note_copy_removed(last, &decision.store, decision.tier);
                continue;
            }
            *self.exporting_bytes.entry(run.account.clone()).or_default() += decision.size_bytes;
            allowed.push((decision, keys.to_vec()));
        }
        allowed
    }

    fn policy(&mut self, model: &str, context_bytes_per_token: u64) -> &mut SavingPolicy {
        let stores = &self.stores;
        self.policies.entry(model.to_string()).or_insert_with(|| {
            let settings = SavingSettings {
                context_bytes_per_token,
                // A completed run only names its own prefix, so no other prefix can be exported.
                saves_near_eviction: false,
                ..SavingSettings::default()
            };
            let mut policy = SavingPolicy::open(settings);
            stores.values().for_each(|(capacity, _)| policy.set_store(capacity.clone()));
            policy
        })
    }

    /// Starts one export. If the store turns out to be full, copies are evicted and the export is
    /// tried once more.
    async fn start_export(
        &mut self,
        run: &CompletedRun,
        (decision, prefix_keys): (SaveDecision, Vec<PrefixKey>),
        actor: ActorRef<SavingActor>,
    ) {
        let Some(address) = self.store_address(&decision.store) else { return };
        let store = self.connector.store(&address);
        let job = ExportJob {
            runner: self.connector.runner(&run.address),
            store,
            store_name: decision.store.clone(),
            store_address: address,
            prefix: SavedPrefix {
                prefix_key: decision.prefix_key,
                prefix_keys,
                account: run.account.clone(),
                weight_version: run.weight_version,
                tokens: decision.tokens,
                size_bytes: decision.size_bytes,
                tier: decision.tier,
            },
        };
        let evictable = self.evictable_copies(&run.model, &decision).await;
        let incarnation =
            self.stores.get(&decision.store).map_or(0, |(_, incarnation)| *incarnation);
        let model = run.model.clone();
        self.exports += 1;
        tokio::spawn(async move {
            let mut outcome = job.run().await;
            if outcome == Err(ExportError::Reserve(StoreError::Full)) && !evictable.is_empty() {
                for (key, generation) in evictable {
                    // Fails for a copy that was already removed, which frees its space as well.
                    let _ = job.store.retire(key, generation).await;
                }
                outcome = job.run().await;
            }
            // Fails only while the process is exiting.
            let _ = actor.tell(ExportEnded { model, job, incarnation, outcome }).await;
        });
    }

    /// Returns the copies to evict if the store turns out to be full.
    async fn evictable_copies(
        &mut self,
        model: &str,
        decision: &SaveDecision,
    ) -> Vec<(PrefixKey, u64)> {
        let copies =
            self.router.ask(ReadStoreCopies(decision.store.clone())).await.unwrap_or_default();
        let in_tier: Vec<_> = copies.iter().filter(|copy| copy.tier == decision.tier).collect();
        let now = now();
        let entries: Vec<SavedEntry> = in_tier
            .iter()
            .map(|copy| SavedEntry {
                prefix_key: copy.prefix_key,
                account: copy.account.clone(),
                tokens: copy.tokens,
                size_bytes: copy.size_bytes,
                last_used_at: self
                    .history
                    .used_at(copy.prefix_key)
                    .map_or(now, tokio::time::Instant::into_std),
            })
            .collect();
        let tier_bytes =
            self.stores.get(&decision.store).map_or(0, |(capacity, _)| match decision.tier {
                StoreTier::Memory => capacity.memory_size_bytes,
                StoreTier::Disk => capacity.disk_size_bytes,
            });
        let policy = self.policy(model, 0);
        let evicted = policy.evict(&entries, tier_bytes, decision.size_bytes, now);
        in_tier
            .iter()
            .filter(|copy| evicted.contains(&copy.prefix_key))
            .map(|copy| (copy.prefix_key, copy.generation))
            .collect()
    }

    /// Returns the address of a store of this data centre.
    fn store_address(&self, store: &str) -> Option<String> {
        let active = self.active_configuration.borrow();
        let targets = active.configuration.data_centres.get(&self.data_centre)?;
        targets.stores.get(store).map(|target| target.address.clone())
    }
}

/// Returns the capacity of a store from its reported status.
fn store_capacity(store: &str, status: &StoreStatus) -> StoreCapacity {
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

impl Message<CompletedRun> for SavingActor {
    type Reply = ();

    async fn handle(&mut self, run: CompletedRun, context: &mut Context<Self, Self::Reply>) {
        for decided in self.decide(&run).await {
            self.start_export(&run, decided, context.actor_ref().clone()).await;
        }
    }
}

impl Message<ExportEnded> for SavingActor {
    type Reply = ();

    async fn handle(&mut self, ended: ExportEnded, _: &mut Context<Self, Self::Reply>) {
        let ExportEnded { model, job, incarnation, outcome } = ended;
        self.exports = self.exports.saturating_sub(1);
        if let Some(bytes) = self.exporting_bytes.get_mut(&job.prefix.account) {
            *bytes = bytes.saturating_sub(job.prefix.size_bytes);
        }
        match outcome {
            Ok(manifest) => {
                let update = ContextUpdate::Manifest(job.store_name, incarnation, manifest);
                // Fails only while the process is exiting.
                let _ = self.router.tell(update).await;
            }
            Err(error) => {
                self.policy(&model, 0).note_copy_removed(
                    job.prefix.prefix_key,
                    &job.store_name,
                    job.prefix.tier,
                );
                spdlog::warn!("export of a prefix failed", kv: {
                    store = job.store_name.as_str(), error = error.to_string().as_str(),
                });
            }
        }
    }
}

impl Message<StoreReport> for SavingActor {
    type Reply = ();

    async fn handle(&mut self, message: StoreReport, _: &mut Context<Self, Self::Reply>) {
        let StoreReport(store, status) = message;
        let Some(status) = status else {
            if let Some((capacity, _)) = self.stores.get_mut(&store) {
                capacity.usable = false;
                let capacity = capacity.clone();
                self.policies.values_mut().for_each(|policy| policy.set_store(capacity.clone()));
            }
            return;
        };
        let capacity = store_capacity(&store, &status);
        let before = self.stores.insert(store.clone(), (capacity.clone(), status.incarnation));
        let restarted = before.is_some_and(|(_, incarnation)| incarnation != status.incarnation);
        for policy in self.policies.values_mut() {
            policy.set_store(capacity.clone());
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
