//! Orders the transfers over one store's link and keeps them within its budget.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Names a transfer.
pub type TransferId = u64;

/// Which way a transfer goes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TransferKind {
    /// From the store to a runner; requests wait for it.
    Import,
    /// From a runner to the store; nobody waits.
    Export,
}

/// Order in which imports that wait are begun.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ImportOrdering {
    /// First come, first served.
    #[default]
    Arrival,
    /// Most waiting requests for each byte first.
    Waiters,
}

/// A transfer that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Name of the transfer.
    pub id: TransferId,
    /// Which way it goes.
    pub kind: TransferKind,
    /// Bytes that it moves.
    pub size_bytes: u64,
    /// Requests that wait for it.
    pub waiters: u32,
}

/// What to do next with a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextTransfer {
    /// Begin this one now.
    Begin(Transfer),
    /// Ask again at this time.
    WaitUntil(Instant),
    /// Nothing waits, or the link is taken.
    Nothing,
}

/// Transfers over one store's link: one at a time, imports before exports, begun no faster than
/// the budget allows.
///
/// ```
/// use skylarkpick_schedule::{NextTransfer, Transfer, TransferKind, TransferQueue};
/// use std::time::Instant;
/// let mut queue = TransferQueue::open(1e9, Default::default());
/// let import = Transfer { id: 1, kind: TransferKind::Import, size_bytes: 1_000, waiters: 1 };
/// queue.add(import);
/// assert_eq!(queue.next(Instant::now()), NextTransfer::Begin(import));
/// ```
#[derive(Debug)]
pub struct TransferQueue {
    budget_bytes_per_second: f64,
    ordering: ImportOrdering,
    waiting: BTreeMap<TransferId, Transfer>,
    busy: bool,
    /// Time before which the budget is used up by transfers already begun.
    paid_until: Option<Instant>,
}

impl TransferQueue {
    /// Opens an empty queue.
    pub fn open(budget_bytes_per_second: f64, ordering: ImportOrdering) -> TransferQueue {
        TransferQueue {
            budget_bytes_per_second: budget_bytes_per_second.max(1.0),
            ordering,
            waiting: BTreeMap::new(),
            busy: false,
            paid_until: None,
        }
    }

    /// Changes the budget, from the next transfer on.
    pub fn set_budget(&mut self, budget_bytes_per_second: f64) {
        self.budget_bytes_per_second = budget_bytes_per_second.max(1.0);
    }

    /// Adds a transfer. Ids grow with time, which decides between equals.
    pub fn add(&mut self, transfer: Transfer) {
        self.waiting.insert(transfer.id, transfer);
    }

    /// Notes that one more request waits for a transfer.
    pub fn join(&mut self, id: TransferId) {
        if let Some(transfer) = self.waiting.get_mut(&id) {
            transfer.waiters += 1;
        }
    }

    /// Bytes that wait, of imports or of all transfers.
    pub fn waiting_bytes(&self, imports_only: bool) -> u64 {
        let counts = |transfer: &&Transfer| !imports_only || transfer.kind == TransferKind::Import;
        self.waiting.values().filter(counts).map(|transfer| transfer.size_bytes).sum()
    }

    /// The transfer to begin now, if the link is free and the budget allows one.
    pub fn next(&mut self, now: Instant) -> NextTransfer {
        if self.busy {
            return NextTransfer::Nothing;
        }
        let Some(transfer) = self.first() else { return NextTransfer::Nothing };
        if let Some(paid_until) = self.paid_until
            && now < paid_until
        {
            return NextTransfer::WaitUntil(paid_until);
        }
        self.waiting.remove(&transfer.id);
        self.busy = true;
        let seconds = transfer.size_bytes as f64 / self.budget_bytes_per_second;
        self.paid_until = Some(now + Duration::from_secs_f64(seconds));
        NextTransfer::Begin(transfer)
    }

    /// Notes that the transfer under way has ended.
    pub fn finish(&mut self) {
        self.busy = false;
    }

    /// Drops everything that waits, because the store is gone.
    pub fn clear(&mut self) -> Vec<Transfer> {
        self.busy = false;
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    fn first(&self) -> Option<Transfer> {
        let rank = |transfer: &Transfer| {
            let per_byte = f64::from(transfer.waiters) / transfer.size_bytes.max(1) as f64;
            match (transfer.kind, self.ordering) {
                (TransferKind::Import, ImportOrdering::Waiters) => (transfer.kind, -per_byte),
                _ => (transfer.kind, 0.0),
            }
        };
        self.waiting.values().copied().min_by(|left, right| {
            let (left_rank, right_rank) = (rank(left), rank(right));
            left_rank
                .0
                .cmp(&right_rank.0)
                .then(left_rank.1.total_cmp(&right_rank.1))
                .then(left.id.cmp(&right.id))
        })
    }
}

#[cfg(test)]
mod tests;
