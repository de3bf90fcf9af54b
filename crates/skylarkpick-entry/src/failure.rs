//! The error that ends a request without a complete response.

use serde::Serialize;
use std::time::Duration;

/// Whether a request was executed at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing was sent to a target, or the target reported that it did not start.
    NotRun,
    /// It was executed, at least in part.
    Ran,
    /// It may have been executed.
    Unknown,
}

impl Ran {
    /// Returns the value once the request is sent to a target: `NotRun` becomes `Unknown`.
    pub(crate) fn or_unknown(self) -> Ran {
        if self == Ran::NotRun { Ran::Unknown } else { self }
    }
}

/// Machine-readable cause of a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The request is malformed or invalid.
    BadRequest,
    /// The bearer token is missing or belongs to no account.
    Unauthorized,
    /// The account lacks the permission.
    Forbidden,
    /// No such model, service, path or stream.
    NotFound,
    /// The resume token has expired.
    Expired,
    /// The path exists, but not for this method.
    MethodNotAllowed,
    /// The request took too long to arrive.
    RequestTimeout,
    /// The patch is based on an outdated configuration version, or the idempotency key belongs to
    /// another request.
    Conflict,
    /// A part of the request is longer than allowed.
    TooLarge,
    /// The account is over its limits.
    LimitReached,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// No target can accept the request now.
    NoTarget,
    /// A target failed the request, or its response was lost.
    TargetFailed,
    /// The request needs the platform, which is unavailable.
    PlatformAway,
    /// The process is shutting down or has no configuration yet.
    NotReady,
}

/// The error that ends a request without a complete response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// Machine-readable cause.
    pub code: FailureCode,
    /// Human-readable description.
    pub message: String,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Whether a retry of the same request may succeed and cannot execute it twice.
    pub retry: bool,
    /// Time to wait before a retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure of a request that was not executed.
    ///
    /// ```
    /// use skylarkpick_entry::{Failure, FailureCode, Ran};
    /// let failure = Failure::not_run(FailureCode::NotFound, "no such model");
    /// assert_eq!((failure.ran, failure.retry), (Ran::NotRun, false));
    /// ```
    pub fn not_run(code: FailureCode, message: impl Into<String>) -> Failure {
        Failure {
            code,
            message: message.into(),
            ran: Ran::NotRun,
            retry: false,
            retry_after_ms: None,
        }
    }

    /// Creates a failure of a request that may have been executed.
    pub fn unknown(code: FailureCode, message: impl Into<String>) -> Failure {
        Failure { ran: Ran::Unknown, ..Failure::not_run(code, message) }
    }

    /// Marks the request as safe to retry after `wait`.
    pub fn retry_after(self, wait: Duration) -> Failure {
        let retry_after_ms = u64::try_from(wait.as_millis()).ok();
        Failure { retry: true, retry_after_ms, ..self }
    }
}
