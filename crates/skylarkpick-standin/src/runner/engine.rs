//! The engine of a runner: takes runs up, computes prompts and produces tokens.

use super::{
    description::{RunRecord, RunnerFaults, RunnerSettings, expected_token},
    run::Run,
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

/// Loads that a runner remembers, to report one of a moment ago.
const LOADS_KEPT: usize = 256;

pub(super) struct Inner {
    pub(super) settings: RunnerSettings,
    pub(super) connector: Arc<dyn TargetConnector>,
    pub(super) weight_store: Arc<WeightStore>,
    pub(super) slots: PrioritySemaphore,
    pub(super) prefill: PrioritySemaphore,
    pub(super) thawed: Notify,
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
    pub(super) loads: VecDeque<(Instant, LoadReport)>,
}

impl Inner {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes once the runner is neither frozen nor dead.
    pub(super) async fn reach(&self) -> Result<(), StartError> {
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
    pub(super) async fn work(&self, time: Duration) {
        tokio::time::sleep(time).await;
        // A dead runner's work ends with its run.
        let _ = self.reach().await;
    }

    pub(super) fn change_load(&self, change: impl FnOnce(&mut LoadReport)) {
        let mut state = self.lock();
        change(&mut state.load);
        let load = state.load.clone();
        state.loads.push_back((Instant::now(), load));
        if state.loads.len() > LOADS_KEPT {
            state.loads.pop_front();
        }
    }

    pub(super) async fn carry_out(self: Arc<Inner>, run: Arc<Run>) {
        let request = &run.request;
        let priority = request.priority;
        let prompt_tokens = request.prompt_tokens;
        self.change_load(|load| {
            load.queued_runs += 1;
            load.queued_prompt_tokens += prompt_tokens;
        });
        let _slot = self.slots.acquire(priority).await;
        let prefill = self.prefill.acquire(priority).await;
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

    pub(super) fn take_up(&self, run: &Run) -> (WeightVersion, u64) {
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
        record.used_valid_context = sound;
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

    pub(super) async fn decode(&self, run: &Run, weight_version: WeightVersion) {
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
                self.reach().await?;
            }
            if let Some(body) = run.lock().frame(position) {
                return Ok(Some(body));
            }
            changed.await;
        }
    }

    pub(super) fn stream(
        self: Arc<Inner>,
        run: Arc<Run>,
        answer_offset: u64,
        with_start: bool,
    ) -> FrameStream {
        let first_offset = run.lock().first_offset;
        let first = if with_start { 0 } else { 1 + answer_offset.saturating_sub(first_offset) };
        let strays = self.lock().faults.injects_foreign_frames;
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
pub(super) fn with_stray(frame: Result<RunFrame, StartError>) -> Vec<Result<RunFrame, StartError>> {
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
pub(super) fn content_mark(weight_version: WeightVersion) -> u64 {
    weight_version
}

/// Bytes that stand for a saved prefix: they show which blocks and weights made them.
pub(super) fn saved_content(prefix_key: PrefixKey, weight_version: WeightVersion) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&prefix_key.to_be_bytes());
    hasher.update(&weight_version.to_be_bytes());
    hasher.finalize().as_bytes().to_vec()
}
