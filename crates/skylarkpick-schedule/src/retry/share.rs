//! Share of one process in the retry budget of the fleet.
//!
//! The budget allows, within any window and over all processes, a share of the requests and a fixed
//! number of additional retries. Nothing is sent between processes to keep it: each holds at most its
//! part of the additional retries, starts with none, and is given more by its requests and by time.

use std::{collections::VecDeque, time::Duration};

/// Part of the additional retries that is shared out. The rest covers sends that arrive late, so that
/// those of more than a window arrive within one.
const SHARED_PART: f64 = 0.8;
/// Part of a share that may be held; the rest is given out over each window.
const HELD_PART: f64 = 0.75;
/// Tolerance for the rounding error of adding up parts of a retry.
const ROUNDING: f64 = 1e-6;

/// Retry budget of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Window over which retries are counted.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries in a window.
    pub extra: u32,
}

impl RetryLimits {
    /// Returns the additional retries of one of several processes.
    ///
    /// ```
    /// use skylarkpick_schedule::RetryLimits;
    /// use std::time::Duration;
    /// let limits = RetryLimits { window: Duration::from_secs(10), ratio: 0.2, extra: 60 };
    /// assert_eq!(limits.extra_share(8), 6.0);
    /// ```
    pub fn extra_share(&self, processes: u32) -> f64 {
        f64::from(self.extra) * SHARED_PART / f64::from(processes.max(1))
    }
}

/// Retries that a process may make at a service.
///
/// Two limits hold together. Its retries in any window are at most its requests' share and its part of
/// the additional retries. And what it holds at any time is little, so that processes whose clients
/// move on, and starts that end, leave little behind that adds to the retries of others.
#[derive(Clone, Debug)]
pub struct RetryShare {
    limits: RetryLimits,
    available: f64,
    filled_at: Duration,
    /// Times of the first attempts in the window.
    first_attempts: VecDeque<Duration>,
    /// Times of the retries in the window.
    retries: VecDeque<Duration>,
}

impl RetryShare {
    /// Opens a share that has had no retries up to `filled_from`.
    ///
    /// ```
    /// use skylarkpick_schedule::{RetryLimits, RetryShare};
    /// use std::time::Duration;
    /// let limits = RetryLimits { window: Duration::from_secs(10), ratio: 0.2, extra: 60 };
    /// let mut share = RetryShare::open(limits, Duration::ZERO);
    /// assert!(!share.take(10.0, Duration::ZERO), "a start brings none");
    /// assert!(share.take(10.0, Duration::from_secs(4)), "time does");
    /// (0..5).for_each(|_| share.note_first_attempt(10.0, Duration::from_secs(4)));
    /// assert!(share.take(10.0, Duration::from_secs(4)), "requests do");
    /// assert!(!share.take(10.0, Duration::from_secs(4)));
    /// ```
    pub fn open(limits: RetryLimits, filled_from: Duration) -> RetryShare {
        RetryShare {
            limits,
            available: 0.0,
            filled_at: filled_from,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a first attempt of a process with so many additional retries a window.
    pub fn note_first_attempt(&mut self, extra_share: f64, now: Duration) {
        self.first_attempts.push_back(now);
        self.fill(extra_share, now);
        self.available = (self.available + self.limits.ratio).min(self.held_limit(extra_share));
    }

    /// Takes a retry of a process with so many additional retries a window. Returns whether it may be
    /// made.
    pub fn take(&mut self, extra_share: f64, now: Duration) -> bool {
        self.fill(extra_share, now);
        let allowed = self.brought() + extra_share;
        let is_within_window = self.retries.len() as f64 + 1.0 <= allowed + ROUNDING;
        if !is_within_window || self.available + ROUNDING < 1.0 {
            return false;
        }
        self.available -= 1.0;
        self.retries.push_back(now);
        true
    }

    /// Returns the retries that may be made now, with a fraction of the next one.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Returns the number of first attempts in the window.
    pub fn first_attempts(&self) -> usize {
        self.first_attempts.len()
    }

    fn fill(&mut self, extra_share: f64, now: Duration) {
        let since = now.saturating_sub(self.limits.window);
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|time| *time < since) {
                times.pop_front();
            }
        }
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        let windows = passed / self.limits.window.as_secs_f64().max(f64::MIN_POSITIVE);
        let given = extra_share * (1.0 - HELD_PART) * windows;
        self.available = (self.available + given).min(self.held_limit(extra_share));
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns how many retries may be held: a part of the additional ones, but at least one and what
    /// the next request brings, as far as the requests of a window bring them.
    fn held_limit(&self, extra_share: f64) -> f64 {
        let held = extra_share * HELD_PART;
        let missing = (1.0 + self.limits.ratio - held).max(0.0);
        held + missing.min(self.brought())
    }

    /// Returns the retries that the requests in the window bring.
    fn brought(&self) -> f64 {
        self.limits.ratio * self.first_attempts.len() as f64
    }
}
