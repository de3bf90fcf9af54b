//! Which runs stay at their runners although nobody reads them now.

use skylarkpick_interface::RunId;
use std::collections::BTreeMap;

/// Runs that one process keeps for callers that may come back.
const RETAINED_LIMIT: usize = 10_000;

/// Which runs are read, and which wait for their caller. Pure: events in, decisions out.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    runs: BTreeMap<RunId, Retained>,
    waits: u64,
}

#[derive(Debug, Default)]
struct Retained {
    readers: u32,
    /// Number of the wait that goes on, if nobody reads.
    wait: Option<u64>,
}

/// What to do with a run that lost a reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Detached {
    /// Others still read it.
    StillRead,
    /// Wait for its caller, and expire this wait after the window.
    Wait(u64),
    /// Too many runs wait already: cancel it now.
    Cancel,
}

impl Retention {
    /// Somebody reads a run from now on; a wait for it ends.
    pub(crate) fn attach(&mut self, run_id: &str) {
        let run = self.runs.entry(run_id.to_string()).or_default();
        run.readers += 1;
        run.wait = None;
    }

    /// A reader has gone, before the run ended.
    pub(crate) fn detach(&mut self, run_id: &str) -> Detached {
        let waiting = self.runs.len();
        let run = self.runs.entry(run_id.to_string()).or_default();
        run.readers = run.readers.saturating_sub(1);
        if run.readers > 0 {
            return Detached::StillRead;
        }
        if waiting >= RETAINED_LIMIT {
            self.runs.remove(run_id);
            return Detached::Cancel;
        }
        self.waits += 1;
        run.wait = Some(self.waits);
        Detached::Wait(self.waits)
    }

    /// A run has ended, or another process reads it now.
    pub(crate) fn release(&mut self, run_id: &str) {
        self.runs.remove(run_id);
    }

    /// The window of a wait is over; gives whether to cancel the run.
    pub(crate) fn expire(&mut self, run_id: &str, wait: u64) -> bool {
        let over = self.runs.get(run_id).is_some_and(|run| run.wait == Some(wait));
        if over {
            self.runs.remove(run_id);
        }
        over
    }

    /// Runs that wait for their caller.
    pub(crate) fn waiting(&self) -> usize {
        self.runs.values().filter(|run| run.wait.is_some()).count()
    }
}
