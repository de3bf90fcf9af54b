//! Ejects a target that fails while others do not, and lets it return.

use std::time::Duration;

/// Failures in a row that eject a target.
const FAILURES_LIMIT: u32 = 3;
/// Time of a first ejection; each one in a row doubles it.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest time of an ejection.
const EJECTION_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Failures of one target and what follows from them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Duration>,
}

impl Ejection {
    /// Takes in that the target did what was asked.
    pub fn observe_success(&mut self) {
        *self = Ejection::default();
    }

    /// Takes in that the target failed. One failure after a return ejects it again.
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

    /// Whether the target should get nothing now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
