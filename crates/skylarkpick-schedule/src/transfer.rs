//! Schedules the transfers over the link of one store within a bandwidth budget.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Identifies a transfer.
pub type TransferId = u64;

/// Direction of a transfer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TransferKind {
    /// From the store to a runner. Requests wait for it.
    Import,
    /// From a runner to the store. No request waits for it.
    Export,
}

/// Order in which waiting imports start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ImportOrdering {
    /// In the order of arrival.
    #[default]
    Arrival,
    /// By waiting requests per byte, highest first.
    Waiters,
}

/// A transfer in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transfer {
    /// Id of the transfer.
    pub id: TransferId,
    /// Direction of the transfer.
    pub kind: TransferKind,
    /// Bytes to transfer.
    pub size_bytes: u64,
    /// Requests that wait for the transfer.
    pub waiters: u32,
}

/// What to do next with the link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextTransfer {
    /// Start this transfer now.
    Begin(Transfer),
    /// Call [`TransferQueue::next`] again at this time.
    WaitUntil(Instant),
    /// No transfer waits, or one is in progress.
    Nothing,
}

/// Transfers over the link of one store: one at a time, imports before exports, and no faster than
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
    /// Time until which the budget is used up by transfers that have started.
    budget_used_until: Option<Instant>,
}

impl TransferQueue {
    /// Opens an empty queue.
    pub fn open(budget_bytes_per_second: f64, ordering: ImportOrdering) -> TransferQueue {
        TransferQueue {
            budget_bytes_per_second: budget_bytes_per_second.max(1.0),
            ordering,
            waiting: BTreeMap::new(),
            busy: false,
            budget_used_until: None,
        }
    }

    /// Changes the budget, effective from the next transfer.
    pub fn set_budget(&mut self, budget_bytes_per_second: f64) {
        self.budget_bytes_per_second = budget_bytes_per_second.max(1.0);
    }

    /// Adds a transfer. Ids must increase with time: among equal transfers, the lowest id starts
    /// first.
    pub fn add(&mut self, transfer: Transfer) {
        self.waiting.insert(transfer.id, transfer);
    }

    /// Counts one more request that waits for a transfer.
    pub fn join(&mut self, id: TransferId) {
        if let Some(transfer) = self.waiting.get_mut(&id) {
            transfer.waiters += 1;
        }
    }

    /// Returns the bytes of the waiting imports, or of all waiting transfers.
    pub fn waiting_bytes(&self, imports_only: bool) -> u64 {
        let counts = |transfer: &&Transfer| !imports_only || transfer.kind == TransferKind::Import;
        self.waiting.values().filter(counts).map(|transfer| transfer.size_bytes).sum()
    }

    /// Returns the transfer to start now, if the link is free and the budget allows one.
    pub fn next(&mut self, now: Instant) -> NextTransfer {
        if self.busy {
            return NextTransfer::Nothing;
        }
        let Some(transfer) = self.first() else { return NextTransfer::Nothing };
        if let Some(budget_used_until) = self.budget_used_until
            && now < budget_used_until
        {
            return NextTransfer::WaitUntil(budget_used_until);
        }
        self.waiting.remove(&transfer.id);
        self.busy = true;
        let seconds = transfer.size_bytes as f64 / self.budget_bytes_per_second;
        self.budget_used_until = Some(now + Duration::from_secs_f64(seconds));
        NextTransfer::Begin(transfer)
    }

    /// Records that the transfer in progress has ended.
    pub fn finish(&mut self) {
        self.busy = false;
    }

    /// Removes and returns all waiting transfers, because the store is unavailable.
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
