//! Imports: one for each prefix and runner at a time, with everyone who wants it waiting on it.

use super::prefix_index::Learned;
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

/// A copy to bring to a runner.
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

/// Why nothing was imported. The request goes on by recomputing.
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
    /// Pins the copy, has it imported and unpins it, whatever comes of it. The pin is held until
    /// the runner has answered, however long nobody waits for it any more.
    async fn carry_out(&self) -> Result<(), ImportError> {
        let plan = &self.plan;
        let (pin, manifest) = self.store.pin(plan.prefix_key, plan.generation).await?;
        let imported = self.import(&manifest).await;
        self.unpin(pin).await;
        if matches!(imported, Err(ImportError::Transfer(TransferError::Mismatch(_)))) {
            // The bytes are not what was saved; nobody should try them again.
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
        // A store that cannot be reached has forgotten its pins when it comes back.
        let _ = self.store.unpin(pin).await;
    }

    fn blocks(&self) -> usize {
        (self.plan.tokens / BLOCK_TOKENS) as usize
    }
}

/// Carries imports out, each once.
#[derive(Actor)]
pub(super) struct ImportActor {
    pub(super) router: ActorRef<RouterActor>,
    pub(super) waiters: BTreeMap<(RunnerId, PrefixKey), Vec<oneshot::Sender<bool>>>,
}

/// Waits for an import, beginning it if nobody did; `done` says whether the runner confirmed it.
pub(super) struct Join {
    pub(super) job: ImportJob,
    pub(super) done: oneshot::Sender<bool>,
}

/// Waits for an import to a runner that brings a start of this row, if one is under way.
pub(super) struct JoinUnderWay {
    pub(super) runner: RunnerId,
    pub(super) keys: Vec<PrefixKey>,
    pub(super) done: oneshot::Sender<bool>,
}

/// Counts imports under way.
pub(super) struct CountImports;

struct Ended {
    job: ImportJob,
    began_at: Instant,
    outcome: Result<(), ImportError>,
}

impl Message<Join> for ImportActor {
    type Reply = ();

    async fn handle(&mut self, Join { job, done }: Join, context: &mut Context<Self, Self::Reply>) {
        let key = (job.runner_name.clone(), job.plan.prefix_key);
        if let Some(waiters) = self.waiters.get_mut(&key) {
            waiters.push(done);
            return;
        }
        self.waiters.insert(key, vec![done]);
        let actor = context.actor_ref().clone();
        tokio::spawn(async move {
            let began_at = Instant::now();
            let outcome = job.carry_out().await;
            // Fails only while the process is exiting.
            let _ = actor.tell(Ended { job, began_at, outcome }).await;
        });
    }
}

impl Message<JoinUnderWay> for ImportActor {
    type Reply = ();

    async fn handle(&mut self, message: JoinUnderWay, _: &mut Context<Self, Self::Reply>) {
        let JoinUnderWay { runner, keys, done } = message;
        let brings = |(to, key): &(RunnerId, PrefixKey)| *to == runner && keys.contains(key);
        match self.waiters.iter_mut().find(|(key, _)| brings(key)) {
            Some((_, waiters)) => waiters.push(done),
            None => {
                // A request that waits no longer needs no word.
                let _ = done.send(false);
            }
        }
    }
}

impl Message<Ended> for ImportActor {
    type Reply = ();

    async fn handle(&mut self, ended: Ended, _: &mut Context<Self, Self::Reply>) {
        let Ended { job, began_at, outcome } = ended;
        let took = outcome.is_ok().then(|| began_at.elapsed());
        if let Err(error) = &outcome {
            self.note_failure(&job, error).await;
        }
        let blocks = job.blocks().min(job.keys.len());
        let learned = Learned::ImportEnd {
            runner: job.runner_name.clone(),
            plan: job.plan.clone(),
            took,
            keys: job.keys[..blocks].to_vec(),
        };
        // Fails only while the process is exiting.
        let _ = self.router.tell(learned).await;
        let waiters = self.waiters.remove(&(job.runner_name, job.plan.prefix_key));
        for waiter in waiters.into_iter().flatten() {
            // A request that waits no longer needs no word.
            let _ = waiter.send(outcome.is_ok());
        }
    }
}

impl ImportActor {
    async fn note_failure(&self, job: &ImportJob, error: &ImportError) {
        let (store, runner) = (job.plan.store.clone(), job.runner_name.clone());
        spdlog::warn!("an import failed; the prompt is computed", kv: {
            store = store.as_str(), runner = runner.as_str(), error = error.to_string().as_str(),
        });
        let gone = matches!(
            error,
            ImportError::Pin(StoreError::NotFound)
                | ImportError::Refused(_)
                | ImportError::Transfer(TransferError::Mismatch(_))
        );
        if gone {
            let (key, generation) = (job.plan.prefix_key, job.plan.generation);
            // Fails only while the process is exiting.
            let _ = self.router.tell(Learned::CopyGone(store, key, generation)).await;
        }
    }
}

impl Message<CountImports> for ImportActor {
    type Reply = usize;

    async fn handle(&mut self, _: CountImports, _: &mut Context<Self, Self::Reply>) -> usize {
        self.waiters.len()
    }
}
