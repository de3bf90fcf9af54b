//! Carries one prompt through its attempts until the answer is whole or given up.
//!
//! Each attempt has its own run id. Only frames of the current attempt that carry its run,
//! request and attempt ids are passed on, each token once and in order. An attempt that breaks
//! is resumed at its runner; if that fails, another runner with the same weights goes on after
//! the tokens already delivered.

use crate::{
    attempt_log::note_attempt,
    completion::UnderWay,
    entry::Shared,
    failure::{Failure, FailureCode},
    request::{AnswerEvent, CompletionRequest},
    router_actor::{Choose, Observed},
};
use futures::StreamExt;
use skylarkpick_interface::{
    AttemptId, ConfigurationVersion, FinishReason, FrameBody, FrameStream, PrefixKey, RunFrame,
    RunId, RunRequest, Runner, StartError, WeightVersion,
};
use skylarkpick_schedule::{Route, RouteRequest};
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// Times that a broken stream is taken up again at its runner before the run is given up.
const RESUMES_LIMIT: u32 = 2;
/// When to come back after no runner could be found.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(2);

/// One prompt on its way to a whole answer.
pub(crate) struct Attempts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: CompletionRequest,
    pub(crate) route_request: Arc<RouteRequest>,
    pub(crate) configuration_version: ConfigurationVersion,
    /// Weights of the answer, fixed by its first frame.
    pub(crate) weight_version: Option<WeightVersion>,
    pub(crate) attempts_limit: u32,
    pub(crate) deadline: Instant,
    pub(crate) events: mpsc::Sender<AnswerEvent>,
    pub(crate) delivered: Vec<String>,
    #[allow(dead_code)]
    pub(crate) under_way: UnderWay,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The answer is whole.
    Whole,
    /// The caller went away.
    CallerGone,
    /// Another runner may go on.
    TryElsewhere {
        /// Whether the run can have started.
        may_have_run: bool,
        why: String,
    },
    /// The runner ended the run without a whole answer.
    RunnerGaveUp(String),
}

impl AttemptEnd {
    /// Word for logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            AttemptEnd::Whole => "whole",
            AttemptEnd::CallerGone => "caller_gone",
            AttemptEnd::TryElsewhere { .. } => "try_elsewhere",
            AttemptEnd::RunnerGaveUp(_) => "runner_gave_up",
        }
    }
}

/// How the frames of a stream ended.
enum StreamEnd {
    Whole,
    CallerGone,
    OtherWeights(WeightVersion),
    RunnerGaveUp(String),
    Broken(String),
}

impl Attempts {
    pub(crate) async fn run(mut self) {
        let deadline = self.deadline;
        let Ok(failure) = tokio::time::timeout_at(deadline, self.try_all()).await else {
            let failure = Failure::unknown(FailureCode::DeadlineExceeded, "the deadline passed");
            self.fail(failure).await;
            return;
        };
        if let Some(failure) = failure {
            self.fail(failure).await;
        }
    }

    async fn fail(&self, failure: Failure) {
        // A caller that went away needs no answer.
        let _ = self.events.send(AnswerEvent::Failed(failure)).await;
    }

    /// Makes attempts until one gives the whole answer; gives the failure if none does.
    async fn try_all(&mut self) -> Option<Failure> {
        let mut may_have_run = false;
        let mut last = "no attempt".to_string();
        for attempt_id in 1..=self.attempts_limit {
            let choice = self.shared.router.ask(Choose(self.route_request.clone())).await;
            let Ok(route) = choice else {
                return Some(self.no_route(may_have_run, &last));
            };
            let end = self.attempt(attempt_id, &route).await;
            note_attempt(&self.request, attempt_id, &route.runner, end.name());
            match end {
                AttemptEnd::Whole | AttemptEnd::CallerGone => return None,
                AttemptEnd::TryElsewhere { may_have_run: may, why } => {
                    may_have_run |= may;
                    last = why;
                    Arc::make_mut(&mut self.route_request).avoid.push(route.runner);
                }
                AttemptEnd::RunnerGaveUp(why) => {
                    return Some(Failure { ran: crate::Ran::Ran, ..target_failed(&why) });
                }
            }
        }
        Some(if may_have_run {
            target_failed(&last)
        } else {
            Failure::not_run(FailureCode::TargetFailed, last).retry_after(NO_RUNNER_RETRY)
        })
    }

    fn no_route(&self, may_have_run: bool, last: &str) -> Failure {
        let message = format!("no runner can take the request now ({last})");
        let failure = if may_have_run {
            Failure::unknown(FailureCode::NoTarget, message)
        } else {
            Failure::not_run(FailureCode::NoTarget, message)
        };
        failure.retry_after(NO_RUNNER_RETRY)
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
            had_first_token: false,
            ended: false,
        };
        let started = runner.start(self.run_request(&run_id, attempt_id, route)).await;
        let frames = match started {
            Ok(frames) => frames,
            Err(error) => {
                guard.ended = !matches!(error, StartError::Broken(_));
                return self.not_started(&route.runner, error).await;
            }
        };
        let end = self.follow(&run_id, attempt_id, frames, &mut guard).await;
        guard.ended = matches!(end, StreamEnd::Whole | StreamEnd::RunnerGaveUp(_));
        match end {
            StreamEnd::Whole => AttemptEnd::Whole,
            StreamEnd::CallerGone => AttemptEnd::CallerGone,
            StreamEnd::RunnerGaveUp(why) => AttemptEnd::RunnerGaveUp(why),
            StreamEnd::OtherWeights(found) => {
                let why = format!("runner {} serves weight version {found}", route.runner);
                AttemptEnd::TryElsewhere { may_have_run: true, why }
            }
            StreamEnd::Broken(why) => AttemptEnd::TryElsewhere { may_have_run: true, why },
        }
    }

    async fn not_started(&self, runner: &str, error: StartError) -> AttemptEnd {
        if error == StartError::Leaving {
            // A stopped actor means that the process ends.
            let _ = self.shared.router.tell(Observed::Leaving(runner.to_string())).await;
            self.shared.peers.observe_leaving(runner).await;
        }
        let may_have_run = matches!(error, StartError::Broken(_));
        AttemptEnd::TryElsewhere { may_have_run, why: format!("runner {runner}: {error}") }
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

    /// Passes on the frames of a run, taking a broken stream up again at its runner.
    async fn follow(
        &mut self,
        run_id: &RunId,
        attempt_id: AttemptId,
        mut frames: FrameStream,
        guard: &mut RunGuard,
    ) -> StreamEnd {
        for _ in 0..RESUMES_LIMIT {
            let why = match self.pass_on(run_id, attempt_id, &mut frames, guard).await {
                StreamEnd::Broken(why) => why,
                end => return end,
            };
            let offset = self.delivered.len() as u64;
            if !guard.had_first_token {
                return StreamEnd::Broken(why);
            }
            match guard.runner.resume(run_id, &self.request.account, offset).await {
                Ok(resumed) => frames = resumed,
                Err(error) => return StreamEnd::Broken(format!("{why}; {error}")),
            }
        }
        self.pass_on(run_id, attempt_id, &mut frames, guard).await
    }

    async fn pass_on(
        &mut self,
        run_id: &RunId,
        attempt_id: AttemptId,
        frames: &mut FrameStream,
        guard: &mut RunGuard,
    ) -> StreamEnd {
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = self.events.closed() => return StreamEnd::CallerGone,
            };
            let body = match frame {
                None => return StreamEnd::Broken("the stream ended early".to_string()),
                Some(Err(error)) => return StreamEnd::Broken(error.to_string()),
                Some(Ok(frame)) if !self.is_own(&frame, run_id, attempt_id) => continue,
                Some(Ok(frame)) => frame.body,
            };
            if let Some(end) = self.pass_one(body, guard).await {
                return end;
            }
        }
    }

    fn is_own(&self, frame: &RunFrame, run_id: &RunId, attempt_id: AttemptId) -> bool {
        frame.run_id == *run_id
            && frame.request_id == self.request.request_id
            && frame.attempt_id == attempt_id
    }

    /// Passes one frame on; gives how the stream ended if it did.
    async fn pass_one(&mut self, body: FrameBody, guard: &mut RunGuard) -> Option<StreamEnd> {
        match body {
            FrameBody::Started { weight_version, cached_tokens } => {
                let expected = guard.route.weight_version;
                if weight_version == expected {
                    guard.note_started(cached_tokens).await;
                }
                self.announce(expected, weight_version, cached_tokens).await
            }
            FrameBody::Token { offset, text } => self.pass_token(offset, text, guard).await,
            FrameBody::Finished { reason: FinishReason::Cancelled, .. } => {
                Some(StreamEnd::RunnerGaveUp("the run was cancelled".to_string()))
            }
            FrameBody::Finished { reason, answer_tokens } => {
                if answer_tokens != self.delivered.len() as u64 {
                    return Some(StreamEnd::Broken("tokens are missing".to_string()));
                }
                let event = AnswerEvent::Finished { reason, answer_tokens };
                self.send(event).await.or(Some(StreamEnd::Whole))
            }
            FrameBody::Failed { message } => Some(StreamEnd::RunnerGaveUp(message)),
        }
    }

    async fn announce(
        &mut self,
        expected: WeightVersion,
        weight_version: WeightVersion,
        cached_tokens: u64,
    ) -> Option<StreamEnd> {
        if weight_version != expected {
            return Some(StreamEnd::OtherWeights(weight_version));
        }
        if self.weight_version.is_some() {
            return None;
        }
        self.fix_weights(weight_version);
        let configuration_version = self.configuration_version;
        self.send(AnswerEvent::Started { configuration_version, weight_version, cached_tokens })
            .await
    }

    /// Keeps the rest of the answer, on whatever runner, to the weights that it began with.
    fn fix_weights(&mut self, weight_version: WeightVersion) {
        self.weight_version = Some(weight_version);
        Arc::make_mut(&mut self.route_request)
            .prefix_keys
            .retain(|version, _| *version == weight_version);
    }

    async fn pass_token(
        &mut self,
        offset: u64,
        text: String,
        guard: &mut RunGuard,
    ) -> Option<StreamEnd> {
        let next = self.delivered.len() as u64;
        if offset < next {
            return None;
        }
        if offset > next || self.weight_version.is_none() {
            return Some(StreamEnd::Broken("tokens are missing".to_string()));
        }
        guard.note_first_token().await;
        self.delivered.push(text.clone());
        self.send(AnswerEvent::Token { offset, text }).await
    }

    async fn send(&self, event: AnswerEvent) -> Option<StreamEnd> {
        self.events.send(event).await.is_err().then_some(StreamEnd::CallerGone)
    }
}

fn target_failed(why: &str) -> Failure {
    Failure::unknown(FailureCode::TargetFailed, why).retry_after(NO_RUNNER_RETRY)
}

/// Tells the router when a run ends, and cancels it at the runner if it did not end by itself.
struct RunGuard {
    shared: Arc<Shared>,
    runner: Arc<dyn Runner>,
    run_id: RunId,
    route: Route,
    route_request: Arc<RouteRequest>,
    had_first_token: bool,
    ended: bool,
}

impl RunGuard {
    async fn note_started(&self, cached_tokens: u64) {
        let (route, request) = (self.route.clone(), self.route_request.clone());
        // A stopped actor means that the process ends.
        let _ = self.shared.router.tell(Observed::Started { route, request, cached_tokens }).await;
    }

    async fn note_first_token(&mut self) {
        if self.had_first_token {
            return;
        }
        self.had_first_token = true;
        let observed = Observed::FirstToken(self.route.clone(), self.route_request.clone());
        // A stopped actor means that the process ends.
        let _ = self.shared.router.tell(observed).await;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let observed = Observed::End {
            route: self.route.clone(),
            request: self.route_request.clone(),
            had_first_token: self.had_first_token,
        };
        let (router, runner, run_id) =
            (self.shared.router.clone(), self.runner.clone(), self.run_id.clone());
        let ended = self.ended;
        tokio::spawn(async move {
            // A stopped actor means that the process ends.
            let _ = router.tell(observed).await;
            if !ended {
                // A runner that cannot be reached has no caller to send tokens to either.
                let _ = runner.cancel(&run_id).await;
            }
        });
    }
}
