//! Takes a stream up again with its token, at whatever entry process the caller comes to.
//!
//! A token is given out only once a run has started, so that no failure here says "not run".

use super::{
    follower::{FrameSink, RunFollower, StreamEnd},
    progress::{AnswerProgress, FrameStep},
    resume_token::{ResumeTokenError, open_token, unix_milliseconds},
    retention_actor::AttachReader,
    run_guard::RunEnd,
    taken_up::tell_taken_up,
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

/// When to come back after the runner could not be reached.
const RUNNER_RETRY: Duration = Duration::from_secs(1);

/// Checks a token and takes its stream up in the background.
pub(crate) fn resume(
    shared: &Arc<Shared>,
    account: &str,
    token: &str,
    offset: u64,
) -> Result<CompletionStream, Failure> {
    let now = shared.parts.clock.wall();
    let claims = open_token(&shared.resume_key, token, account, now).map_err(refusal)?;
    if offset > claims.answer_tokens_limit {
        let message = format!("the answer has no position {offset}");
        return Err(Failure::unknown(FailureCode::BadRequest, message));
    }
    let address = runner_address(shared, &claims)?;
    let left = Duration::from_millis(claims.expires_at_ms.saturating_sub(unix_milliseconds(now)));
    let (sender, events) = mpsc::channel(EVENT_BUFFER_LIMIT);
    let under_way = Arc::new(InFlightGuard::start(shared.clone()));
    let resumed = Resumed {
        shared: shared.clone(),
        runner: shared.parts.connector.runner(&address),
        claims: claims.clone(),
        token: token.to_string(),
        offset,
        deadline: Instant::now() + left,
        events: sender,
        _under_way: under_way.clone(),
    };
    tokio::spawn(resumed.run());
    if claims.resumable {
        tokio::spawn(tell_taken_up(shared.parts.peers.clone(), claims.clone()));
    }
    Ok(CompletionStream::open(events, under_way).with_claims(claims))
}

/// A refused token says nothing about whether the request ran.
fn refusal(error: ResumeTokenError) -> Failure {
    let code = match error {
        ResumeTokenError::NotSealed | ResumeTokenError::OtherAccount => FailureCode::Forbidden,
        ResumeTokenError::Expired => FailureCode::Expired,
    };
    Failure::unknown(code, error.to_string())
}

fn runner_address(shared: &Shared, claims: &ResumeClaims) -> Result<String, Failure> {
    let in_force = shared.active_configuration.borrow();
    let mut centres = in_force.configuration.data_centres.values();
    let target = centres.find_map(|centre| centre.runners.get(&claims.runner));
    target.map(|target| target.address.clone()).ok_or_else(|| {
        let message = format!("runner {} is not configured any more", claims.runner);
        Failure::unknown(FailureCode::NotFound, message)
    })
}

/// A stream that was taken up again.
struct Resumed {
    shared: Arc<Shared>,
    runner: Arc<dyn Runner>,
    claims: ResumeClaims,
    token: String,
    offset: u64,
    deadline: Instant,
    events: mpsc::Sender<CompletionEvent>,
    _under_way: Arc<InFlightGuard>,
}

impl Resumed {
    async fn run(self) {
        let (events, deadline) = (self.events.clone(), self.deadline);
        let mut guard = ResumeGuard {
            shared: self.shared.clone(),
            runner: self.runner.clone(),
            claims: self.claims.clone(),
            taken_up: false,
            ended: false,
        };
        let followed = tokio::select! {
            () = events.closed() => return,
            followed = tokio::time::timeout_at(deadline, self.follow(&mut guard)) => followed,
        };
        let failure = followed.unwrap_or_else(|_| {
            Some(Failure::unknown(
                FailureCode::DeadlineExceeded,
                "the time to resume is over".to_string(),
            ))
        });
        if let Some(failure) = failure {
            // A caller that went away needs no answer.
            let _ = events.send(CompletionEvent::Failed(failure)).await;
        }
    }

    async fn follow(self, guard: &mut ResumeGuard) -> Option<Failure> {
        let claims = &self.claims;
        let progress = AnswerProgress {
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
            // A stopped actor means that the process ends.
            let _ = self.shared.retention.tell(AttachReader(claims.run_id.clone())).await;
        }
        guard.taken_up = claims.resumable;
        let frames = match follower.take_up().await {
            Ok(frames) => frames,
            Err(error) => {
                guard.ended = matches!(error, StartError::NoSuchRun);
                return Some(not_taken_up(&error));
            }
        };
        guard.taken_up = true;
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
            StreamEnd::RunFailed(why) => {
                let failure =
                    Failure { ran: Ran::Ran, ..Failure::unknown(FailureCode::TargetFailed, why) };
                Some(failure.retry_after(RUNNER_RETRY))
            }
            StreamEnd::Broken(why) => {
                Some(Failure::unknown(FailureCode::TargetFailed, why).retry_after(RUNNER_RETRY))
            }
            StreamEnd::WrongWeights(version) => {
                let message = format!("the runner goes on with weight version {version}");
                Some(Failure::unknown(FailureCode::TargetFailed, message))
            }
        }
    }
}

fn not_taken_up(error: &StartError) -> Failure {
    match error {
        StartError::NoSuchRun => {
            let message = "the runner no longer has the run, or not from this position".to_string();
            Failure::unknown(FailureCode::NotFound, message)
        }
        error => {
            Failure::unknown(FailureCode::TargetFailed, error.to_string()).retry_after(RUNNER_RETRY)
        }
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

/// Cancels the run when its new reader leaves, or keeps it if the request asked for that.
struct ResumeGuard {
    shared: Arc<Shared>,
    runner: Arc<dyn Runner>,
    claims: ResumeClaims,
    /// Whether this process counts as a reader of the run.
    taken_up: bool,
    ended: bool,
}

impl Drop for ResumeGuard {
    fn drop(&mut self) {
        if !self.taken_up {
            return;
        }
        let end = RunEnd {
            shared: self.shared.clone(),
            runner: self.runner.clone(),
            run_id: self.claims.run_id.clone(),
            ended: self.ended,
            retained: self.claims.resumable,
            caller_gone: true,
        };
        tokio::spawn(end.settle());
    }
}
