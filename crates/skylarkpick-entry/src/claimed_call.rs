//! Calls that run at most once: claimed in the log before they are sent.

use crate::{
    completion::UnderWay,
    entry::Shared,
    failure::{Failure, FailureCode, Ran},
    parts::EntryParts,
    request::{CallRequest, CallResponse},
    service_call,
};
use skylarkpick_claims::{
    ClaimLog, ClaimOutcome, ClaimRequest, ClaimSettings, Ran as ClaimRan, StoredOutcome, Ticket,
    WaitOutcome, digest_request,
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Longest idempotency key.
const KEY_SIZE_LIMIT_BYTES: usize = 256;
/// Time for which an answered call keeps the process up to store its outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens the claim log of an entry process.
pub(crate) fn open_claims(parts: &EntryParts) -> ClaimLog {
    let limits = &parts.settings.limits;
    let settings = ClaimSettings {
        retention: Duration::from_millis(limits.claim_retention_ms),
        call_timeout: Duration::from_millis(limits.platform_timeout_ms),
        ..ClaimSettings::new(&parts.settings.entry_id)
    };
    ClaimLog::open(parts.platform.clone(), parts.clock.clone(), settings, parts.seed)
}

/// Makes a call under its idempotency key, or tells what became of the call that has the key.
pub(crate) async fn call(
    shared: &Arc<Shared>,
    request: CallRequest,
    key: String,
    time_allowed: Duration,
) -> Result<CallResponse, Failure> {
    check_key(&key)?;
    let deadline = Instant::now() + time_allowed.min(shared.claims.max_request_duration());
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let claim = shared.claims.claim(claim_request(&request, &key, remaining));
        let Ok(outcome) = tokio::time::timeout(remaining, claim).await else {
            let message = "the deadline passed before the call was claimed";
            return Err(Failure::not_run(FailureCode::DeadlineExceeded, message));
        };
        match outcome {
            ClaimOutcome::Granted(ticket) => return send(shared, request, ticket, deadline).await,
            ClaimOutcome::Running(running) => {
                let remaining = deadline.saturating_duration_since(Instant::now());
                match shared.claims.wait(&request.account, &key, remaining).await {
                    WaitOutcome::Finished(outcome) => return replay(outcome),
                    WaitOutcome::OutcomeUnknown => return Err(unknown(&running)),
                    // The key is free again.
                    WaitOutcome::NotRun => {}
                }
            }
            ClaimOutcome::Finished(outcome) => return replay(outcome),
            ClaimOutcome::OutcomeUnknown(earlier) => return Err(unknown(&earlier)),
            ClaimOutcome::DifferentRequest(earlier) => return Err(different(&earlier)),
            ClaimOutcome::PlatformUnavailable { reason, retry_after } => {
                let message = format!(
                    "this attempt was not sent, because its key could not be claimed ({reason}); \
                     an earlier attempt under the key keeps its own outcome: repeat with the same \
                     key"
                );
                let failure = Failure::not_run(FailureCode::PlatformAway, message);
                return Err(failure.retry_after(retry_after));
            }
            ClaimOutcome::ResponseUnavailable(why) => return Err(unreadable(&why)),
        }
    }
}

fn check_key(key: &str) -> Result<(), Failure> {
    if !key.is_empty() && key.len() <= KEY_SIZE_LIMIT_BYTES {
        return Ok(());
    }
    let message = format!("an idempotency key has 1 to {KEY_SIZE_LIMIT_BYTES} bytes");
    Err(Failure::not_run(FailureCode::BadRequest, message))
}

fn claim_request(request: &CallRequest, key: &str, time_allowed: Duration) -> ClaimRequest {
    ClaimRequest {
        account: request.account.clone(),
        key: key.to_string(),
        request_id: request.request_id.clone(),
        request_digest: digest_request(&[
            request.service.as_bytes(),
            request.method.as_bytes(),
            request.path.as_bytes(),
            &request.body,
        ]),
        time_allowed,
    }
}

/// Sends the call in a task of its own, so that its outcome is stored even if the caller goes.
async fn send(
    shared: &Arc<Shared>,
    request: CallRequest,
    ticket: Ticket,
    deadline: Instant,
) -> Result<CallResponse, Failure> {
    let (sender, receiver) = oneshot::channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let _under_way = UnderWay::begin(shared.clone());
        let Some(sent) = ticket.begin() else {
            let message = "the process was paused after it claimed the call; nothing was sent";
            let failure = Failure::not_run(FailureCode::NotReady, message);
            // The caller may have gone.
            let _ = sender.send(Err(failure.retry_after(Duration::from_secs(1))));
            return;
        };
        let result = service_call::try_in_time(&shared, &request, false, deadline).await;
        let stored = sent.finish(outcome_of(&result));
        // The caller may have gone.
        let _ = sender.send(result);
        // Past this time the outcome may stay unknown to others.
        let _ = tokio::time::timeout(OUTCOME_TIMEOUT, stored).await;
    });
    receiver.await.unwrap_or_else(|_| {
        Err(Failure::unknown(FailureCode::TargetFailed, "the call broke off in this process"))
    })
}

fn outcome_of(result: &Result<CallResponse, Failure>) -> StoredOutcome {
    match result {
        Ok(reply) => StoredOutcome {
            ran: ClaimRan::Ran,
            status: reply.status,
            content_type: reply.content_type.clone(),
            body: Some(reply.body.clone()),
        },
        Err(Failure { ran: Ran::NotRun, .. }) => StoredOutcome::without_response(ClaimRan::NotRun),
        Err(_) => StoredOutcome::without_response(ClaimRan::Unknown),
    }
}

fn replay(outcome: StoredOutcome) -> Result<CallResponse, Failure> {
    let Some(body) = outcome.body else { return Err(unreadable("it was too long to be kept")) };
    let (status, content_type) = (outcome.status, outcome.content_type);
    Ok(CallResponse { status, content_type, body, replayed: true })
}

fn unknown(earlier: &str) -> Failure {
    let message = format!("request {earlier} has this idempotency key and may have run");
    Failure::unknown(FailureCode::TargetFailed, message)
}

fn different(earlier: &str) -> Failure {
    let message = format!(
        "the idempotency key belongs to request {earlier}, which is another one; use a new key"
    );
    Failure::not_run(FailureCode::Conflict, message)
}

fn unreadable(why: &str) -> Failure {
    let message = format!("the call ran, but its stored answer cannot be given: {why}");
    let failure = Failure::unknown(FailureCode::PlatformAway, message);
    Failure { ran: Ran::Ran, ..failure }
}
