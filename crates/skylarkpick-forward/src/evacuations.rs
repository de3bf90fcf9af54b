//! What this process knows of evacuated data centres, for placement and readiness.

use crate::node_state::NodeState;
use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

/// Longest time for which a process that starts waits for the evacuations. Two reads of the platform
/// and of other processes fit into it, and it is shorter than the contact window of 4 s.
const START_WAIT: Duration = Duration::from_secs(3);

/// Whether evacuations are in use, and known since the start of the process.
pub(crate) struct EvacuationKnowledge {
    is_enabled: bool,
    is_known: AtomicBool,
    waits_until: Duration,
}

impl EvacuationKnowledge {
    /// Opens the knowledge of a process that starts at the node time `now`. Without a time limit for
    /// evacuations there are none.
    pub(crate) fn open(limit: Option<Duration>, now: Duration) -> EvacuationKnowledge {
        EvacuationKnowledge {
            is_enabled: limit.is_some(),
            is_known: AtomicBool::new(false),
            waits_until: now + START_WAIT,
        }
    }

    /// Returns whether a process that has just started doesn't know the evacuations yet.
    fn is_awaited(&self, now: Duration) -> bool {
        self.is_enabled && !self.is_known.load(Ordering::SeqCst) && now < self.waits_until
    }
}

impl NodeState {
    /// Returns whether data centres may be evacuated.
    pub(crate) fn uses_evacuations(&self) -> bool {
        self.evacuations.is_enabled
    }

    /// Records that the evacuations have been read, or that there are none.
    pub(crate) fn note_evacuations_read(&self) {
        self.evacuations.is_known.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests must not be sent yet, since this process has just started and doesn't
    /// know the evacuations.
    pub(crate) fn awaits_evacuations(&self) -> bool {
        self.evacuations.is_awaited(self.now())
    }

    /// Begins or ends the evacuation of a data centre, and has the requests that wait placed again.
    /// Returns whether that changes anything.
    pub(crate) fn set_evacuated(&self, data_centre: &str, is_evacuated: bool) -> bool {
        let is_changed = self.lock().placement.set_evacuated(data_centre, is_evacuated);
        if is_changed {
            self.note_capacity_changed();
        }
        is_changed
    }

    /// Returns the number of data centres that are being evacuated.
    pub(crate) fn count_evacuated(&self) -> u64 {
        self.lock().placement.evacuated().len() as u64
    }
}
