//! Targets whose records disappeared while the platform was unavailable, or by the return of its store
//! from an older copy.
//!
//! When the platform returns, the records of live targets that reach it reappear within about two
//! seconds. Until then, a missing record doesn't mean that the target was removed.

use std::{collections::BTreeMap, time::Duration};

/// Time after the platform's return in which the records of live targets and entry processes reappear.
pub(super) const RECONNECT_GRACE: Duration = Duration::from_millis(2_200);

/// Targets with missing records that may reappear, each with the end of its grace period.
#[derive(Debug, Default)]
pub(crate) struct MissingTargets {
    is_disconnected: bool,
    reconnected_at: Option<Duration>,
    missing: BTreeMap<String, Duration>,
}

impl MissingTargets {
    pub(crate) fn note_disconnected(&mut self) {
        self.is_disconnected = true;
    }

    pub(crate) fn note_response(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_disconnected) {
            self.reconnected_at = Some(now);
        }
    }

    /// Records that the platform's store came back from an older copy.
    pub(crate) fn note_return(&mut self, now: Duration) {
        self.reconnected_at = Some(now);
    }

    /// Returns whether a target is missing and may reappear.
    pub(crate) fn is_missing(&self, target: &str) -> bool {
        self.missing.contains_key(target)
    }

    /// Records a missing target. Returns whether its record may still reappear.
    pub(crate) fn note_missing(&mut self, target: &str, now: Duration) -> bool {
        let until = self.reconnected_at.map(|at| at + RECONNECT_GRACE);
        match until.filter(|until| now < *until) {
            Some(until) => {
                self.missing.insert(target.to_string(), until);
                true
            }
            None => false,
        }
    }

    pub(crate) fn note_present(&mut self, target: &str) {
        self.missing.remove(target);
    }

    /// Removes and returns the targets whose grace period has ended.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<String> {
        let expired = self.missing.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<String> = expired.map(|(target, _)| target.clone()).collect();
        for target in &expired {
            self.missing.remove(target);
        }
        expired
    }
}
