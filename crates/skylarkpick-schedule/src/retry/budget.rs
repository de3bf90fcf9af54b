//! A retry budget that accumulates with first attempts.

/// Retries available before any first attempt was counted.
const INITIAL_RETRIES: f64 = 10.0;
/// Largest number of retries that can accumulate.
const RETRIES_LIMIT: f64 = 100.0;

/// Limits retries to a share of first attempts, so that retries don't multiply the load during a
/// fault.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { available: INITIAL_RETRIES }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which adds `retry_percent_limit` hundredths of a retry.
    ///
    /// ```
    /// let mut budget = skylarkpick_schedule::RetryBudget::default();
    /// while budget.take() {}
    /// (0..5).for_each(|_| budget.note_first_attempt(20));
    /// assert!(budget.take());
    /// assert!(!budget.take());
    /// ```
    pub fn note_first_attempt(&mut self, retry_percent_limit: u32) {
        let allowed = f64::from(retry_percent_limit) / 100.0;
        self.available = (self.available + allowed).min(RETRIES_LIMIT);
    }

    /// Takes one retry from the budget. Returns whether the retry may be made.
    pub fn take(&mut self) -> bool {
        // The tolerance absorbs the rounding error of adding up hundredths.
        if self.available + 1e-6 < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Returns the number of retries that may be made now.
    pub fn available(&self) -> f64 {
        self.available
    }
}
