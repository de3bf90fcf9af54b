//! Targets whose records lapsed while the platform was away.
//!
//! Their records are back about two seconds after its return if the targets live and reach it;
//! until then their absence says nothing.

use std::{collections::BTreeMap, time::Duration};

/// Time after the platform's return for lapsed records to come back.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Targets whose records are missing but that may be back.
#[derive(Debug, Default)]
pub(crate) struct Lapses {
    is_lost: bool,
    heard_again_at: Option<Duration>,
    missing: BTreeMap<String, Duration>,
}

impl Lapses {
    pub(crate) fn note_lost(&mut self) {
        self.is_lost = true;
    }

    pub(crate) fn note_heard(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_lost) {
            self.heard_again_at = Some(now);
        }
    }

    /// Notes a missing record; gives whether the target may still come back.
    pub(crate) fn missing(&mut self, target: &str, now: Duration) -> bool {
        let until = self.heard_again_at.map(|at| at + RETURN_TIME);
        match until.filter(|until| now < *until) {
            Some(until) => {
                self.missing.insert(target.to_string(), until);
                true
            }
            None => false,
        }
    }

    pub(crate) fn came_back(&mut self, target: &str) {
        self.missing.remove(target);
    }

    /// Targets that did not come back in time.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<String> {
        let due = self.missing.iter().filter(|(_, until)| now >= **until);
        let due: Vec<String> = due.map(|(target, _)| target.clone()).collect();
        for target in &due {
            self.missing.remove(target);
        }
        due
    }
}
