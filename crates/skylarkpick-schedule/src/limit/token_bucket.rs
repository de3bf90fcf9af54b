//! A token bucket whose time is passed in.

use std::time::Duration;

/// A token bucket that fills at a rate up to a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate_per_second: f64,
    burst: f64,
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Opens a full bucket.
    ///
    /// ```
    /// use skylarkpick_schedule::TokenBucket;
    /// use std::time::Duration;
    /// let mut bucket = TokenBucket::open(10.0, 20.0, Duration::ZERO);
    /// assert!(bucket.take(20.0, Duration::ZERO).is_ok());
    /// assert_eq!(bucket.take(5.0, Duration::ZERO), Err(Duration::from_millis(500)));
    /// ```
    pub fn open(rate_per_second: f64, burst: f64, now: Duration) -> TokenBucket {
        TokenBucket { rate_per_second, burst, level: burst, refilled_at: now }
    }

    /// Changes the rate and the burst from now on.
    pub fn set_rate(&mut self, rate_per_second: f64, burst: f64, now: Duration) {
        self.refill(now);
        self.rate_per_second = rate_per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes an amount from the bucket. An amount larger than the burst needs a full bucket and
    /// leaves a negative level.
    ///
    /// # Errors
    /// Returns the time to wait if the level is too low.
    pub fn take(&mut self, amount: f64, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        match self.wait(amount, now) {
            None => {
                self.level -= amount;
                Ok(())
            }
            Some(wait) => Err(wait),
        }
    }

    /// Returns the time until an amount can be taken, if it can't be now.
    ///
    /// ```
    /// use skylarkpick_schedule::TokenBucket;
    /// use std::time::Duration;
    /// let mut bucket = TokenBucket::open(2.0, 1.0, Duration::ZERO);
    /// assert_eq!(bucket.wait(1.0, Duration::ZERO), None);
    /// assert!(bucket.take(1.0, Duration::ZERO).is_ok());
    /// assert_eq!(bucket.wait(1.0, Duration::ZERO), Some(Duration::from_millis(500)));
    /// ```
    pub fn wait(&self, amount: f64, now: Duration) -> Option<Duration> {
        let needed = amount.min(self.burst);
        let level = self.level_at(now);
        if level + f64::EPSILON >= needed {
            return None;
        }
        let seconds = (needed - level) / self.rate_per_second.max(f64::MIN_POSITIVE);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Duration) {
        self.level = self.level_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn level_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.refilled_at);
        (self.level + self.rate_per_second * passed.as_secs_f64()).min(self.burst)
    }
}
