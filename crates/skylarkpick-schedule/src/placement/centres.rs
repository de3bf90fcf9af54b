//! Which data centres cannot be reached, as far as failed sends tell.
//!
//! Answers the load of a data centre that is cut off: without it, each process finds out about each
//! of its targets by a request that waits for a connection.

use skylarkpick_interface::{DataCentreId, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Targets of a data centre that could not be reached, with no other reached since, from which all
/// of it counts as cut off. One alone may have crashed.
const UNREACHABLE_COUNT: usize = 2;
/// Time for which a data centre counts as cut off after its last failed send; then a request tries
/// again.
const CUT_OFF_PAUSE: Duration = Duration::from_secs(3);

/// Which data centres cannot be reached.
#[derive(Clone, Debug, Default)]
pub(super) struct CentreReach {
    unreachable: BTreeMap<DataCentreId, BTreeMap<TargetId, Duration>>,
}

impl CentreReach {
    /// Notes that a target could not be reached.
    pub(super) fn note_unreachable(&mut self, centre: &str, target: &str, now: Duration) {
        let targets = self.unreachable.entry(centre.to_string()).or_default();
        targets.insert(target.to_string(), now);
    }

    /// Notes that a target answered: its data centre can be reached.
    pub(super) fn note_reached(&mut self, centre: &str) {
        self.unreachable.remove(centre);
    }

    /// Whether a data centre counts as cut off. The own one never does.
    pub(super) fn is_cut_off(&self, centre: &str, own: &str, now: Duration) -> bool {
        if centre == own {
            return false;
        }
        let Some(targets) = self.unreachable.get(centre) else { return false };
        let recent = targets.values().filter(|at| now < **at + CUT_OFF_PAUSE);
        recent.count() >= UNREACHABLE_COUNT
    }
}
