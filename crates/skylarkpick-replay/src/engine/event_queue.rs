//! What happens when, in virtual time.

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

/// Something that happens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    /// A request arrives at its entry process.
    Arrive(usize),
    /// A request is routed, for the first time or again.
    Route(RunId),
    /// A run reaches its runner.
    ReachRunner(RunId),
    /// A runner has computed a prompt.
    Computed { runner: usize, run: RunId, epoch: u32 },
    /// A run has given its last token.
    RunEnd { runner: usize, run: RunId, epoch: u32 },
    /// A transfer has crossed a link.
    Transferred { store: usize, transfer: TransferId, epoch: u32 },
    /// A store's disk has read what an import needs.
    DiskRead { store: usize, transfer: TransferId, epoch: u32 },
    /// A link may begin its next transfer.
    LinkWake(usize),
    /// An import was found to be impossible.
    ImportFailed(RunId),
    /// The directory learns what a runner holds of a context.
    Believe { runner: usize, context: ContextId, tokens: u64 },
    /// Runners and stores report.
    Report,
    /// A runner has loaded weights.
    WeightsLoaded(usize),
    /// A fault begins.
    FaultBegin(usize),
    /// A fault ends.
    FaultEnd(usize),
}

/// Events to come, in the order of their time and then of their addition.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    added: u64,
}

impl Agenda {
    pub(super) fn add(&mut self, at: Duration, event: Event) {
        self.added += 1;
        self.events.push(Reverse((at, self.added, event)));
    }

    pub(super) fn next(&mut self) -> Option<(Duration, Event)> {
        self.events.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
