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
        let needed = amount.min(self.burst);
        if self.level + f64::EPSILON >= needed {
            self.level -= amount;
            return Ok(());
        }
        let seconds = (needed - self.level) / self.rate_per_second.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + self.rate_per_second * passed.as_secs_f64()).min(self.burst);
    }
}
