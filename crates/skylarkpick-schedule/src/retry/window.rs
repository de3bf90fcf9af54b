//! A retry budget over a sliding window.

use std::{collections::VecDeque, time::Duration};

/// Limits retries to a share of the first attempts in a sliding window, plus a fixed number. Each
/// process has its own budget; together they add up to the budget of the fleet.
#[derive(Clone, Debug)]
pub struct WindowRetryBudget {
    window: Duration,
    percent: u32,
    first_attempts: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl WindowRetryBudget {
    /// Opens a budget of `percent` retries per 100 first attempts within `window`.
    ///
    /// ```
    /// use skylarkpick_schedule::WindowRetryBudget;
    /// use std::time::Duration;
    /// let mut budget = WindowRetryBudget::open(Duration::from_secs(10), 20);
    /// (0..5).for_each(|_| budget.note_first_attempt(Duration::ZERO));
    /// assert!(budget.take(0, Duration::from_secs(1)));
    /// assert!(!budget.take(0, Duration::from_secs(2)));
    /// assert!(!budget.take(0, Duration::from_secs(11)), "the first attempts are too old");
    /// ```
    pub fn open(window: Duration, percent: u32) -> WindowRetryBudget {
        let (first_attempts, retries) = (VecDeque::new(), VecDeque::new());
        WindowRetryBudget { window, percent, first_attempts, retries }
    }

    /// Counts a first attempt.
    pub fn note_first_attempt(&mut self, now: Duration) {
        self.drop_expired(now);
        self.first_attempts.push_back(now);
    }

    /// Takes one retry from the budget, which allows `extra` more retries than the share of first
    /// attempts. Returns whether the retry may be made.
    pub fn take(&mut self, extra: u32, now: Duration) -> bool {
        self.drop_expired(now);
        let allowed = self.first_attempts.len() * self.percent as usize / 100 + extra as usize;
        if self.retries.len() >= allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the number of first attempts and of retries in the window.
    pub fn counts(&self) -> (usize, usize) {
        (self.first_attempts.len(), self.retries.len())
    }

    fn drop_expired(&mut self, now: Duration) {
        let since = now.saturating_sub(self.window);
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|time| *time < since) {
                times.pop_front();
            }
        }
    }
}
