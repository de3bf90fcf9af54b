//! Imports of a saved prefix from a store to a runner. Concurrent requests for the same prefix and
//! runner share one import.

use super::prefix_index::ContextUpdate;
use crate::router_actor::RouterActor;
use kameo::prelude::*;
use skylarkpick_cache::{BLOCK_TOKENS, ImportRefusal, check_import};
use skylarkpick_interface::{
    AccountId, ImportOrder, PinId, PrefixKey, Runner, RunnerId, Store, StoreError, TransferError,
    WeightVersion,
};
use skylarkpick_schedule::ImportPlan;
use std::{collections::BTreeMap, sync::Arc};
use tokio::{sync::oneshot, time::Instant};

/// One import of a saved copy to a runner.
#[derive(Clone)]
pub(super) struct ImportJob {
    pub(super) runner_name: RunnerId,
    pub(super) runner: Arc<dyn Runner>,
    pub(super) store: Arc<dyn Store>,
    pub(super) plan: ImportPlan,
    pub(super) account: AccountId,
    pub(super) weight_version: WeightVersion,
    /// Keys of the whole prompt.
    pub(super) keys: Vec<PrefixKey>,
}

/// Why an import failed. The runner then computes the prompt itself.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
enum ImportError {
    #[error("the copy could not be pinned: {0}")]
    Pin(#[from] StoreError),
    #[error(transparent)]
    Refused(#[from] ImportRefusal),
    #[error(transparent)]
    Transfer(#[from] TransferError),
}

impl ImportJob {
    /// Pins the copy, orders the import and unpins the copy whatever the outcome. The pin is held
    /// until the runner has responded, even if no request waits for the import any more.
    async fn run(&self) -> Result<(), ImportError> {
        let plan = &self.plan;
        let (pin, manifest) = self.store.pin(plan.prefix_key, plan.generation).await?;
        let imported = self.import(&manifest).await;
        self.unpin(pin).await;
        if matches!(imported, Err(ImportError::Transfer(TransferError::Mismatch(_)))) {
            // The store's content does not match the manifest, so no one should import it again.
            let _ = self.store.retire(plan.prefix_key, plan.generation).await;
        }
        imported
    }

    async fn import(&self, manifest: &skylarkpick_interface::Manifest) -> Result<(), ImportError> {
        let (account, version) = (&self.account, self.weight_version);
        check_import(manifest, self.plan.generation, account, version, &self.keys)?;
        let order = ImportOrder {
            store: self.plan.store.clone(),
            store_address: self.plan.address.clone(),
            prefix_key: self.plan.prefix_key,
            prefix_keys: manifest.prefix.prefix_keys.clone(),
            generation: manifest.generation,
            digest: manifest.digest.clone(),
            weight_version: version,
            tokens: manifest.prefix.tokens,
        };
        self.runner.import(order).await?;
        Ok(())
    }

    async fn unpin(&self, pin: PinId) {
        // On failure the pin needs no retry: a store that was unreachable comes back without pins.
        let _ = self.store.unpin(pin).await;
    }

    fn blocks(&self) -> usize {
        (self.plan.tokens / BLOCK_TOKENS) as usize
    }
}

/// Runs imports, one at a time for each prefix and runner.
#[derive(Actor)]
pub(super) struct ImportActor {
    pub(super) router: ActorRef<RouterActor>,
    pub(super) waiters: BTreeMap<(RunnerId, PrefixKey), Vec<oneshot::Sender<bool>>>,
}

/// Starts an import, or waits for the one in progress; `done` receives whether the runner confirmed
/// it.
pub(super) struct StartOrJoin {
    pub(super) job: ImportJob,
    pub(super) done: oneshot::Sender<bool>,
}

/// Waits for an import in progress, to this runner and of a prefix of this prompt, if there is one;
/// `done` receives false if there is none.
pub(super) struct JoinInProgress {
    pub(super) runner: RunnerId,
    pub(super) keys: Vec<PrefixKey>,
    pub(super) done: oneshot::Sender<bool>,
}

/// Counts the imports in progress.
pub(super) struct CountImports;

struct ImportEnded {
    job: ImportJob,
    started_at: Instant,
    outcome: Result<(), ImportError>,
}

impl Message<StartOrJoin> for ImportActor {
    type Reply = ();

    async fn handle(
        &mut self,
        StartOrJoin { job, done }: StartOrJoin,
        context: &mut Context<Self, Self::Reply>,
    ) {
        let key = (job.runner_name.clone(), job.plan.prefix_key);
        if let Some(waiters) = self.waiters.get_mut(&key) {
            waiters.push(done);
            return;
        }
        self.waiters.insert(key, vec![done]);
        let actor = context.actor_ref().clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let outcome = job.run().await;
            // Fails only while the process is exiting.
            let _ = actor.tell(ImportEnded { job, started_at, outcome }).await;
        });
    }
}

impl Message<JoinInProgress> for ImportActor {
    type Reply = ();

    async fn handle(&mut self, message: JoinInProgress, _: &mut Context<Self, Self::Reply>) {
        let JoinInProgress { runner, keys, done } = message;
        let matches = |(to, key): &(RunnerId, PrefixKey)| *to == runner && keys.contains(key);
        match self.waiters.iter_mut().find(|(key, _)| matches(key)) {
            Some((_, waiters)) => waiters.push(done),
            None => {
                // Fails when the request has ended.
                let _ = done.send(false);
            }
        }
    }
}

impl Message<ImportEnded> for ImportActor {
    type Reply = ();

    async fn handle(&mut self, ended: ImportEnded, _: &mut Context<Self, Self::Reply>) {
        let ImportEnded { job, started_at, outcome } = ended;
        let took = outcome.is_ok().then(|| started_at.elapsed());
        if let Err(error) = &outcome {
            self.record_failure(&job, error).await;
        }
        let blocks = job.blocks().min(job.keys.len());
        let update = ContextUpdate::ImportEnded {
            runner: job.runner_name.clone(),
            plan: job.plan.clone(),
            took,
            keys: job.keys[..blocks].to_vec(),
        };
        // Fails only while the process is exiting.
        let _ = self.router.tell(update).await;
        let waiters = self.waiters.remove(&(job.runner_name, job.plan.prefix_key));
        for waiter in waiters.into_iter().flatten() {
            // Fails when the request has ended.
            let _ = waiter.send(outcome.is_ok());
        }
    }
}

impl ImportActor {
    async fn record_failure(&self, job: &ImportJob, error: &ImportError) {
        let (store, runner) = (job.plan.store.clone(), job.runner_name.clone());
        spdlog::warn!("import failed; the runner computes the prompt instead", kv: {
            store = store.as_str(), runner = runner.as_str(), error = error.to_string().as_str(),
        });
        let is_unusable = matches!(
            error,
            ImportError::Pin(StoreError::NotFound)
                | ImportError::Refused(_)
                | ImportError::Transfer(TransferError::Mismatch(_))
        );
        if is_unusable {
            let (key, generation) = (job.plan.prefix_key, job.plan.generation);
            // Fails only while the process is exiting.
            let _ = self.router.tell(ContextUpdate::CopyRemoved(store, key, generation)).await;
        }
    }
}

impl Message<CountImports> for ImportActor {
    type Reply = usize;

    async fn handle(&mut self, _: CountImports, _: &mut Context<Self, Self::Reply>) -> usize {
        self.waiters.len()
    }
}
