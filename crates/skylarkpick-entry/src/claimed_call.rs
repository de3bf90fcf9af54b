//! Calls with an idempotency key, which run at most once: the key is claimed in the claim log
//! before the call is sent.

use crate::{
    completion::InFlightGuard,
    entry::Shared,
    entry_parts::EntryParts,
    failure::{Failure, FailureCode, Ran},
    request::{CallRequest, CallResponse},
    service_call,
};
use skylarkpick_claims::{
    ClaimLog, ClaimOutcome, ClaimRequest, ClaimSettings, Ran as ClaimRan, StoredOutcome, Ticket,
    WaitOutcome, digest_request,
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Maximum size of an idempotency key.
const KEY_SIZE_LIMIT_BYTES: usize = 256;
/// Maximum time for which storing the outcome of a call delays the shutdown of the process.
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

/// Makes a call under its idempotency key, or returns the outcome of the earlier call that has the
/// key.
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
                    WaitOutcome::OutcomeUnknown => return Err(outcome_unknown(&running)),
                    // The earlier call did not run, so its key can be claimed again.
                    WaitOutcome::NotRun => {}
                }
            }
            ClaimOutcome::Finished(outcome) => return replay(outcome),
            ClaimOutcome::OutcomeUnknown(earlier) => return Err(outcome_unknown(&earlier)),
            ClaimOutcome::DifferentRequest(earlier) => return Err(key_conflict(&earlier)),
            ClaimOutcome::PlatformUnavailable { reason, retry_after } => {
                let message = format!(
                    "the call was not sent because its idempotency key could not be claimed \
                     ({reason}); the outcome of an earlier call with the key is not affected: retry \
                     with the same key"
                );
                let failure = Failure::not_run(FailureCode::PlatformAway, message);
                return Err(failure.retry_after(retry_after));
            }
            ClaimOutcome::ResponseUnavailable(reason) => return Err(response_unavailable(&reason)),
        }
    }
}

fn check_key(key: &str) -> Result<(), Failure> {
    if !key.is_empty() && key.len() <= KEY_SIZE_LIMIT_BYTES {
        return Ok(());
    }
    let message = format!("an idempotency key must have 1 to {KEY_SIZE_LIMIT_BYTES} bytes");
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

/// Sends the call from a task of its own, so that its outcome is stored even if the caller
/// disconnects.
async fn send(
    shared: &Arc<Shared>,
    request: CallRequest,
    ticket: Ticket,
    deadline: Instant,
) -> Result<CallResponse, Failure> {
    let (sender, receiver) = oneshot::channel();
    let shared = shared.clone();
    tokio::spawn(async move {
        let _in_flight = InFlightGuard::start(shared.clone());
        let Some(sent) = ticket.begin() else {
            let message = "the process was paused after it claimed the call; nothing was sent";
            let failure = Failure::not_run(FailureCode::NotReady, message);
            // Fails when the caller has disconnected.
            let _ = sender.send(Err(failure.retry_after(Duration::from_secs(1))));
            return;
        };
        let result = service_call::call_before_deadline(&shared, &request, false, deadline).await;
        let stored = sent.finish(outcome_of(&result));
        // Fails when the caller has disconnected.
        let _ = sender.send(result);
        // After this time the outcome may stay unknown to other processes.
        let _ = tokio::time::timeout(OUTCOME_TIMEOUT, stored).await;
    });
    receiver.await.unwrap_or_else(|_| {
        Err(Failure::unknown(FailureCode::TargetFailed, "the call was aborted in this process"))
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
    let Some(body) = outcome.body else {
        return Err(response_unavailable("it was too long to be stored"));
    };
    let (status, content_type) = (outcome.status, outcome.content_type);
    Ok(CallResponse { status, content_type, body, replayed: true })
}

fn outcome_unknown(earlier: &str) -> Failure {
    let message = format!("request {earlier} has this idempotency key and may have run");
    Failure::unknown(FailureCode::TargetFailed, message)
}

fn key_conflict(earlier: &str) -> Failure {
    let message =
        format!("the idempotency key belongs to a different request ({earlier}); use a new key");
    Failure::not_run(FailureCode::Conflict, message)
}

fn response_unavailable(reason: &str) -> Failure {
    let message = format!("the call ran, but its stored response is not available: {reason}");
    let failure = Failure::unknown(FailureCode::PlatformAway, message);
    Failure { ran: Ran::Ran, ..failure }
}
