//! Ejects a target after consecutive failures, for a time that grows with each ejection.

use std::time::Duration;

/// Consecutive failures after which a target is ejected.
const FAILURES_LIMIT: u32 = 3;
/// Duration of the first ejection. It doubles with each further one until a success.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest duration of an ejection.
const EJECTION_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Consecutive failures of one target, and its ejection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Duration>,
}

impl Ejection {
    /// Records a success, which resets failures and ejections.
    pub fn observe_success(&mut self) {
        *self = Ejection::default();
    }

    /// Records a failure. After an ejection, a single failure ejects the target again.
    ///
    /// ```
    /// use skylarkpick_schedule::Ejection;
    /// use std::time::Duration;
    /// let mut ejection = Ejection::default();
    /// (0..3).for_each(|_| ejection.observe_failure(Duration::ZERO));
    /// assert!(ejection.is_ejected(Duration::from_secs(1)));
    /// assert!(!ejection.is_ejected(Duration::from_secs(2)));
    /// ```
    pub fn observe_failure(&mut self, now: Duration) {
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_LIMIT || self.ejections > 0 {
            let factor = 2_u32.saturating_pow(self.ejections.min(16));
            let time = EJECTION_TIME.saturating_mul(factor).min(EJECTION_TIME_LIMIT);
            self.until = Some(now + time);
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Returns whether the target must not receive requests now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
