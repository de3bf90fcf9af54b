//! Ensures that the serving document is current before a request is rejected because of it.

use super::topic_watch::FleetWatcher;
use skylarkpick_interface::FleetTopic;
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// Time after the start of a lookup in which requests that arrive use its result.
const LOOKUP_FRESHNESS: Duration = Duration::from_millis(250);
/// Age up to which the watch keeps the document current: the platform responds to a watch at least
/// this often, and reports a change within milliseconds.
const WATCH_FRESHNESS: Duration = Duration::from_millis(2_700);
/// Timeout of a platform read.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Looks up the current serving document when the watch is behind, with one lookup at a time.
#[derive(Clone)]
pub(crate) struct ServingConfirmer {
    watcher: Arc<FleetWatcher>,
    latest: Arc<Mutex<Option<Lookup>>>,
}

/// A lookup that has ended.
struct Lookup {
    began: Instant,
    is_confirmed: bool,
}

impl ServingConfirmer {
    pub(crate) fn open(watcher: Arc<FleetWatcher>) -> ServingConfirmer {
        ServingConfirmer { watcher, latest: Arc::default() }
    }

    /// Looks up and applies the current document if the watch is behind. Returns false if neither
    /// the platform nor another entry process responded.
    pub(crate) async fn confirm(&self) -> bool {
        let age = self.watcher.records.age(FleetTopic::Serving);
        if age.is_some_and(|age| age < WATCH_FRESHNESS) {
            return true;
        }
        let requested_at = Instant::now();
        let mut latest = self.latest.lock().await;
        if let Some(lookup) = latest.as_ref()
            && requested_at < lookup.began + LOOKUP_FRESHNESS
        {
            return lookup.is_confirmed;
        }
        let began = Instant::now();
        let is_confirmed = self.look_up().await;
        *latest = Some(Lookup { began, is_confirmed });
        is_confirmed
    }

    async fn look_up(&self) -> bool {
        let FleetWatcher { source, records, peer_client } = &*self.watcher;
        let read = source.read(FleetTopic::Serving);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Ok(update)) => {
                records.replace(FleetTopic::Serving, &update);
                true
            }
            _ => peer_client.fetch_from_any(records, FleetTopic::Serving).await,
        }
    }
}
