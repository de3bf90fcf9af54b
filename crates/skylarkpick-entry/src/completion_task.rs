//! The task of one completion request, which makes attempts until one delivers the complete
//! response.
//!
//! Each attempt has its own run id. Only frames of the current attempt that carry its run, request
//! and attempt ids are forwarded, each token once and in order. A broken stream is resumed at its
//! runner; if that fails, another runner with the same weights continues after the tokens already
//! delivered.

use crate::{
    active_configuration::ActiveConfiguration,
    admission::RunEvent,
    attempt_log::record_attempt_end,
    completion::InFlightGuard,
    context::CompletedRun,
    entry::Shared,
    failure::{Failure, FailureCode, Ran},
    request::{CompletionEvent, CompletionRequest},
    router_actor::{ChooseRoute, RouterUpdate},
    streams::{FrameSink, FrameStep, RunFollower, RunGuard, RunProgress, StreamEnd},
    streams::{sign_token, unix_milliseconds},
};
use async_trait::async_trait;
use skylarkpick_interface::{AttemptId, PrefixKey, RunRequest, StartError, WeightVersion};
use skylarkpick_protocol::resume::ResumeClaims;
use skylarkpick_schedule::{Route, RouteRequest};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// `retry_after` of a request that failed after admission.
const FAILURE_RETRY: Duration = Duration::from_secs(2);

/// The state of one completion request.
pub(crate) struct CompletionTask {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: CompletionRequest,
    pub(crate) route_request: Arc<RouteRequest>,
    /// Configuration at the time the request was accepted.
    pub(crate) active_configuration: Arc<ActiveConfiguration>,
    /// Weights of the response, fixed by its first frame.
    pub(crate) weight_version: Option<WeightVersion>,
    pub(crate) attempts_limit: u32,
    pub(crate) retry_percent_limit: u32,
    pub(crate) deadline: Instant,
    pub(crate) events: mpsc::Sender<CompletionEvent>,
    /// Tokens sent to the caller so far.
    pub(crate) delivered: Vec<String>,
    /// Whether the request was executed, as far as is known.
    pub(crate) ran: Ran,
    pub(crate) _in_flight: Arc<InFlightGuard>,
}

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The response is complete, or the caller has disconnected.
    Done,
    /// Another runner may continue, for this reason.
    Retryable(String),
    /// The runner ended the run with an error; the request is not retried.
    Failed(String),
}

impl AttemptOutcome {
    /// Label in logs and metrics.
    fn label(&self) -> &'static str {
        match self {
            AttemptOutcome::Done => "done",
            AttemptOutcome::Retryable(_) => "try_elsewhere",
            AttemptOutcome::Failed(_) => "gave_up",
        }
    }
}

impl CompletionTask {
    /// Runs until the response is complete, the deadline passes, or the caller disconnects.
    pub(crate) async fn run(mut self) {
        let (events, deadline) = (self.events.clone(), self.deadline);
        let result = tokio::select! {
            () = events.closed() => return,
            result = tokio::time::timeout_at(deadline, self.try_runners()) => result,
        };
        let failure = result.unwrap_or_else(|_| {
            Some(self.failure(FailureCode::DeadlineExceeded, "the deadline passed".to_string()))
        });
        if let Some(failure) = failure {
            // Fails when the caller has disconnected.
            let _ = events.send(CompletionEvent::Failed(failure)).await;
        }
    }

    /// Creates a failure that states whether the request was executed and when to retry.
    fn failure(&self, code: FailureCode, message: String) -> Failure {
        Failure { ran: self.ran, ..Failure::not_run(code, message) }.retry_after(FAILURE_RETRY)
    }

    /// Makes attempts until one completes the response; returns the failure if none does.
    async fn try_runners(&mut self) -> Option<Failure> {
        let admission = self.shared.admission.clone();
        let prompt_tokens = self.route_request.prompt_tokens;
        let acquired = admission.acquire(
            &self.active_configuration,
            &self.request,
            prompt_tokens,
            self.deadline,
        );
        let _permit = match acquired.await {
            Ok(permit) => permit,
            Err(refusal) => return Some(refusal),
        };
        admission.record_first_attempt(self.retry_percent_limit).await;
        let mut last_error = "no attempt was made".to_string();
        for attempt_id in 1..=self.attempts_limit {
            if self.needs_retry_budget() && !admission.take_retry().await {
                let message = format!("the retry budget is exhausted ({last_error})");
                return Some(self.failure(FailureCode::TargetFailed, message));
            }
            let Some(route) = self.choose_route().await else {
                let message = format!("no runner can accept the request now ({last_error})");
                return Some(self.failure(FailureCode::NoTarget, message));
            };
            let outcome = self.attempt(attempt_id, &route).await;
            record_attempt_end(&self.request, attempt_id, &route.runner, outcome.label());
            match outcome {
                AttemptOutcome::Done => return None,
                AttemptOutcome::Retryable(reason) => {
                    last_error = reason;
                    Arc::make_mut(&mut self.route_request).avoid.push(route.runner);
                }
                AttemptOutcome::Failed(reason) => {
                    self.ran = Ran::Ran;
                    return Some(self.failure(FailureCode::TargetFailed, reason));
                }
            }
        }
        Some(self.failure(FailureCode::TargetFailed, last_error))
    }

    /// Whether the next attempt counts against the retry budget: it does if it may repeat work of
    /// an earlier one. A response that has begun is always continued, since its tokens would
    /// otherwise be wasted.
    fn needs_retry_budget(&self) -> bool {
        self.ran != Ran::NotRun && self.delivered.is_empty()
    }

    /// Chooses a runner, preferably one below its in-flight limit.
    async fn choose_route(&self) -> Option<Route> {
        let saturated = self.shared.admission.saturated_runners(&self.request.model).await;
        if !saturated.is_empty() {
            let mut request = self.route_request.as_ref().clone();
            request.avoid.extend(saturated);
            if let Ok(route) = self.shared.router.ask(ChooseRoute(Arc::new(request))).await {
                return Some(route);
            }
        }
        self.shared.router.ask(ChooseRoute(self.route_request.clone())).await.ok()
    }

    async fn attempt(&mut self, attempt_id: AttemptId, route: &Route) -> AttemptOutcome {
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
            // Before the start is sent there is nothing to cancel.
            ended: true,
        };
        self.shared.admission.record(RunEvent::Sent(route.runner.clone())).await;
        let keys = self.route_request.keys(route.weight_version);
        let account = &self.request.account;
        self.shared.context.import_context(route, runner.clone(), account, keys).await;
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
                return self.start_failure(&route.runner, error).await;
            }
        };
        let progress = RunProgress {
            run_id,
            request_id: self.request.request_id.clone(),
            attempt_id,
            weight_version: route.weight_version,
            next_offset: self.delivered.len() as u64,
            started: false,
            ended: false,
        };
        let mut follower = RunFollower { runner, account: self.request.account.clone(), progress };
        let mut sink = AttemptSink { task: self, guard: &mut guard, attempt_id };
        let end = follower.follow(frames, &mut sink).await;
        guard.ended = matches!(end, StreamEnd::Complete | StreamEnd::RunFailed(_));
        guard.failed = matches!(end, StreamEnd::Broken(_) | StreamEnd::RunFailed(_));
        match end {
            StreamEnd::Complete => {
                self.record_completed_run(route).await;
                AttemptOutcome::Done
            }
            StreamEnd::CallerDisconnected => AttemptOutcome::Done,
            StreamEnd::RunFailed(reason) => AttemptOutcome::Failed(reason),
            StreamEnd::WrongWeights(found) => AttemptOutcome::Retryable(format!(
                "runner {} serves weight version {found}",
                route.runner
            )),
            StreamEnd::Broken(reason) => AttemptOutcome::Retryable(reason),
        }
    }

    /// Reports the run to the context manager, which may save the prompt's blocks from the runner.
    async fn record_completed_run(&self, route: &Route) {
        let run = CompletedRun {
            account: self.request.account.clone(),
            model: self.request.model.clone(),
            runner: route.runner.clone(),
            address: route.address.clone(),
            weight_version: route.weight_version,
            keys: self.route_request.keys(route.weight_version).to_vec(),
        };
        self.shared.context.record_completed_run(run).await;
    }

    async fn start_failure(&self, runner: &str, error: StartError) -> AttemptOutcome {
        if error == StartError::Leaving {
            // Fails only while the process is exiting.
            let _ = self.shared.router.tell(RouterUpdate::Leaving(runner.to_string())).await;
            self.shared.peers.observe_leaving(runner).await;
        }
        AttemptOutcome::Retryable(format!("runner {runner}: {error}"))
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

    /// Restricts later attempts to runners with the weights that the response began with.
    fn fix_weights(&mut self, weight_version: WeightVersion) {
        self.weight_version = Some(weight_version);
        Arc::make_mut(&mut self.route_request)
            .prefix_keys
            .retain(|version, _| *version == weight_version);
    }

    /// Creates the token with which the caller can resume the stream.
    fn resume_token(&self, attempt_id: AttemptId, guard: &RunGuard, cached_tokens: u64) -> String {
        let parts = &self.shared.parts;
        let limits = &parts.settings.limits;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let expires_at =
            parts.clock.wall() + remaining + Duration::from_millis(limits.resume_window_ms);
        let claims = ResumeClaims {
            data_centre: parts.settings.data_centre.clone(),
            runner: guard.route.runner.clone(),
            run_id: guard.run_id.clone(),
            attempt_id,
            request_id: self.request.request_id.clone(),
            account: self.request.account.clone(),
            model: self.request.model.clone(),
            weight_version: guard.route.weight_version,
            configuration_version: self.active_configuration.version,
            prompt_tokens: self.route_request.prompt_tokens,
            cached_tokens,
            expires_at_ms: unix_milliseconds(expires_at),
            entry_address: parts.peers.address(),
            resumable: self.request.resumable,
            answer_tokens_limit: self.request.answer_tokens_limit,
        };
        sign_token(&self.shared.resume_key, &claims)
    }
}

/// Forwards the frames of one attempt to the caller.
struct AttemptSink<'a> {
    task: &'a mut CompletionTask,
    guard: &'a mut RunGuard,
    attempt_id: AttemptId,
}

impl AttemptSink<'_> {
    async fn started(&mut self, cached_tokens: u64) -> CompletionEvent {
        self.guard.record_started(cached_tokens).await;
        let resume_token = self.task.resume_token(self.attempt_id, self.guard, cached_tokens);
        if self.task.request.resumable {
            self.guard.retain().await;
        }
        let weight_version = self.guard.route.weight_version;
        if self.task.weight_version.is_some() {
            return CompletionEvent::Moved { resume_token };
        }
        self.task.fix_weights(weight_version);
        let configuration_version = self.task.active_configuration.version;
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
                self.task.delivered.push(text.clone());
                CompletionEvent::Token { offset, text }
            }
            FrameStep::Finished { reason, answer_tokens } => {
                CompletionEvent::Finished { reason, answer_tokens }
            }
            _ => return true,
        };
        self.task.events.send(event).await.is_ok()
    }
}
