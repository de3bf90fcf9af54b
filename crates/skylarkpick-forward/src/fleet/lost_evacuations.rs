//! Evacuations that the platform's store seems to have lost.

use skylarkpick_interface::DataCentreId;
use std::{collections::BTreeMap, time::Duration};

/// Time for which an evacuation stays in effect that the platform has lost: the operator writes it
/// again. It is the contact window of 4 s and the 6 s by which an unstable platform extends bounds.
const LOST_GRACE: Duration = Duration::from_secs(10);

/// Evacuations without an object, although nobody was seen to remove it, each with when it ends.
#[derive(Debug, Default)]
pub(crate) struct LostEvacuations(BTreeMap<DataCentreId, Duration>);

impl LostEvacuations {
    /// Records that the object of an evacuation is missing. Its grace period begins only once.
    pub(super) fn note_lost(&mut self, data_centre: &str, now: Duration) {
        self.0.entry(data_centre.to_string()).or_insert(now + LOST_GRACE);
    }

    /// Records that the object exists, or was removed.
    pub(super) fn note_known(&mut self, data_centre: &str) {
        self.0.remove(data_centre);
    }

    /// Returns whether an evacuation is in its grace period.
    pub(super) fn is_lost(&self, data_centre: &str) -> bool {
        self.0.contains_key(data_centre)
    }

    /// Removes and returns the evacuations whose grace period has ended.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<DataCentreId> {
        self.0
            .extract_if(.., |_, until| now >= *until)
            .map(|(data_centre, _)| data_centre)
            .collect()
    }
}
