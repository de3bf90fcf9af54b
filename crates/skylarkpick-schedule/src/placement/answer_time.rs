//! Earliest time at which the response to a request may start.

use super::{selection::Placement, types::Assignment};
use std::time::Duration;

impl Placement {
    /// Returns the time from now on before which the response to a prompt hardly starts at its target,
    /// even if the target were idle: what a quarter of the responses took there. `None` until responses
    /// of the service have been measured.
    ///
    /// Load condition: more prompts than the engines have capacity for, some of which have waited for so
    /// long that a start now would be too late for their latency objective.
    pub fn least_answer_time(&self, service: &str, assignment: &Assignment) -> Option<Duration> {
        let timing = self.timings.get(service)?;
        let least_ms = timing.response_ms() + timing.prefill_ms(assignment.prefill_tokens);
        Some(Duration::from_secs_f64(least_ms.max(0.0) / 1_000.0))
    }
}
