//! The event queue of the simulation, ordered by virtual time.

use skylarkpick_schedule::TransferId;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// One attempt of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RunId {
    pub(super) request: usize,
    pub(super) attempt: u32,
}

/// A prefix under one weight version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct ContextId {
    pub(super) prefix: usize,
    pub(super) weight_version: u64,
}

/// An event of the simulation. `epoch` is the epoch of the runner or store at scheduling: an
/// event of an earlier epoch is ignored, since the runner or store has crashed since.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// A request arrives at its entry process.
    Arrive(usize),
    /// A request is routed, for the first time or again.
    Route(RunId),
    /// A run reaches its runner.
    ReachRunner(RunId),
    /// A runner has finished the prefill of a prompt.
    PrefillFinished { runner: usize, run: RunId, epoch: u32 },
    /// A run has generated its last token.
    RunFinished { runner: usize, run: RunId, epoch: u32 },
    /// A transfer over a link has finished.
    TransferFinished { store: usize, transfer: TransferId, epoch: u32 },
    /// A store has read the context of an import from disk.
    DiskReadFinished { store: usize, transfer: TransferId, epoch: u32 },
    /// The budget of a link allows its next transfer.
    LinkReady(usize),
    /// An import has failed.
    ImportFailed(RunId),
    /// The directory receives the number of tokens of a context that a runner holds.
    CacheChange { runner: usize, context: ContextId, tokens: u64 },
    /// Runners and stores report their load and status.
    Report,
    /// A runner has finished loading weights.
    WeightsLoaded(usize),
    /// A fault starts.
    FaultStart(usize),
    /// A fault ends.
    FaultEnd(usize),
}

/// Pending events, ordered by time and then by insertion, so that a replay is deterministic.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, event)));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
