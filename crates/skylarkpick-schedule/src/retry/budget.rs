//! A budget that keeps retries to a share of first attempts.

/// Retries that are allowed although few requests came lately.
const RESERVE: f64 = 10.0;
/// Largest number of retries that can be saved up.
const SAVED_LIMIT: f64 = 100.0;

/// A budget that keeps retries to a share of first attempts, so that a fault does not multiply
/// the load that it meets.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: RESERVE }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which allows `retry_percent_limit` hundredths of a retry.
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
        self.saved = (self.saved + allowed).min(SAVED_LIMIT);
    }

    /// Takes one retry; gives whether it may be made.
    pub fn take(&mut self) -> bool {
        // Hundredths add up with an error far below one of them.
        if self.saved + 1e-6 < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Retries that may be made now.
    pub fn available(&self) -> f64 {
        self.saved
    }
}
