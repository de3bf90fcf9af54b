//! Claims and their outcomes.

use crate::ticket::Ticket;
use skylarkpick_interface::{AccountId, IdempotencyKey, RequestId};
use skylarkpick_protocol::stored;
use std::time::Duration;

/// Digest of a client account and its idempotency key.
pub type KeyDigest = [u8; 32];

/// Unique id of a claim.
pub type ClaimId = [u8; 16];

/// A request that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Client account that sends the request.
    pub account: AccountId,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
    /// Id of the request.
    pub request_id: RequestId,
    /// Digest of everything that determines what the request does; see
    /// [`digest_request`](crate::digest_request).
    pub request_digest: [u8; 32],
    /// Longest time from the claim to the end of the request.
    pub time_allowed: Duration,
}

/// Outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This process may send the request.
    Granted(Ticket),
    /// The request is in progress under an earlier claim; wait for it with
    /// [`ClaimLog::wait`](crate::ClaimLog::wait).
    Running(RequestId),
    /// The request ended under an earlier claim.
    Finished(StoredOutcome),
    /// The request may have run under an earlier claim, which has no known outcome.
    OutcomeUnknown(RequestId),
    /// The key was used for a request with another digest.
    DifferentRequest(RequestId),
    /// The platform did not confirm the claim in time. The request was not sent, and nothing will
    /// be sent under this claim.
    PlatformUnavailable {
        /// What failed.
        reason: String,
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The request ran, but its stored response cannot be read now.
    ResponseUnavailable(String),
}

/// Outcome of waiting for a request in progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// The request ended.
    Finished(StoredOutcome),
    /// The request did not run under the earlier claim; the key is free again.
    NotRun,
    /// No outcome was recorded in time, or it is unknown whether the request ran.
    OutcomeUnknown,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// Nothing was sent to a target, or the target reported that the request did not start.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// Outcome of a request, as it is returned to a repeat of the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredOutcome {
    /// Whether the request ran.
    pub ran: Ran,
    /// HTTP status of the response.
    pub status: u16,
    /// Media type of the response.
    pub content_type: String,
    /// Body of the response; `None` if it exceeded
    /// [`ClaimSettings::body_size_bytes`](crate::ClaimSettings::body_size_bytes).
    pub body: Option<Vec<u8>>,
}

impl StoredOutcome {
    /// Returns an outcome without a response.
    pub fn without_response(ran: Ran) -> StoredOutcome {
        StoredOutcome { ran, status: 0, content_type: String::new(), body: Some(Vec::new()) }
    }

    pub(crate) fn into_stored(self, body_size_bytes: usize) -> stored::Outcome {
        let ran = match self.ran {
            Ran::NotRun => stored::Ran::NotRun,
            Ran::Ran => stored::Ran::Ran,
            Ran::Unknown => stored::Ran::Unknown,
        };
        let body = self.body.filter(|body| body.len() <= body_size_bytes);
        stored::Outcome {
            ran: ran.into(),
            status: u32::from(self.status),
            content_type: self.content_type,
            body_dropped: body.is_none(),
            body: body.unwrap_or_default(),
        }
    }

    pub(crate) fn from_stored(outcome: &stored::Outcome) -> StoredOutcome {
        StoredOutcome {
            ran: ran_of(outcome),
            status: u16::try_from(outcome.status).unwrap_or_default(),
            content_type: outcome.content_type.clone(),
            body: (!outcome.body_dropped).then(|| outcome.body.clone()),
        }
    }
}

/// Returns whether a request ran; a value that this version doesn't know counts as unknown.
pub(crate) fn ran_of(outcome: &stored::Outcome) -> Ran {
    match outcome.ran() {
        stored::Ran::NotRun => Ran::NotRun,
        stored::Ran::Ran => Ran::Ran,
        stored::Ran::Unknown | stored::Ran::Unspecified => Ran::Unknown,
    }
}
