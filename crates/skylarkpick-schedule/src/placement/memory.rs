//! Estimates how much of an engine's memory is in use.

use std::{collections::VecDeque, time::Duration};

/// Age up to which a sample is used.
const SAMPLE_AGE_LIMIT: Duration = Duration::from_millis(1_500);
/// Age of a target's figures when it reports them, and the time that a request takes to reach it.
const REPORT_LAG: Duration = Duration::from_millis(150);

/// Memory use of an engine as it reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemorySample {
    /// Tokens of running requests, which are not evicted.
    pub used_tokens: u64,
    /// Requests that wait for memory or a slot.
    pub waiting: u32,
}

/// Estimated memory use of one engine: the last sample, and what this process sent and finished
/// since.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryView {
    sample: Option<(MemorySample, Duration)>,
    /// Tokens of this process's requests that began or ended, with the time; oldest first.
    changes: VecDeque<(Duration, f64)>,
}

impl MemoryView {
    /// Records that requests of this process take more or fewer tokens.
    pub(super) fn note_change(&mut self, tokens: f64, now: Duration) {
        while let Some((at, _)) = self.changes.front()
            && now > *at + SAMPLE_AGE_LIMIT + REPORT_LAG
        {
            self.changes.pop_front();
        }
        self.changes.push_back((now, tokens));
    }

    /// Applies a sample that the engine returned at `reported_at`.
    pub(super) fn observe(&mut self, sample: MemorySample, reported_at: Duration) {
        if self.sample.is_none_or(|(_, known)| known <= reported_at) {
            self.sample = Some((sample, reported_at));
        }
    }

    /// Returns whether the engine was ever sampled.
    pub(super) fn is_sampled(&self) -> bool {
        self.sample.is_some()
    }

    /// Returns the tokens in use, counting `mean_tokens` for each waiting request, or `None` without
    /// a recent sample.
    pub(super) fn used_tokens(&self, mean_tokens: f64, now: Duration) -> Option<f64> {
        let (sample, reported_at) = self.sample?;
        if now > reported_at + SAMPLE_AGE_LIMIT {
            return None;
        }
        let measured_at = reported_at.saturating_sub(REPORT_LAG);
        let since = self.changes.iter().filter(|(at, _)| *at > measured_at);
        let changed: f64 = since.map(|(_, tokens)| tokens).sum();
        let reported = sample.used_tokens as f64 + f64::from(sample.waiting) * mean_tokens;
        Some((reported + changed).max(0.0))
    }
}
