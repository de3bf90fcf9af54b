//! Detects unreachable data centres from failed sends.
//!
//! Without this, a partition would cost each process one connection timeout for each target of the
//! unreachable data centre.

use skylarkpick_interface::{DataCentreId, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Number of unreachable targets, with no response from their data centre since, from which on the
/// whole data centre counts as unreachable. A single target may have crashed.
const UNREACHABLE_TARGETS_FLOOR: usize = 2;
/// Time after a failed send for which the failure counts. Afterwards a request tries the data
/// centre again.
const FAILURE_LIFETIME: Duration = Duration::from_secs(3);

/// Tracks which data centres are unreachable from this process.
#[derive(Clone, Debug, Default)]
pub(super) struct DataCentreReachability {
    /// For each data centre, its unreachable targets with the time of the last failed send.
    unreachable: BTreeMap<DataCentreId, BTreeMap<TargetId, Duration>>,
}

impl DataCentreReachability {
    /// Records that a target was unreachable.
    pub(super) fn note_unreachable(&mut self, data_centre: &str, target: &str, now: Duration) {
        let targets = self.unreachable.entry(data_centre.to_string()).or_default();
        targets.insert(target.to_string(), now);
    }

    /// Records a response from a target, which shows that its data centre is reachable.
    pub(super) fn note_reached(&mut self, data_centre: &str) {
        self.unreachable.remove(data_centre);
    }

    /// Returns whether a data centre counts as unreachable. The process's own one never does.
    pub(super) fn is_unreachable(&self, data_centre: &str, own: &str, now: Duration) -> bool {
        if data_centre == own {
            return false;
        }
        let Some(targets) = self.unreachable.get(data_centre) else { return false };
        let recent = targets.values().filter(|at| now < **at + FAILURE_LIFETIME);
        recent.count() >= UNREACHABLE_TARGETS_FLOOR
    }
}
