//! Resumes a response stream from its resume token, on any entry process that holds the key.
//!
//! A token is issued only once its run has started, so no failure here reports `Ran::NotRun`.

use super::{
    follower::{FrameSink, RunFollower, StreamEnd},
    progress::{FrameStep, RunProgress},
    resume_token::{ResumeTokenError, unix_milliseconds, verify_token},
    retention_actor::AttachReader,
    run_guard::RunEnd,
    takeover_notice::send_takeover_notice,
};
use crate::{
    completion::{CompletionStream, EVENT_BUFFER_LIMIT, InFlightGuard},
    entry::Shared,
    failure::{Failure, FailureCode, Ran},
    request::CompletionEvent,
};
use async_trait::async_trait;
use skylarkpick_interface::{Runner, StartError};
use skylarkpick_protocol::resume::ResumeClaims;
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::Instant};

/// Retry delay that the caller is given after the runner could not be reached.
const RUNNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Checks a resume token and resumes its stream in the background.
pub(crate) fn resume(
    shared: &Arc<Shared>,
    account: &str,
    token: &str,
    offset: u64,
) -> Result<CompletionStream, Failure> {
    let now = shared.parts.clock.wall();
    let claims = verify_token(&shared.resume_key, token, account, now).map_err(token_failure)?;
    if offset > claims.answer_tokens_limit {
        let message = format!("the response has no position {offset}");
        return Err(Failure::unknown(FailureCode::BadRequest, message));
    }
    let address = runner_address(shared, &claims)?;
    let left = Duration::from_millis(claims.expires_at_ms.saturating_sub(unix_milliseconds(now)));
    let (sender, events) = mpsc::channel(EVENT_BUFFER_LIMIT);
    let in_flight_guard = Arc::new(InFlightGuard::start(shared.clone()));
    let resumed = ResumedStream {
        shared: shared.clone(),
        runner: shared.parts.connector.runner(&address),
        claims: claims.clone(),
        token: token.to_string(),
        offset,
        deadline: Instant::now() + left,
        events: sender,
        _in_flight_guard: in_flight_guard.clone(),
    };
    tokio::spawn(resumed.run());
    if claims.resumable {
        tokio::spawn(send_takeover_notice(shared.parts.peers.clone(), claims.clone()));
    }
    Ok(CompletionStream::open(events, in_flight_guard).with_claims(claims))
}

/// Converts a token error. A rejected token does not show whether the request ran.
fn token_failure(error: ResumeTokenError) -> Failure {
    let code = match error {
        ResumeTokenError::NotAuthentic | ResumeTokenError::OtherAccount => FailureCode::Forbidden,
        ResumeTokenError::Expired => FailureCode::Expired,
    };
    Failure::unknown(code, error.to_string())
}

fn runner_address(shared: &Shared, claims: &ResumeClaims) -> Result<String, Failure> {
    let active_configuration = shared.active_configuration.borrow();
    let mut data_centres = active_configuration.configuration.data_centres.values();
    let target = data_centres.find_map(|data_centre| data_centre.runners.get(&claims.runner));
    target.map(|target| target.address.clone()).ok_or_else(|| {
        let message = format!("runner {} is no longer configured", claims.runner);
        Failure::unknown(FailureCode::NotFound, message)
    })
}

/// A resumed stream.
struct ResumedStream {
    shared: Arc<Shared>,
    runner: Arc<dyn Runner>,
    claims: ResumeClaims,
    token: String,
    offset: u64,
    deadline: Instant,
    events: mpsc::Sender<CompletionEvent>,
    _in_flight_guard: Arc<InFlightGuard>,
}

impl ResumedStream {
    async fn run(self) {
        let (events, deadline) = (self.events.clone(), self.deadline);
        let mut guard = ResumeGuard {
            shared: self.shared.clone(),
            runner: self.runner.clone(),
            claims: self.claims.clone(),
            is_reader: false,
            ended: false,
        };
        let followed = tokio::select! {
            () = events.closed() => return,
            followed = tokio::time::timeout_at(deadline, self.follow(&mut guard)) => followed,
        };
        let failure = followed.unwrap_or_else(|_| {
            Some(Failure::unknown(
                FailureCode::DeadlineExceeded,
                "the resume token expired before the response was complete".to_string(),
            ))
        });
        if let Some(failure) = failure {
            // The caller may have disconnected.
            let _ = events.send(CompletionEvent::Failed(failure)).await;
        }
    }

    async fn follow(self, guard: &mut ResumeGuard) -> Option<Failure> {
        let claims = &self.claims;
        let progress = RunProgress {
            run_id: claims.run_id.clone(),
            request_id: claims.request_id.clone(),
            attempt_id: claims.attempt_id,
            weight_version: claims.weight_version,
            next_offset: self.offset,
            started: true,
            ended: false,
        };
        let account = claims.account.clone();
        let mut follower = RunFollower { runner: self.runner.clone(), account, progress };
        if claims.resumable {
            // Fails only while the process is exiting.
            let _ = self.shared.retention.tell(AttachReader(claims.run_id.clone())).await;
        }
        guard.is_reader = claims.resumable;
        let frames = match follower.reopen().await {
            Ok(frames) => frames,
            Err(error) => {
                guard.ended = matches!(error, StartError::NoSuchRun);
                return Some(reopen_failure(&error));
            }
        };
        guard.is_reader = true;
        let started = CompletionEvent::Started {
            configuration_version: claims.configuration_version,
            weight_version: claims.weight_version,
            cached_tokens: claims.cached_tokens,
            resume_token: self.token.clone(),
        };
        if self.events.send(started).await.is_err() {
            return None;
        }
        let mut sink = ResumeSink { events: self.events.clone() };
        let end = follower.follow(frames, &mut sink).await;
        guard.ended = matches!(end, StreamEnd::Complete | StreamEnd::RunFailed(_));
        match end {
            StreamEnd::Complete | StreamEnd::CallerDisconnected => None,
            StreamEnd::RunFailed(cause) => {
                let failure =
                    Failure { ran: Ran::Ran, ..Failure::unknown(FailureCode::TargetFailed, cause) };
                Some(failure.retry_after(RUNNER_RETRY_DELAY))
            }
            StreamEnd::Broken(cause) => Some(
                Failure::unknown(FailureCode::TargetFailed, cause).retry_after(RUNNER_RETRY_DELAY),
            ),
            StreamEnd::WrongWeights(version) => {
                let message = format!("the runner continued with weight version {version}");
                Some(Failure::unknown(FailureCode::TargetFailed, message))
            }
        }
    }
}

fn reopen_failure(error: &StartError) -> Failure {
    match error {
        StartError::NoSuchRun => {
            let message =
                "the runner no longer holds the run, or not from this position".to_string();
            Failure::unknown(FailureCode::NotFound, message)
        }
        error => Failure::unknown(FailureCode::TargetFailed, error.to_string())
            .retry_after(RUNNER_RETRY_DELAY),
    }
}

struct ResumeSink {
    events: mpsc::Sender<CompletionEvent>,
}

#[async_trait]
impl FrameSink for ResumeSink {
    async fn send(&mut self, step: FrameStep) -> bool {
        let event = match step {
            FrameStep::Token { offset, text } => CompletionEvent::Token { offset, text },
            FrameStep::Finished { reason, answer_tokens } => {
                CompletionEvent::Finished { reason, answer_tokens }
            }
            _ => return true,
        };
        self.events.send(event).await.is_ok()
    }
}

/// Cancels the run when the resuming caller disconnects, or retains it if the request is resumable.
struct ResumeGuard {
    shared: Arc<Shared>,
    runner: Arc<dyn Runner>,
    claims: ResumeClaims,
    /// Whether this process counts as a reader of the run, so that it has to end or retain it.
    is_reader: bool,
    ended: bool,
}

impl Drop for ResumeGuard {
    fn drop(&mut self) {
        if !self.is_reader {
            return;
        }
        let end = RunEnd {
            shared: self.shared.clone(),
            runner: self.runner.clone(),
            run_id: self.claims.run_id.clone(),
            ended: self.ended,
            retained: self.claims.resumable,
            caller_disconnected: true,
        };
        tokio::spawn(end.settle());
    }
}
