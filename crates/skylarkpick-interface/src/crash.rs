//! Ends of targets, with the requests that they were about to answer.

use crate::ids::TargetId;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
};

/// Number that stands for a part of a prompt in every process, whatever model or account uses it.
pub type PartNumber = u64;

/// Number that stands for a request and its repeats in every process.
pub type RequestNumber = u64;

/// Number of parts before a part of a prompt. Parts at a lower depth are shared by more prompts.
pub type PartDepth = u8;

/// What may be the reason why targets end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashCause {
    /// A part of prompts.
    Part(PartNumber),
    /// A request with all its repeats.
    Request(RequestNumber),
}

impl CrashCause {
    /// Returns the number of the part or request.
    ///
    /// ```
    /// assert_eq!(skylarkpick_interface::CrashCause::Part(7).number(), 7);
    /// ```
    pub fn number(self) -> u64 {
        match self {
            CrashCause::Part(number) | CrashCause::Request(number) => number,
        }
    }
}

impl Display for CrashCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let kind = match self {
            CrashCause::Part(_) => "part",
            CrashCause::Request(_) => "request",
        };
        write!(formatter, "{kind} {:016x}", self.number())
    }
}

/// End of a target that nobody had announced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetCrash {
    /// Name of the target.
    pub target: TargetId,
    /// Start of the target's incarnation.
    pub started_at_ms: u64,
    /// Wall-clock time in Unix milliseconds at which its responses broke off.
    pub ended_at_ms: u64,
    /// Parts of the requests that it may have begun to answer, without those of one request only, each
    /// with its place in the prompt.
    pub parts: BTreeMap<PartNumber, PartDepth>,
    /// The requests, each with a wall-clock time in Unix milliseconds before which it was not sent.
    #[serde(default)]
    pub requests: BTreeMap<RequestNumber, u64>,
}

impl TargetCrash {
    /// Returns what may be the reason for the end.
    ///
    /// ```
    /// use skylarkpick_interface::{CrashCause, TargetCrash};
    /// let crash = TargetCrash {
    ///     target: "i-1".to_string(),
    ///     started_at_ms: 1,
    ///     ended_at_ms: 5,
    ///     parts: [(7, 0)].into(),
    ///     requests: [(9, 4)].into(),
    /// };
    /// assert!(crash.causes().eq([CrashCause::Part(7), CrashCause::Request(9)]));
    /// ```
    pub fn causes(&self) -> impl Iterator<Item = CrashCause> + '_ {
        let requests = self.requests.keys().copied().map(CrashCause::Request);
        self.parts.keys().copied().map(CrashCause::Part).chain(requests)
    }

    /// Returns whether this may be the reason for the end.
    ///
    /// ```
    /// use skylarkpick_interface::{CrashCause, TargetCrash};
    /// let crash = TargetCrash {
    ///     target: "i-1".to_string(),
    ///     started_at_ms: 1,
    ///     ended_at_ms: 5,
    ///     parts: [(7, 0)].into(),
    ///     requests: [(9, 4)].into(),
    /// };
    /// assert!(crash.has_cause(CrashCause::Part(7)) && !crash.has_cause(CrashCause::Request(7)));
    /// ```
    pub fn has_cause(&self, cause: CrashCause) -> bool {
        match cause {
            CrashCause::Part(part) => self.parts.contains_key(&part),
            CrashCause::Request(request) => self.requests.contains_key(&request),
        }
    }

    /// Removes what is not the reason. Returns whether it was there.
    ///
    /// ```
    /// use skylarkpick_interface::{CrashCause, TargetCrash};
    /// let mut crash = TargetCrash {
    ///     target: "i-1".to_string(),
    ///     started_at_ms: 1,
    ///     ended_at_ms: 5,
    ///     parts: [(7, 0)].into(),
    ///     requests: [].into(),
    /// };
    /// assert!(crash.remove_cause(CrashCause::Part(7)));
    /// assert_eq!(crash.causes().count(), 0);
    /// ```
    pub fn remove_cause(&mut self, cause: CrashCause) -> bool {
        match cause {
            CrashCause::Part(part) => self.parts.remove(&part).is_some(),
            CrashCause::Request(request) => self.requests.remove(&request).is_some(),
        }
    }
}

/// What one process has to tell about ends of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Ends, each target once for a start.
    pub crashes: Vec<TargetCrash>,
    /// Wall-clock times in Unix milliseconds of the last whole response to a prompt with the part,
    /// which clears it of earlier ends.
    pub answered_at_ms: BTreeMap<PartNumber, u64>,
    /// The same for requests.
    #[serde(default)]
    pub answered_requests_at_ms: BTreeMap<RequestNumber, u64>,
}

impl CrashReport {
    /// Returns whether there is nothing to tell.
    ///
    /// ```
    /// assert!(skylarkpick_interface::CrashReport::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && !self.has_answers()
    }

    /// Returns whether it tells of whole responses.
    ///
    /// ```
    /// assert!(!skylarkpick_interface::CrashReport::default().has_answers());
    /// ```
    pub fn has_answers(&self) -> bool {
        !self.answered_at_ms.is_empty() || !self.answered_requests_at_ms.is_empty()
    }
}
