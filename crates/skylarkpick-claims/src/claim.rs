//! Claims and what comes of them.

use crate::ticket::Ticket;
use skylarkpick_interface::{AccountId, IdempotencyKey, RequestId};
use skylarkpick_protocol::stored;
use std::time::Duration;

/// Digest of a client account and its idempotency key.
pub type KeyDigest = [u8; 32];

/// Names one claim; no two claims share it.
pub type ClaimId = [u8; 16];

/// A request that wants to run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Client account of the caller.
    pub account: AccountId,
    /// The caller's own key.
    pub key: IdempotencyKey,
    /// Name of the request.
    pub request_id: RequestId,
    /// Digest of all that decides what the request does.
    pub request_digest: [u8; 32],
    /// Longest time from the claim to the end of the request.
    pub time_allowed: Duration,
}

/// What came of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request is this process's to send.
    Granted(Ticket),
    /// The request runs under an earlier claim; wait for it with
    /// [`ClaimLog::wait`](crate::ClaimLog::wait).
    Running(RequestId),
    /// The request ended under an earlier claim.
    Finished(StoredOutcome),
    /// An earlier claim may have run, and nobody knows what came of it.
    OutcomeUnknown(RequestId),
    /// The key belongs to another request.
    DifferentRequest(RequestId),
    /// The platform gave no answer in time. Nothing was sent, and nothing will be.
    PlatformUnavailable {
        /// What happened.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request ran, but its stored answer cannot be read now.
    ResponseUnavailable(String),
}

/// What came of waiting for a running request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// The request ended.
    Finished(StoredOutcome),
    /// The earlier claim was given up before anything was sent; the key is free again.
    NotRun,
    /// No outcome came in time.
    OutcomeUnknown,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// No byte of it left for a target, or the target said that it did not start.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// Outcome of a request, as a repeat gets it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredOutcome {
    /// Whether the request ran.
    pub ran: Ran,
    /// HTTP status of the answer.
    pub status: u16,
    /// Media type of the answer.
    pub content_type: String,
    /// Body of the answer; `None` where it was too long to be kept.
    pub body: Option<Vec<u8>>,
}

impl StoredOutcome {
    /// An outcome without an answer.
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

/// Reads whether a request ran; an unreadable value counts as unknown.
pub(crate) fn ran_of(outcome: &stored::Outcome) -> Ran {
    match outcome.ran() {
        stored::Ran::NotRun => Ran::NotRun,
        stored::Ran::Ran => Ran::Ran,
        stored::Ran::Unknown | stored::Ran::Unspecified => Ran::Unknown,
    }
}
