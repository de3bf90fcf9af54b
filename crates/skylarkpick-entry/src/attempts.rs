//! Carries one prompt through its attempts until the answer is whole or given up.
//!
//! Each attempt has its own run id. Only frames of the current attempt that carry its run,
//! request and attempt ids are passed on, each token once and in order. An attempt that breaks
//! is resumed at its runner; if that fails, another runner with the same weights goes on after
//! the tokens already delivered.

use crate::{
    active_configuration::ActiveConfiguration,
    admission::News,
    attempt_log::note_attempt,
    completion::UnderWay,
    context::Used,
    entry::Shared,
    failure::{Failure, FailureCode, Ran},
    request::{CompletionEvent, CompletionRequest},
    router_actor::{Choose, Observed},
    streams::{AnswerProgress, FrameSink, FrameStep, RunFollower, RunGuard, StreamEnd},
    streams::{seal_token, unix_milliseconds},
};
use async_trait::async_trait;
use skylarkpick_interface::{AttemptId, PrefixKey, RunRequest, StartError, WeightVersion};
use skylarkpick_protocol::resume::ResumeClaims;
use skylarkpick_schedule::{Route, RouteRequest};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// When to come back after no runner could be found.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(2);

/// One prompt on its way to a whole answer.
pub(crate) struct Attempts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: CompletionRequest,
    pub(crate) route_request: Arc<RouteRequest>,
    /// Configuration that the request was taken under.
    pub(crate) in_force: Arc<ActiveConfiguration>,
    /// Weights of the answer, fixed by its first frame.
    pub(crate) weight_version: Option<WeightVersion>,
    pub(crate) attempts_limit: u32,
    pub(crate) retry_percent_limit: u32,
    pub(crate) deadline: Instant,
    pub(crate) events: mpsc::Sender<CompletionEvent>,
    pub(crate) delivered: Vec<String>,
    /// Whether the request ran, by all that is known now.
    pub(crate) ran: Ran,
    pub(crate) _under_way: Arc<UnderWay>,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The answer is whole, or nobody wants it any more.
    Done,
    /// Another runner may go on.
    TryElsewhere(String),
    /// The runner ended the run without a whole answer.
    GaveUp(String),
}

impl AttemptEnd {
    /// Word for logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            AttemptEnd::Done => "done",
            AttemptEnd::TryElsewhere(_) => "try_elsewhere",
            AttemptEnd::GaveUp(_) => "gave_up",
        }
    }
}

impl Attempts {
    /// Makes attempts until the answer is whole, the deadline passes, or the caller has gone.
    pub(crate) async fn run(mut self) {
        let (events, deadline) = (self.events.clone(), self.deadline);
        let tried = tokio::select! {
            () = events.closed() => return,
            tried = tokio::time::timeout_at(deadline, self.try_all()) => tried,
        };
        let failure = tried.unwrap_or_else(|_| {
            Some(self.failure(FailureCode::DeadlineExceeded, "the deadline passed".to_string()))
        });
        if let Some(failure) = failure {
            // A caller that went away needs no answer.
            let _ = events.send(CompletionEvent::Failed(failure)).await;
        }
    }

    /// A failure that says truly whether the request ran, and when to come back.
    fn failure(&self, code: FailureCode, message: String) -> Failure {
        Failure { ran: self.ran, ..Failure::not_run(code, message) }.retry_after(NO_RUNNER_RETRY)
    }

    /// Makes attempts until one gives the whole answer; gives the failure if none does.
    async fn try_all(&mut self) -> Option<Failure> {
        let desk = self.shared.admission.clone();
        let prompt_tokens = self.route_request.prompt_tokens;
        let entered = desk.enter(&self.in_force, &self.request, prompt_tokens, self.deadline);
        let _permit = match entered.await {
            Ok(permit) => permit,
            Err(refusal) => return Some(refusal),
        };
        desk.note_first_attempt(self.retry_percent_limit).await;
        let mut last = "no attempt".to_string();
        for attempt_id in 1..=self.attempts_limit {
            if self.needs_retry_budget() && !desk.may_retry().await {
                let message = format!("the retry budget is used up ({last})");
                return Some(self.failure(FailureCode::TargetFailed, message));
            }
            let Some(route) = self.choose().await else {
                let message = format!("no runner can take the request now ({last})");
                return Some(self.failure(FailureCode::NoTarget, message));
            };
            let end = self.attempt(attempt_id, &route).await;
            note_attempt(&self.request, attempt_id, &route.runner, end.name());
            match end {
                AttemptEnd::Done => return None,
                AttemptEnd::TryElsewhere(why) => {
                    last = why;
                    Arc::make_mut(&mut self.route_request).avoid.push(route.runner);
                }
                AttemptEnd::GaveUp(why) => {
                    self.ran = Ran::Ran;
                    return Some(self.failure(FailureCode::TargetFailed, why));
                }
            }
        }
        Some(self.failure(FailureCode::TargetFailed, last))
    }

    /// Whether another attempt repeats work that may have been done. An answer that has begun
    /// goes on in any case: giving it up would waste what was done.
    fn needs_retry_budget(&self) -> bool {
        self.ran != Ran::NotRun && self.delivered.is_empty()
    }

    /// Chooses a runner, one below its in-flight limit if there is any.
    async fn choose(&self) -> Option<Route> {
        let full = self.shared.admission.full_runners(&self.request.model).await;
        if !full.is_empty() {
            let mut request = self.route_request.as_ref().clone();
            request.avoid.extend(full);
            if let Ok(route) = self.shared.router.ask(Choose(Arc::new(request))).await {
                return Some(route);
            }
        }
        self.shared.router.ask(Choose(self.route_request.clone())).await.ok()
    }

    async fn attempt(&mut self, attempt_id: AttemptId, route: &Route) -> AttemptEnd {
        let runner = self.shared.parts.connector.runner(&route.address);
        let run_id = format!("{}.{attempt_id}", self.request.request_id);
        let mut guard = RunGuard {
            shared: self.shared.clone(),
            runner: runner.clone(),
            run_id: run_id.clone(),
            route: route.clone(),
            route_request: self.route_request.clone(),
            events: self.events.clone(),
            retained: false,
            had_first_token: false,
            sent_at: Instant::now(),
            failed: false,
            // Nothing is to be cancelled before the start is sent.
            ended: true,
        };
        self.shared.admission.tell(News::Began(route.runner.clone())).await;
        let keys = self.route_request.keys(route.weight_version);
        let account = &self.request.account;
        self.shared.context.prepare(route, runner.clone(), account, keys).await;
        guard.sent_at = Instant::now();
        guard.ended = false;
        let ran_before = self.ran;
        self.ran = self.ran.or_unknown();
        let frames = match runner.start(self.run_request(&run_id, attempt_id, route)).await {
            Ok(frames) => frames,
            Err(error) => {
                guard.ended = !matches!(error, StartError::Broken(_));
                guard.failed = matches!(error, StartError::Broken(_) | StartError::NotReached(_));
                if guard.ended {
                    self.ran = ran_before;
                }
                return self.not_started(&route.runner, error).await;
            }
        };
        let progress = AnswerProgress {
            run_id,
            request_id: self.request.request_id.clone(),
            attempt_id,
            weight_version: route.weight_version,
            next_offset: self.delivered.len() as u64,
            started: false,
            ended: false,
        };
        let mut follower = RunFollower { runner, account: self.request.account.clone(), progress };
        let mut sink = AttemptSink { attempts: self, guard: &mut guard, attempt_id };
        let end = follower.follow(frames, &mut sink).await;
        guard.ended = matches!(end, StreamEnd::Complete | StreamEnd::RunFailed(_));
        guard.failed = matches!(end, StreamEnd::Broken(_) | StreamEnd::RunFailed(_));
        match end {
            StreamEnd::Complete => {
                self.note_use(route).await;
                AttemptEnd::Done
            }
            StreamEnd::CallerDisconnected => AttemptEnd::Done,
            StreamEnd::RunFailed(why) => AttemptEnd::GaveUp(why),
            StreamEnd::WrongWeights(found) => AttemptEnd::TryElsewhere(format!(
                "runner {} serves weight version {found}",
                route.runner
            )),
            StreamEnd::Broken(why) => AttemptEnd::TryElsewhere(why),
        }
    }

    /// Lets the prompt's blocks be saved, which the runner holds now.
    async fn note_use(&self, route: &Route) {
        let used = Used {
            account: self.request.account.clone(),
            model: self.request.model.clone(),
            runner: route.runner.clone(),
            address: route.address.clone(),
            weight_version: route.weight_version,
            keys: self.route_request.keys(route.weight_version).to_vec(),
        };
        self.shared.context.note_use(used).await;
    }

    async fn not_started(&self, runner: &str, error: StartError) -> AttemptEnd {
        if error == StartError::Leaving {
            // A stopped actor means that the process ends.
            let _ = self.shared.router.tell(Observed::Leaving(runner.to_string())).await;
            self.shared.peers.observe_leaving(runner).await;
        }
        AttemptEnd::TryElsewhere(format!("runner {runner}: {error}"))
    }

    fn run_request(&self, run_id: &str, attempt_id: AttemptId, route: &Route) -> RunRequest {
        RunRequest {
            run_id: run_id.to_string(),
            request_id: self.request.request_id.clone(),
            attempt_id,
            account: self.request.account.clone(),
            model: self.request.model.clone(),
            adapter: self.request.adapter.clone(),
            expected_weight_version: route.weight_version,
            prompt: self.request.prompt.clone(),
            prefix_keys: self.keys(route.weight_version),
            prompt_tokens: self.route_request.prompt_tokens,
            answer_tokens_limit: self.request.answer_tokens_limit,
            delivered: self.delivered.clone(),
            priority: self.request.priority,
        }
    }

    fn keys(&self, weight_version: WeightVersion) -> Vec<PrefixKey> {
        self.route_request.prefix_keys.get(&weight_version).cloned().unwrap_or_default()
    }

    /// Keeps the rest of the answer, on whatever runner, to the weights that it began with.
    fn fix_weights(&mut self, weight_version: WeightVersion) {
        self.weight_version = Some(weight_version);
        Arc::make_mut(&mut self.route_request)
            .prefix_keys
            .retain(|version, _| *version == weight_version);
    }

    /// The token with which the caller takes the stream up again.
    fn resume_token(&self, attempt_id: AttemptId, guard: &RunGuard, cached_tokens: u64) -> String {
        let parts = &self.shared.parts;
        let limits = &parts.settings.limits;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let expires_at = parts.clock.wall() + left + Duration::from_millis(limits.resume_window_ms);
        let claims = ResumeClaims {
            data_centre: parts.settings.data_centre.clone(),
            runner: guard.route.runner.clone(),
            run_id: guard.run_id.clone(),
            attempt_id,
            request_id: self.request.request_id.clone(),
            account: self.request.account.clone(),
            model: self.request.model.clone(),
            weight_version: guard.route.weight_version,
            configuration_version: self.in_force.version,
            prompt_tokens: self.route_request.prompt_tokens,
            cached_tokens,
            expires_at_ms: unix_milliseconds(expires_at),
            entry_address: parts.peers.address(),
            resumable: self.request.resumable,
            answer_tokens_limit: self.request.answer_tokens_limit,
        };
        seal_token(&self.shared.resume_key, &claims)
    }
}

/// Passes the frames of one attempt to the caller.
struct AttemptSink<'a> {
    attempts: &'a mut Attempts,
    guard: &'a mut RunGuard,
    attempt_id: AttemptId,
}

impl AttemptSink<'_> {
    async fn started(&mut self, cached_tokens: u64) -> CompletionEvent {
        self.guard.record_started(cached_tokens).await;
        let resume_token = self.attempts.resume_token(self.attempt_id, self.guard, cached_tokens);
        if self.attempts.request.resumable {
            self.guard.retain().await;
        }
        let weight_version = self.guard.route.weight_version;
        if self.attempts.weight_version.is_some() {
            return CompletionEvent::Moved { resume_token };
        }
        self.attempts.fix_weights(weight_version);
        let configuration_version = self.attempts.in_force.version;
        CompletionEvent::Started {
            configuration_version,
            weight_version,
            cached_tokens,
            resume_token,
        }
    }
}

#[async_trait]
impl FrameSink for AttemptSink<'_> {
    async fn send(&mut self, step: FrameStep) -> bool {
        let event = match step {
            FrameStep::Started { cached_tokens } => self.started(cached_tokens).await,
            FrameStep::Token { offset, text } => {
                self.guard.record_first_token().await;
                self.attempts.delivered.push(text.clone());
                CompletionEvent::Token { offset, text }
            }
            FrameStep::Finished { reason, answer_tokens } => {
                CompletionEvent::Finished { reason, answer_tokens }
            }
            _ => return true,
        };
        self.attempts.events.send(event).await.is_ok()
    }
}
