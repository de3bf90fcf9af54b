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

    /// Looks up and applies the current document if the watch is behind, and asks other processes
    /// for a newer one if none has responded since the start. Returns false if neither the platform
    /// nor another entry process responded, or if no other process did that may know a newer one.
    pub(crate) async fn confirm(&self) -> bool {
        if self.is_watch_current() && self.has_asked_others() {
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
        let (is_current, has_asked) = tokio::join!(self.look_up(), self.ask_others());
        let is_confirmed = is_current && has_asked;
        *latest = Some(Lookup { began, is_confirmed });
        is_confirmed
    }

    fn is_watch_current(&self) -> bool {
        let age = self.watcher.records.age(FleetTopic::Serving);
        age.is_some_and(|age| age < WATCH_FRESHNESS)
    }

    /// Returns whether others have been asked for what the platform's store may have lost, or there
    /// are none to ask.
    fn has_asked_others(&self) -> bool {
        let FleetWatcher { records, peer_client, .. } = &*self.watcher;
        let is_alone = || records.node_state.knows_evidence() && records.other_entries().is_empty();
        peer_client.has_asked_retained() || is_alone()
    }

    async fn ask_others(&self) -> bool {
        let FleetWatcher { records, peer_client, .. } = &*self.watcher;
        self.has_asked_others()
            || peer_client.fetch_retained(records, records.serving_version()).await
    }

    async fn look_up(&self) -> bool {
        if self.is_watch_current() {
            return true;
        }
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
