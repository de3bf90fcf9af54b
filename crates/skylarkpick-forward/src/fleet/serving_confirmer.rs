//! Ensures that the serving document is current before a request is rejected because of it.

use super::topic_watch::FleetWatcher;
use skylarkpick_interface::FleetTopic;
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// Time for which the result of a platform read is reused.
const READ_FRESHNESS: Duration = Duration::from_millis(250);
/// Age up to which the watch keeps the document current: the platform responds to a watch at least
/// this often, and reports a change within milliseconds.
const WATCH_FRESHNESS: Duration = Duration::from_millis(2_700);
/// Timeout of a platform read.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads the current serving document when the watch is behind, with one read at a time.
#[derive(Clone)]
pub(crate) struct ServingConfirmer {
    watcher: Arc<FleetWatcher>,
    confirmed_at: Arc<Mutex<Option<Instant>>>,
}

impl ServingConfirmer {
    pub(crate) fn open(watcher: Arc<FleetWatcher>) -> ServingConfirmer {
        ServingConfirmer { watcher, confirmed_at: Arc::default() }
    }

    /// Reads and applies the current document if the watch is behind. Returns false if neither the
    /// platform nor another entry process responded.
    pub(crate) async fn confirm(&self) -> bool {
        let age = self.watcher.records.age(FleetTopic::Serving);
        if age.is_some_and(|age| age < WATCH_FRESHNESS) {
            return true;
        }
        let requested_at = Instant::now();
        let mut confirmed_at = self.confirmed_at.lock().await;
        if confirmed_at.is_some_and(|at| requested_at < at + READ_FRESHNESS) {
            return true;
        }
        let read = self.watcher.source.read(FleetTopic::Serving);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Ok(update)) => {
                self.watcher.records.replace(FleetTopic::Serving, &update);
                *confirmed_at = Some(requested_at);
                true
            }
            _ => {
                self.watcher
                    .peer_client
                    .fetch_from_any(&self.watcher.records, FleetTopic::Serving)
                    .await
            }
        }
    }
}
