//! How a request ends that gets no whole answer.

use serde::Serialize;
use std::time::Duration;

/// Whether a request ran at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of it left for a target, or the target said that it did not start.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// What is known once the request has been sent again: at least that it may have run.
    pub(crate) fn or_unknown(self) -> Ran {
        if self == Ran::NotRun { Ran::Unknown } else { self }
    }
}

/// What went wrong, in a word that programs can compare.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The request itself is wrong.
    BadRequest,
    /// No token, or one that no account has.
    Unauthorized,
    /// The account may not do this.
    Forbidden,
    /// No such model, service, path or stream.
    NotFound,
    /// The time to do this is over.
    Expired,
    /// The path exists, but not for this method.
    MethodNotAllowed,
    /// The request took too long to arrive.
    RequestTimeout,
    /// The configuration has moved on, or the key was used for another request.
    Conflict,
    /// A part of the request is longer than allowed.
    TooLarge,
    /// The account is over its limits.
    LimitReached,
    /// The deadline cannot be met, or has passed.
    DeadlineExceeded,
    /// No target can take the request now.
    NoTarget,
    /// A target gave up, or its answer was lost.
    TargetFailed,
    /// The platform is away and the request needs it.
    PlatformAway,
    /// The process shuts down or has no configuration yet.
    NotReady,
}

/// How a request ends that gets no whole answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// What went wrong.
    pub code: FailureCode,
    /// What happened, for a person.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Whether the same request may succeed later without running twice.
    pub retry: bool,
    /// When to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// A refusal before anything was sent.
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

    /// A failure after which nobody knows whether the request ran.
    pub fn unknown(code: FailureCode, message: impl Into<String>) -> Failure {
        Failure { ran: Ran::Unknown, ..Failure::not_run(code, message) }
    }

    /// Says that the same request may succeed after `wait`.
    pub fn retry_after(self, wait: Duration) -> Failure {
        let retry_after_ms = u64::try_from(wait.as_millis()).ok();
        Failure { retry: true, retry_after_ms, ..self }
    }
}
