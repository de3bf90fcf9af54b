//! Weights whose time of naming may have to be recorded.

use skylarkpick_interface::{ModelName, WeightVersion};
use std::sync::{Mutex, PoisonError};
use tokio::sync::Notify;

/// Weights that became the desired ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct WeightsChange {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    /// Wall-clock time in Unix milliseconds at which the process first saw them.
    pub(super) since_ms: u64,
}

/// Queue of changes.
#[derive(Debug, Default)]
pub(super) struct WeightsChanges {
    changes: Mutex<Vec<WeightsChange>>,
    is_added: Notify,
}

impl WeightsChanges {
    pub(super) fn push(&self, change: WeightsChange) {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push(change);
        self.is_added.notify_one();
    }

    /// Waits for changes. Returns each of them once.
    pub(super) async fn take(&self) -> Vec<WeightsChange> {
        loop {
            let changes =
                std::mem::take(&mut *self.changes.lock().unwrap_or_else(PoisonError::into_inner));
            if !changes.is_empty() {
                return changes;
            }
            self.is_added.notified().await;
        }
    }
}
