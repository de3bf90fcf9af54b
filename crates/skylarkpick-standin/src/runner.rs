//! A runner: continuous batching in outline over a limited prefix cache.

use crate::{gate::Gate, prefix_cache::PrefixCache, weight_store::WeightStore};
use async_trait::async_trait;
use futures::StreamExt;
use skylarkpick_interface::{
    AccountId, AttemptId, CacheEventBatch, ExportOrder, ExportReceipt, FencingNumber, FinishReason,
    FrameBody, FrameStream, ImportOrder, ImportReceipt, LoadReport, ModelName, Order, OrderError,
    OrderKind, PrefixKey, RequestId, RunFrame, RunId, RunRequest, Runner, RunnerStatus, StartError,
    TargetConnector, TransferError, WeightVersion,
};
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Loads that a runner remembers, to report one of a moment ago.
const LOADS_KEPT: usize = 256;

/// Size and speed of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerSettings {
    /// Model served at the start.
    pub model: ModelName,
    /// Weights served at the start.
    pub weight_version: WeightVersion,
    /// Runs that fit at once.
    pub slots: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_second: f64,
    /// Time between two tokens of a run.
    pub token_interval: Duration,
    /// Bytes of cached context for each token.
    pub context_bytes_per_token: u64,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age at which cache events are handed out.
    pub event_lag: Duration,
    /// Whether an order under an old fencing number is refused.
    pub checks_fencing: bool,
}

impl Default for RunnerSettings {
    fn default() -> RunnerSettings {
        RunnerSettings {
            model: "model".to_string(),
            weight_version: 1,
            slots: 16,
            cache_blocks: 512,
            block_tokens: 256,
            prefill_tokens_per_second: 20_000.0,
            token_interval: Duration::from_millis(20),
            context_bytes_per_token: 131_072,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(300),
            checks_fencing: true,
        }
    }
}

/// Faults of a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerFaults {
    /// Cannot be reached; streams break off and runs are gone.
    pub dead: bool,
    /// Computes nothing and answers nothing until the fault ends.
    pub frozen: bool,
    /// Streams break off, but runs go on and can be resumed.
    pub cuts_streams: bool,
    /// Loses this many coming cache events.
    pub lost_events: u32,
    /// Puts a frame of another request into each stream.
    pub strays_frames: bool,
}

/// What the runner did for one run, for an independent check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Name of the run.
    pub run_id: RunId,
    /// Request that it answered.
    pub request_id: RequestId,
    /// Attempt of the request.
    pub attempt_id: AttemptId,
    /// Client account that it was for.
    pub account: AccountId,
    /// Weights that it used.
    pub weight_version: WeightVersion,
    /// Prompt tokens that the cache spared.
    pub cached_tokens: u64,
    /// Prompt tokens of the run.
    pub prompt_tokens: u64,
    /// Whether every cached block that it used was whole and of its weights.
    pub sound: bool,
    /// Why it ended, once it has.
    pub finished: Option<FinishReason>,
    /// When it was taken up.
    pub started_at: Instant,
}

/// Text of the answer's token at `offset`: what a run of this prompt must give.
///
/// ```
/// let text = skylarkpick_standin::expected_token("prompt", 1, 0);
/// assert_ne!(text, skylarkpick_standin::expected_token("prompt", 2, 0));
/// ```
pub fn expected_token(prompt: &str, weight_version: WeightVersion, offset: u64) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}.{weight_version}.{offset} ", &hash.as_str()[..6])
}

/// A runner: continuous batching in outline over a limited prefix cache.
#[derive(Clone)]
pub struct FakeRunner {
    inner: Arc<Inner>,
}

struct Inner {
    settings: RunnerSettings,
    connector: Arc<dyn TargetConnector>,
    weight_store: Arc<WeightStore>,
    slots: Gate,
    prefill: Gate,
    thawed: Notify,
    state: Mutex<State>,
}

struct State {
    model: ModelName,
    weight_version: WeightVersion,
    loading: Option<WeightVersion>,
    leaving: bool,
    fencing_number: FencingNumber,
    incarnation: u64,
    cache: PrefixCache,
    runs: HashMap<RunId, Arc<Run>>,
    ledger: Vec<RunRecord>,
    tries: Vec<Instant>,
    faults: RunnerFaults,
    load: LoadReport,
    loads: VecDeque<(Instant, LoadReport)>,
}

struct Run {
    request: RunRequest,
    record_index: usize,
    progress: Mutex<Progress>,
    changed: Notify,
}

#[derive(Default)]
struct Progress {
    started: Option<FrameBody>,
    first_offset: u64,
    tokens: Vec<String>,
    end: Option<FrameBody>,
    cancelled: bool,
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
            tries: Vec::new(),
            faults: RunnerFaults::default(),
            load,
            loads: VecDeque::new(),
        };
        let inner = Inner {
            slots: Gate::open(settings.slots),
            prefill: Gate::open(1),
            settings,
            connector,
            weight_store,
            thawed: Notify::new(),
            state: Mutex::new(state),
        };
        FakeRunner { inner: Arc::new(inner) }
    }

    /// Changes the faults. A death forgets runs and cache.
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
        self.inner.thawed.notify_waiters();
        for run in self.inner.lock().runs.values() {
            run.changed.notify_waiters();
        }
    }

    /// Everything that the runner did.
    pub fn ledger(&self) -> Vec<RunRecord> {
        self.inner.lock().ledger.clone()
    }

    /// When the runner was asked to start a run, refused ones included.
    pub fn tries(&self) -> Vec<Instant> {
        self.inner.lock().tries.clone()
    }

    /// Makes the runner leave, as its VM would.
    pub fn leave(&self) {
        self.inner.lock().leaving = true;
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes once the runner is neither frozen nor dead.
    async fn reach(&self) -> Result<(), StartError> {
        loop {
            let thawed = self.thawed.notified();
            let faults = self.lock().faults;
            if faults.dead {
                return Err(StartError::NotReached("no connection".to_string()));
            }
            if !faults.frozen {
                return Ok(());
            }
            thawed.await;
        }
    }

    /// Sleeps for `time` of unfrozen time.
    async fn work(&self, time: Duration) {
        tokio::time::sleep(time).await;
        // A dead runner's work ends with its run.
        let _ = self.reach().await;
    }

    fn change_load(&self, change: impl FnOnce(&mut LoadReport)) {
        let mut state = self.lock();
        change(&mut state.load);
        let load = state.load.clone();
        state.loads.push_back((Instant::now(), load));
        if state.loads.len() > LOADS_KEPT {
            state.loads.pop_front();
        }
    }

    async fn carry_out(self: Arc<Inner>, run: Arc<Run>) {
        let request = &run.request;
        let priority = request.priority;
        let prompt_tokens = request.prompt_tokens;
        self.change_load(|load| {
            load.queued_runs += 1;
            load.queued_prompt_tokens += prompt_tokens;
        });
        let _slot = self.slots.enter(priority).await;
        let prefill = self.prefill.enter(priority).await;
        let (weight_version, cached_tokens) = self.take_up(&run);
        let rest = prompt_tokens.saturating_sub(cached_tokens);
        if !run.lock().cancelled {
            let seconds = rest as f64 / self.settings.prefill_tokens_per_second;
            self.work(Duration::from_secs_f64(seconds)).await;
        }
        drop(prefill);
        self.change_load(|load| {
            load.queued_runs -= 1;
            load.queued_prompt_tokens -= prompt_tokens;
            load.active_runs += 1;
        });
        let content = content_mark(weight_version);
        self.lock().cache.put(&request.prefix_keys, content);
        self.decode(&run, weight_version).await;
        self.change_load(|load| load.active_runs -= 1);
    }

    fn take_up(&self, run: &Run) -> (WeightVersion, u64) {
        let mut state = self.lock();
        let weight_version = state.weight_version;
        let held = state.cache.held(&run.request.prefix_keys);
        let cached_tokens = held as u64 * self.settings.block_tokens;
        let content = content_mark(weight_version);
        let keys = &run.request.prefix_keys[..held];
        let sound = keys.iter().all(|key| state.cache.content(*key) == Some(content));
        let record = &mut state.ledger[run.record_index];
        record.weight_version = weight_version;
        record.cached_tokens = cached_tokens;
        record.sound = sound;
        drop(state);
        run.update(|progress| {
            progress.started = Some(FrameBody::Started { weight_version, cached_tokens });
            if !sound {
                let message = "computed over corrupt context".to_string();
                progress.end = Some(FrameBody::Failed { message });
            }
        });
        (weight_version, cached_tokens)
    }

    async fn decode(&self, run: &Run, weight_version: WeightVersion) {
        let request = &run.request;
        let first = request.delivered.len() as u64;
        for offset in first..request.answer_tokens_limit {
            if run.lock().cancelled || run.lock().end.is_some() {
                break;
            }
            let text = expected_token(&request.prompt, weight_version, offset);
            run.update(|progress| progress.tokens.push(text));
            self.work(self.settings.token_interval).await;
        }
        let reason =
            if run.lock().cancelled { FinishReason::Cancelled } else { FinishReason::Length };
        let answer_tokens = first + run.lock().tokens.len() as u64;
        run.update(|progress| {
            progress.end.get_or_insert(FrameBody::Finished { reason, answer_tokens });
        });
        self.lock().ledger[run.record_index].finished = Some(reason);
    }

    /// The frame at a position of a run: 0 is the start, then come the tokens, then the end.
    async fn frame_at(&self, run: &Run, position: u64) -> Result<Option<FrameBody>, StartError> {
        loop {
            let changed = run.changed.notified();
            let faults = self.lock().faults;
            if faults.dead || faults.cuts_streams {
                return Err(StartError::Broken("the connection broke".to_string()));
            }
            if faults.frozen {
                self.reach().await?;
            }
            if let Some(body) = run.lock().frame(position) {
                return Ok(Some(body));
            }
            changed.await;
        }
    }

    fn stream(
        self: Arc<Inner>,
        run: Arc<Run>,
        answer_offset: u64,
        with_start: bool,
    ) -> FrameStream {
        let first_offset = run.lock().first_offset;
        let first = if with_start { 0 } else { 1 + answer_offset.saturating_sub(first_offset) };
        let strays = self.lock().faults.strays_frames;
        let frames = futures::stream::unfold(Some(first), move |position| {
            let (inner, run) = (self.clone(), run.clone());
            async move {
                let position = position?;
                match inner.frame_at(&run, position).await {
                    Ok(Some(body)) => {
                        let ends =
                            matches!(body, FrameBody::Finished { .. } | FrameBody::Failed { .. });
                        let next = (!ends).then_some(position + 1);
                        Some((Ok(run.frame(body)), next))
                    }
                    Ok(None) => None,
                    Err(error) => Some((Err(error), None)),
                }
            }
        });
        if strays {
            frames.flat_map(|frame| futures::stream::iter(with_stray(frame))).boxed()
        } else {
            frames.boxed()
        }
    }
}

/// Puts a frame of another request before a token.
fn with_stray(frame: Result<RunFrame, StartError>) -> Vec<Result<RunFrame, StartError>> {
    let mut frames = Vec::new();
    if let Ok(RunFrame { body: FrameBody::Token { offset, .. }, run_id, attempt_id, .. }) = &frame {
        frames.push(Ok(RunFrame {
            run_id: run_id.clone(),
            request_id: "another-request".to_string(),
            attempt_id: *attempt_id,
            body: FrameBody::Token { offset: *offset, text: "stray ".to_string() },
        }));
    }
    frames.push(frame);
    frames
}

/// Mark of the blocks that a weight version computes.
fn content_mark(weight_version: WeightVersion) -> u64 {
    weight_version
}

/// Bytes that stand for a saved prefix: they show which blocks and weights made them.
fn saved_content(prefix_key: PrefixKey, weight_version: WeightVersion) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix_key.to_be_bytes());
    hasher.update(&weight_version.to_be_bytes());
    hasher.finalize().as_bytes().to_vec()
}

impl Run {
    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut Progress)) {
        change(&mut self.lock());
        self.changed.notify_waiters();
    }

    fn frame(&self, body: FrameBody) -> RunFrame {
        RunFrame {
            run_id: self.request.run_id.clone(),
            request_id: self.request.request_id.clone(),
            attempt_id: self.request.attempt_id,
            body,
        }
    }
}

impl Progress {
    fn frame(&self, position: u64) -> Option<FrameBody> {
        if position == 0 {
            return self.started.clone();
        }
        let index = position - 1;
        match self.tokens.get(index as usize) {
            Some(text) => {
                let offset = self.first_offset + index;
                Some(FrameBody::Token { offset, text: text.clone() })
            }
            None => self.end.clone(),
        }
    }
}

#[async_trait]
impl Runner for FakeRunner {
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError> {
        self.inner.reach().await?;
        let run = {
            let mut state = self.inner.lock();
            state.tries.push(Instant::now());
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
                sound: true,
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
        tokio::spawn(self.inner.clone().carry_out(run.clone()));
        Ok(self.inner.clone().stream(run, 0, true))
    }

    async fn resume(
        &self,
        run_id: &str,
        account: &str,
        offset: u64,
    ) -> Result<FrameStream, StartError> {
        self.inner.reach().await?;
        let run = self.inner.lock().runs.get(run_id).cloned().ok_or(StartError::NoSuchRun)?;
        if run.request.account != account || offset < run.lock().first_offset {
            return Err(StartError::NoSuchRun);
        }
        Ok(self.inner.clone().stream(run, offset, false))
    }

    async fn cancel(&self, run_id: &str) -> Result<(), StartError> {
        self.inner.reach().await?;
        let run = self.inner.lock().runs.get(run_id).cloned();
        if let Some(run) = run {
            run.update(|progress| progress.cancelled = true);
        }
        Ok(())
    }

    async fn load(&self) -> Result<LoadReport, StartError> {
        self.inner.reach().await?;
        let state = self.inner.lock();
        let lag = self.inner.settings.load_lag;
        let old = state.loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let first = LoadReport {
            slots: state.load.slots,
            prefill_tokens_per_second: state.load.prefill_tokens_per_second,
            ..LoadReport::default()
        };
        let mut load = old.map_or(first, |(_, load)| load.clone());
        load.age = lag;
        load.leaving = state.leaving;
        Ok(load)
    }

    async fn cache_events(
        &self,
        after: u64,
        snapshot: bool,
    ) -> Result<CacheEventBatch, StartError> {
        self.inner.reach().await?;
        let mut state = self.inner.lock();
        let before = Instant::now().checked_sub(self.inner.settings.event_lag);
        let Some(before) = before else { return Ok(CacheEventBatch::default()) };
        while state.faults.lost_events > 0 {
            let Some(first) = state.cache.events(after, before).first().cloned() else { break };
            state.cache.lose_event(first.sequence);
            state.faults.lost_events -= 1;
        }
        let events = state.cache.events(after, before);
        let (keys, snapshot_sequence) = state.cache.snapshot();
        let snapshot = snapshot.then_some(keys);
        Ok(CacheEventBatch { events, snapshot, snapshot_sequence })
    }

    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError> {
        self.inner.reach().await.map_err(transfer_error)?;
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
        // The weights may have been swapped during the transfer.
        self.check_weights(order.weight_version)?;
        let sound = content == saved_content(order.prefix_key, order.weight_version);
        let mark = if sound { content_mark(order.weight_version) } else { 0 };
        self.inner.lock().cache.put(&order.prefix_keys, mark);
        Ok(ImportReceipt { size_bytes: order.tokens * self.inner.settings.context_bytes_per_token })
    }

    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError> {
        self.inner.reach().await.map_err(transfer_error)?;
        self.check_weights(order.weight_version)?;
        if self.inner.lock().cache.held(&[order.prefix_key]) == 0 {
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
        self.inner.reach().await.map_err(|error| OrderError::Refused(error.to_string()))?;
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
                // A load goes on when whoever ordered it has gone.
                let load = async move { runner.load_weights(model, weight_version).await };
                tokio::spawn(load).await.map_err(|error| OrderError::Unknown(error.to_string()))?;
            }
        }
        Ok(())
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        self.inner.reach().await?;
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
        let serves = self.inner.lock().weight_version;
        if serves == weight_version { Ok(()) } else { Err(TransferError::OtherWeights(serves)) }
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
