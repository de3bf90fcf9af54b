//! Estimate of the work that waits at a target between its load reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time for which additions are kept, which is the age up to which a report can be corrected.
const HISTORY: Duration = Duration::from_secs(12);
/// Largest number of additions kept.
const HISTORY_LIMIT: usize = 512;

/// Estimate of the work that waits at a target, between reports that arrive with a delay.
///
/// The backlog shrinks at the rate of the target. Work that was sent after a report was taken is
/// added to the reported amount.
///
/// ```
/// use skylarkpick_schedule::Backlog;
/// use std::time::{Duration, Instant};
/// let start = Instant::now();
/// let mut backlog = Backlog::default();
/// backlog.add(100.0, 10.0, start);
/// assert_eq!(backlog.estimate(10.0, start + Duration::from_secs(4)), 60.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    amount: f64,
    as_of: Option<Instant>,
    additions: VecDeque<(Instant, f64)>,
}

impl Backlog {
    /// Returns the estimated backlog if the target completes `rate` per second.
    pub fn estimate(&self, rate: f64, now: Instant) -> f64 {
        let passed =
            self.as_of.map_or(Duration::ZERO, |as_of| now.saturating_duration_since(as_of));
        (self.amount - rate * passed.as_secs_f64()).max(0.0)
    }

    /// Adds work that was sent to the target. A negative amount removes work.
    pub fn add(&mut self, amount: f64, rate: f64, now: Instant) {
        self.amount = (self.estimate(rate, now) + amount).max(0.0);
        self.as_of = Some(now);
        self.additions.push_back((now, amount));
        self.drop_old_additions(now);
    }

    /// Applies a report of `amount` as of `taken_at`, and adds the work that was sent since.
    pub fn report(&mut self, amount: f64, rate: f64, taken_at: Instant, now: Instant) {
        self.amount = amount;
        self.as_of = Some(taken_at);
        for index in 0..self.additions.len() {
            let (sent_at, added) = self.additions[index];
            if sent_at > taken_at {
                self.amount = (self.estimate(rate, sent_at) + added).max(0.0);
                self.as_of = Some(sent_at);
            }
        }
        self.amount = self.estimate(rate, now);
        self.as_of = Some(now);
        self.drop_old_additions(now);
    }

    /// Applies a report without adding the work that was sent since.
    pub fn replace(&mut self, amount: f64, now: Instant) {
        self.amount = amount;
        self.as_of = Some(now);
    }

    /// Records that work sent at `sent_at`, and therefore all work sent before it, is done.
    pub fn finish_until(&mut self, sent_at: Instant, rate: f64, now: Instant) {
        let later = self.additions.iter().filter(|(added_at, _)| *added_at > sent_at);
        let remaining: f64 = later.map(|(_, amount)| amount).sum();
        self.amount = self.estimate(rate, now).min(remaining.max(0.0));
        self.as_of = Some(now);
    }

    fn drop_old_additions(&mut self, now: Instant) {
        while let Some((at, _)) = self.additions.front()
            && (now.saturating_duration_since(*at) > HISTORY
                || self.additions.len() > HISTORY_LIMIT)
        {
            self.additions.pop_front();
        }
    }
}
