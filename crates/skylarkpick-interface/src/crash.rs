//! Ends of targets, with the parts of the prompts that they were about to answer.

use crate::ids::TargetId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number that stands for a part of a prompt in every process, whatever model or account uses it.
pub type PartNumber = u64;

/// Number that stands for a request and its repeats in every process.
pub type RequestNumber = u64;

/// Number of parts before a part of a prompt. Parts at a lower depth are shared by more prompts.
pub type PartDepth = u8;

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
}

/// What one process has to tell about ends of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Ends, each target once for a start.
    pub crashes: Vec<TargetCrash>,
    /// Wall-clock times in Unix milliseconds of the last whole response to a prompt with the part,
    /// which clears it of earlier ends.
    pub answered_at_ms: BTreeMap<PartNumber, u64>,
}

impl CrashReport {
    /// Returns whether there is nothing to tell.
    ///
    /// ```
    /// assert!(skylarkpick_interface::CrashReport::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered_at_ms.is_empty()
    }
}
