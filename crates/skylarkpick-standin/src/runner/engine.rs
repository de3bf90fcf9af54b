//! The simulated engine of a runner: starts runs, computes prefill and generates tokens.

use super::{
    run::Run,
    types::{RunRecord, RunnerFaults, RunnerSettings, expected_token},
};
use crate::{
    prefix_cache::PrefixCache, priority_semaphore::PrioritySemaphore, weight_store::WeightStore,
};
use futures::StreamExt;
use skylarkpick_interface::{
    FencingNumber, FinishReason, FrameBody, FrameStream, LoadReport, ModelName, PrefixKey,
    RunFrame, RunId, StartError, TargetConnector, WeightVersion,
};
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Past loads that a runner stores, since load reports show the load of an earlier time.
const LOAD_HISTORY_LIMIT: usize = 256;

pub(super) struct Inner {
    pub(super) settings: RunnerSettings,
    pub(super) connector: Arc<dyn TargetConnector>,
    pub(super) weight_store: Arc<WeightStore>,
    pub(super) slots: PrioritySemaphore,
    /// One permit: prompts are computed one after the other.
    pub(super) prefill: PrioritySemaphore,
    pub(super) unfrozen: Notify,
    pub(super) state: Mutex<State>,
}

pub(super) struct State {
    pub(super) model: ModelName,
    pub(super) weight_version: WeightVersion,
    pub(super) loading: Option<WeightVersion>,
    pub(super) leaving: bool,
    pub(super) fencing_number: FencingNumber,
    pub(super) incarnation: u64,
    pub(super) cache: PrefixCache,
    pub(super) runs: HashMap<RunId, Arc<Run>>,
    pub(super) ledger: Vec<RunRecord>,
    pub(super) start_attempts: Vec<Instant>,
    pub(super) faults: RunnerFaults,
    pub(super) load: LoadReport,
    pub(super) load_history: VecDeque<(Instant, LoadReport)>,
}

impl Inner {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the runner is frozen; fails if it is dead.
    pub(super) async fn wait_until_reachable(&self) -> Result<(), StartError> {
        loop {
            let unfrozen = self.unfrozen.notified();
            let faults = self.lock().faults;
            if faults.dead {
                return Err(StartError::NotReached("no connection".to_string()));
            }
            if !faults.frozen {
                return Ok(());
            }
            unfrozen.await;
        }
    }

    /// Simulates computing: sleeps for `time`, and then until the runner is not frozen.
    pub(super) async fn compute(&self, time: Duration) {
        tokio::time::sleep(time).await;
        // A runner that dies cancels its runs, so there is no error to handle here.
        let _ = self.wait_until_reachable().await;
    }

    pub(super) fn update_load(&self, change: impl FnOnce(&mut LoadReport)) {
        let mut state = self.lock();
        change(&mut state.load);
        let load = state.load.clone();
        state.load_history.push_back((Instant::now(), load));
        if state.load_history.len() > LOAD_HISTORY_LIMIT {
            state.load_history.pop_front();
        }
    }

    /// Executes a run: waits for a slot, computes the uncached part of its prompt, and decodes.
    pub(super) async fn execute(self: Arc<Inner>, run: Arc<Run>) {
        let request = &run.request;
        let priority = request.priority;
        let prompt_tokens = request.prompt_tokens;
        self.update_load(|load| {
            load.queued_runs += 1;
            load.queued_prompt_tokens += prompt_tokens;
        });
        let _slot = self.slots.acquire(priority).await;
        let prefill = self.prefill.acquire(priority).await;
        let (weight_version, cached_tokens) = self.start_run(&run);
        let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
        if !run.lock().cancelled {
            let seconds = uncached_tokens as f64 / self.settings.prefill_tokens_per_second;
            self.compute(Duration::from_secs_f64(seconds)).await;
        }
        drop(prefill);
        self.update_load(|load| {
            load.queued_runs -= 1;
            load.queued_prompt_tokens -= prompt_tokens;
            load.active_runs += 1;
        });
        let mark = content_mark(weight_version);
        self.lock().cache.insert(&request.prefix_keys, mark);
        self.decode(&run, weight_version).await;
        self.update_load(|load| load.active_runs -= 1);
    }

    /// Looks the prompt up in the prefix cache and sets the start frame of the run. The run fails
    /// if a cached block is corrupt or of other weights.
    pub(super) fn start_run(&self, run: &Run) -> (WeightVersion, u64) {
        let mut state = self.lock();
        let weight_version = state.weight_version;
        let cached_blocks = state.cache.cached_blocks(&run.request.prefix_keys);
        let cached_tokens = cached_blocks as u64 * self.settings.block_tokens;
        let mark = content_mark(weight_version);
        let keys = &run.request.prefix_keys[..cached_blocks];
        let is_valid = keys.iter().all(|key| state.cache.content_mark(*key) == Some(mark));
        let record = &mut state.ledger[run.record_index];
        record.weight_version = weight_version;
        record.cached_tokens = cached_tokens;
        record.used_valid_context = is_valid;
        drop(state);
        run.update(|progress| {
            progress.started = Some(FrameBody::Started { weight_version, cached_tokens });
            if !is_valid {
                let message = "computed over corrupt context".to_string();
                progress.end = Some(FrameBody::Failed { message });
            }
        });
        (weight_version, cached_tokens)
    }

    /// Generates the tokens of a run until it is complete, cancelled or failed.
    pub(super) async fn decode(&self, run: &Run, weight_version: WeightVersion) {
        let request = &run.request;
        let first = request.delivered.len() as u64;
        for offset in first..request.answer_tokens_limit {
            if run.lock().cancelled || run.lock().end.is_some() {
                break;
            }
            let text = expected_token(&request.prompt, weight_version, offset);
            run.update(|progress| progress.tokens.push(text));
            self.compute(self.settings.token_interval).await;
        }
        let reason =
            if run.lock().cancelled { FinishReason::Cancelled } else { FinishReason::Length };
        let answer_tokens = first + run.lock().tokens.len() as u64;
        run.update(|progress| {
            progress.end.get_or_insert(FrameBody::Finished { reason, answer_tokens });
        });
        self.lock().ledger[run.record_index].finished = Some(reason);
    }

    /// Waits for the frame at a position of a run; see [`Progress::frame`] for the positions.
    ///
    /// [`Progress::frame`]: super::run::Progress::frame
    pub(super) async fn frame_at(
        &self,
        run: &Run,
        position: u64,
    ) -> Result<Option<FrameBody>, StartError> {
        loop {
            let changed = run.changed.notified();
            let faults = self.lock().faults;
            if faults.dead || faults.breaks_streams {
                return Err(StartError::Broken("the connection broke".to_string()));
            }
            if faults.frozen {
                self.wait_until_reachable().await?;
            }
            if let Some(body) = run.lock().frame(position) {
                return Ok(Some(body));
            }
            changed.await;
        }
    }

    /// Streams the frames of a run from the token at `answer_offset`, up to the end frame.
    pub(super) fn stream(
        self: Arc<Inner>,
        run: Arc<Run>,
        answer_offset: u64,
        with_start: bool,
    ) -> FrameStream {
        let first_offset = run.lock().first_offset;
        let first = if with_start { 0 } else { 1 + answer_offset.saturating_sub(first_offset) };
        let injects_foreign_frames = self.lock().faults.injects_foreign_frames;
        let frames = futures::stream::unfold(Some(first), move |position| {
            let (inner, run) = (self.clone(), run.clone());
            async move {
                let position = position?;
                match inner.frame_at(&run, position).await {
                    Ok(Some(body)) => {
                        let is_last =
                            matches!(body, FrameBody::Finished { .. } | FrameBody::Failed { .. });
                        let next = (!is_last).then_some(position + 1);
                        Some((Ok(run.frame(body)), next))
                    }
                    Ok(None) => None,
                    Err(error) => Some((Err(error), None)),
                }
            }
        });
        if injects_foreign_frames {
            frames.flat_map(|frame| futures::stream::iter(with_foreign_frame(frame))).boxed()
        } else {
            frames.boxed()
        }
    }
}

/// Inserts a frame of another request before a token frame.
pub(super) fn with_foreign_frame(
    frame: Result<RunFrame, StartError>,
) -> Vec<Result<RunFrame, StartError>> {
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

/// Returns the mark of cache blocks that were computed by a weight version. 0 marks corrupt blocks.
pub(super) fn content_mark(weight_version: WeightVersion) -> u64 {
    weight_version
}

/// Returns the content of a saved prefix: a hash of its key and weight version in place of the KV
/// cache, so that an import can tell whether the content is what it expects.
pub(super) fn saved_content(prefix_key: PrefixKey, weight_version: WeightVersion) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix_key.to_be_bytes());
    hasher.update(&weight_version.to_be_bytes());
    hasher.finalize().as_bytes().to_vec()
}
