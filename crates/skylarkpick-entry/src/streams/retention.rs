//! Tracks which resumable runs are retained at their runners while no caller reads them.

use skylarkpick_interface::RunId;
use std::collections::BTreeMap;

/// Limit of resumable runs that one process tracks, with and without readers. At the limit, a run
/// that loses its last reader is cancelled instead of retained.
const TRACKED_RUNS_LIMIT: usize = 10_000;

/// Readers of each resumable run, and the resume windows of runs without one. Pure state machine:
/// it does no I/O.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    runs: BTreeMap<RunId, TrackedRun>,
    last_window_id: u64,
}

#[derive(Debug, Default)]
struct TrackedRun {
    readers: u32,
    /// Id of the open resume window, if the run has no reader.
    window_id: Option<u64>,
}

/// What to do with a run after a reader disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DetachOutcome {
    /// The run has other readers.
    HasReaders,
    /// Retain the run, and close the resume window of this id when its time is over.
    Retain(u64),
    /// Too many runs are tracked: cancel this one now.
    Cancel,
}

impl Retention {
    /// Adds a reader of a run, which closes its resume window.
    pub(crate) fn attach(&mut self, run_id: &str) {
        let run = self.runs.entry(run_id.to_string()).or_default();
        run.readers += 1;
        run.window_id = None;
    }

    /// Removes a reader that disconnected before the run ended.
    pub(crate) fn detach(&mut self, run_id: &str) -> DetachOutcome {
        let tracked = self.runs.len();
        let run = self.runs.entry(run_id.to_string()).or_default();
        run.readers = run.readers.saturating_sub(1);
        if run.readers > 0 {
            return DetachOutcome::HasReaders;
        }
        if tracked >= TRACKED_RUNS_LIMIT {
            self.runs.remove(run_id);
            return DetachOutcome::Cancel;
        }
        self.last_window_id += 1;
        run.window_id = Some(self.last_window_id);
        DetachOutcome::Retain(self.last_window_id)
    }

    /// Stops tracking a run that has ended or that another process reads now.
    pub(crate) fn release(&mut self, run_id: &str) {
        self.runs.remove(run_id);
    }

    /// Closes a resume window when its time is over. Returns whether to cancel the run: false if
    /// the caller came back or a newer window is open.
    pub(crate) fn expire(&mut self, run_id: &str, window_id: u64) -> bool {
        let expired = self.runs.get(run_id).is_some_and(|run| run.window_id == Some(window_id));
        if expired {
            self.runs.remove(run_id);
        }
        expired
    }

    /// Number of runs without a reader.
    pub(crate) fn retained_count(&self) -> usize {
        self.runs.values().filter(|run| run.window_id.is_some()).count()
    }
}
