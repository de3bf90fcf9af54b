//! The handle of a simulated runner and its implementation of `Runner`.

use super::{
    engine::{Inner, State, content_mark, saved_content},
    run::{Progress, Run},
    types::{RunRecord, RunnerFaults, RunnerSettings},
};
use crate::{
    prefix_cache::PrefixCache, priority_semaphore::PrioritySemaphore, weight_store::WeightStore,
};
use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FrameStream, ImportOrder, ImportReceipt,
    LoadReport, ModelName, Order, OrderError, OrderKind, RunRequest, Runner, RunnerStatus,
    StartError, TargetConnector, TransferError, WeightVersion,
};
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
};
use tokio::{sync::Notify, time::Instant};

/// A simulated runner: a simplified continuous batch over a bounded prefix cache.
#[derive(Clone)]
pub struct FakeRunner {
    inner: Arc<Inner>,
}

impl FakeRunner {
    /// Opens a runner with an empty cache.
    pub fn open(
        settings: RunnerSettings,
        connector: Arc<dyn TargetConnector>,
        weight_store: Arc<WeightStore>,
    ) -> FakeRunner {
        let load = LoadReport {
            slots: settings.slots,
            prefill_tokens_per_second: settings.prefill_tokens_per_second,
            ..LoadReport::default()
        };
        let state = State {
            model: settings.model.clone(),
            weight_version: settings.weight_version,
            loading: None,
            leaving: false,
            fencing_number: 0,
            incarnation: 1,
            cache: PrefixCache::open(settings.cache_blocks),
            runs: HashMap::new(),
            ledger: Vec::new(),
            start_attempts: Vec::new(),
            faults: RunnerFaults::default(),
            load,
            load_history: VecDeque::new(),
        };
        let inner = Inner {
            slots: PrioritySemaphore::open(settings.slots),
            prefill: PrioritySemaphore::open(1),
            settings,
            connector,
            weight_store,
            unfrozen: Notify::new(),
            state: Mutex::new(state),
        };
        FakeRunner { inner: Arc::new(inner) }
    }

    /// Changes the faults. A runner that dies loses its runs and its cache.
    pub fn set_faults(&self, change: impl FnOnce(&mut RunnerFaults)) {
        let dead_runs = {
            let mut state = self.inner.lock();
            let was_dead = state.faults.dead;
            change(&mut state.faults);
            if state.faults.dead && !was_dead {
                state.incarnation += 1;
                state.cache = PrefixCache::open(self.inner.settings.cache_blocks);
                state.runs.drain().map(|(_, run)| run).collect()
            } else {
                Vec::new()
            }
        };
        for run in dead_runs {
            run.update(|progress| progress.cancelled = true);
        }
        self.inner.unfrozen.notify_waiters();
        for run in self.inner.lock().runs.values() {
            run.changed.notify_waiters();
        }
    }

    /// Returns the records of all runs that the runner accepted, in order.
    pub fn ledger(&self) -> Vec<RunRecord> {
        self.inner.lock().ledger.clone()
    }

    /// Returns the times of all requests to start a run, rejected ones included.
    pub fn start_attempts(&self) -> Vec<Instant> {
        self.inner.lock().start_attempts.clone()
    }

    /// Makes the runner report that it is leaving, as it does when its VM is to be removed.
    pub fn leave(&self) {
        self.inner.lock().leaving = true;
    }
}

#[async_trait]
impl Runner for FakeRunner {
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError> {
        self.inner.wait_until_reachable().await?;
        let run = {
            let mut state = self.inner.lock();
            state.start_attempts.push(Instant::now());
            if state.leaving {
                return Err(StartError::Leaving);
            }
            if state.model != request.model || state.loading.is_some() {
                return Err(StartError::Refused("the runner does not serve the model".to_string()));
            }
            if state.runs.contains_key(&request.run_id) {
                return Err(StartError::Refused("the run exists already".to_string()));
            }
            let weight_version = state.weight_version;
            state.ledger.push(RunRecord {
                run_id: request.run_id.clone(),
                request_id: request.request_id.clone(),
                attempt_id: request.attempt_id,
                account: request.account.clone(),
                weight_version,
                cached_tokens: 0,
                prompt_tokens: request.prompt_tokens,
                used_valid_context: true,
                finished: None,
                started_at: Instant::now(),
            });
            let first_offset = request.delivered.len() as u64;
            let progress = Progress { first_offset, ..Progress::default() };
            let run = Arc::new(Run {
                record_index: state.ledger.len() - 1,
                progress: Mutex::new(progress),
                changed: Notify::new(),
                request,
            });
            state.runs.insert(run.request.run_id.clone(), run.clone());
            run
        };
        tokio::spawn(self.inner.clone().execute(run.clone()));
        Ok(self.inner.clone().stream(run, 0, true))
    }

    async fn resume(
        &self,
        run_id: &str,
        account: &str,
        offset: u64,
    ) -> Result<FrameStream, StartError> {
        self.inner.wait_until_reachable().await?;
        let run = self.inner.lock().runs.get(run_id).cloned().ok_or(StartError::NoSuchRun)?;
        if run.request.account != account || offset < run.lock().first_offset {
            return Err(StartError::NoSuchRun);
        }
        Ok(self.inner.clone().stream(run, offset, false))
    }

    async fn cancel(&self, run_id: &str) -> Result<(), StartError> {
        self.inner.wait_until_reachable().await?;
        let run = self.inner.lock().runs.get(run_id).cloned();
        if let Some(run) = run {
            run.update(|progress| progress.cancelled = true);
        }
        Ok(())
    }

    async fn load(&self) -> Result<LoadReport, StartError> {
        self.inner.wait_until_reachable().await?;
        let state = self.inner.lock();
        let lag = self.inner.settings.load_lag;
        let lagged = state.load_history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let idle = LoadReport {
            slots: state.load.slots,
            prefill_tokens_per_second: state.load.prefill_tokens_per_second,
            ..LoadReport::default()
        };
        let mut load = lagged.map_or(idle, |(_, load)| load.clone());
        load.age = lag;
        load.leaving = state.leaving;
        Ok(load)
    }

    async fn cache_events(
        &self,
        after: u64,
        snapshot: bool,
    ) -> Result<CacheEventBatch, StartError> {
        self.inner.wait_until_reachable().await?;
        let mut state = self.inner.lock();
        let before = Instant::now().checked_sub(self.inner.settings.event_lag);
        let Some(before) = before else { return Ok(CacheEventBatch::default()) };
        while state.faults.lost_events > 0 {
            let Some(first) = state.cache.events(after, before).first().cloned() else { break };
            state.cache.drop_event(first.sequence);
            state.faults.lost_events -= 1;
        }
        let events = state.cache.events(after, before);
        let (keys, snapshot_sequence) = state.cache.snapshot();
        let snapshot = snapshot.then_some(keys);
        Ok(CacheEventBatch { events, snapshot, snapshot_sequence })
    }

    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError> {
        self.inner.wait_until_reachable().await.map_err(transfer_error)?;
        self.check_weights(order.weight_version)?;
        let store = self.inner.connector.store(&order.store_address);
        let content = store
            .read(order.prefix_key, order.generation)
            .await
            .map_err(|error| TransferError::Failed(error.to_string()))?;
        let digest = blake3::hash(&content).to_hex().to_string();
        if digest != order.digest {
            return Err(TransferError::Mismatch("digest".to_string()));
        }
        // The runner may have loaded other weights during the transfer.
        self.check_weights(order.weight_version)?;
        let is_valid = content == saved_content(order.prefix_key, order.weight_version);
        let mark = if is_valid { content_mark(order.weight_version) } else { 0 };
        self.inner.lock().cache.insert(&order.prefix_keys, mark);
        Ok(ImportReceipt { size_bytes: order.tokens * self.inner.settings.context_bytes_per_token })
    }

    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError> {
        self.inner.wait_until_reachable().await.map_err(transfer_error)?;
        self.check_weights(order.weight_version)?;
        if self.inner.lock().cache.cached_blocks(&[order.prefix_key]) == 0 {
            return Err(TransferError::NotHeld);
        }
        let store = self.inner.connector.store(&order.store_address);
        let size_bytes = order.tokens * self.inner.settings.context_bytes_per_token;
        let content = saved_content(order.prefix_key, order.weight_version);
        let digest = store
            .write(order.prefix_key, order.generation, content, size_bytes)
            .await
            .map_err(|error| TransferError::Failed(error.to_string()))?;
        Ok(ExportReceipt { digest, size_bytes })
    }

    async fn order(&self, order: Order) -> Result<(), OrderError> {
        self.inner
            .wait_until_reachable()
            .await
            .map_err(|error| OrderError::Refused(error.to_string()))?;
        {
            let mut state = self.inner.lock();
            if self.inner.settings.checks_fencing && order.fencing_number < state.fencing_number {
                return Err(OrderError::Fenced(state.fencing_number));
            }
            state.fencing_number = state.fencing_number.max(order.fencing_number);
        }
        match order.kind {
            OrderKind::Leave => self.leave(),
            OrderKind::Load { model, weight_version, .. } => {
                let runner = self.clone();
                // Spawned, so that the load completes even if the caller cancels the order.
                let load = async move { runner.load_weights(model, weight_version).await };
                tokio::spawn(load).await.map_err(|error| OrderError::Unknown(error.to_string()))?;
            }
        }
        Ok(())
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        self.inner.wait_until_reachable().await?;
        let state = self.inner.lock();
        Ok(RunnerStatus {
            model: state.model.clone(),
            weight_version: state.weight_version,
            loading: state.loading,
            leaving: state.leaving,
            incarnation: state.incarnation,
        })
    }
}

impl FakeRunner {
    fn check_weights(&self, weight_version: WeightVersion) -> Result<(), TransferError> {
        let served = self.inner.lock().weight_version;
        if served == weight_version { Ok(()) } else { Err(TransferError::OtherWeights(served)) }
    }

    async fn load_weights(&self, model: ModelName, weight_version: WeightVersion) {
        {
            let mut state = self.inner.lock();
            if state.model == model && state.weight_version == weight_version {
                return;
            }
            state.loading = Some(weight_version);
        }
        self.inner.weight_store.load().await;
        let mut state = self.inner.lock();
        state.model = model;
        state.weight_version = weight_version;
        state.loading = None;
        state.cache.clear();
    }
}

fn transfer_error(error: StartError) -> TransferError {
    TransferError::Failed(error.to_string())
}
