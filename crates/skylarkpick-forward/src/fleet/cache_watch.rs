//! Watches caches for changes of the prompt parts that they hold.

use super::{cache_role::CacheWatchRole, topic_watch::FleetWatcher};
use crate::{node_state::NodeState, peers::CacheRelay};
use skylarkpick_interface::{ControlError, PartChanges, TargetControl};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Maximum wait of a watch call. A store that doesn't respond for longer is not used as a fetch
/// source.
const EVENTS_WAIT: Duration = Duration::from_millis(700);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay after the cache rejected a call because it has too many readers.
const TOO_MANY_READERS_DELAY: Duration = Duration::from_secs(2);
/// Longest time after which a cache that asked for a pause is looked at again: it may have restarted.
const PAUSE_STEP: Duration = Duration::from_millis(300);
/// Pause between two calls for a runner's events, in which events accumulate. A prompt that arrives
/// in the meantime is placed by the hash of its longest shared part.
const RUNNER_PAUSE: Duration = Duration::from_millis(100);
/// The same pause for a relay of a larger fleet, which watches a hundred runners or more.
const RELAYED_RUNNER_PAUSE: Duration = Duration::from_millis(400);
/// Pause of a relay between two calls for a store's events. Its wait for events is shorter by as much,
/// so that a store without events stays as fresh.
const RELAYED_STORE_PAUSE: Duration = Duration::from_millis(200);
/// Position from which the events of a newly watched cache are read.
const FIRST_EVENT: u64 = 0;

/// Shared state of the tasks that watch caches.
pub(crate) struct CacheWatchers {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) control: Arc<dyn TargetControl>,
    pub(crate) watcher: Arc<FleetWatcher>,
    pub(crate) relay: Arc<CacheRelay>,
}

/// Runs a task for each cache that this process watches, for as long as this task runs.
pub(crate) async fn watch_caches(watchers: Arc<CacheWatchers>) {
    let mut tasks: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let changed = watchers.node_state.caches_changed.notified();
        let watched = watchers.watched_caches();
        tasks.retain(|address, task| {
            let is_watched = watched.contains(address);
            if !is_watched {
                task.abort();
            }
            is_watched
        });
        for address in watched {
            tasks
                .entry(address)
                .or_insert_with(|| tokio::spawn(watch_cache(watchers.clone(), address)));
        }
        changed.await;
    }
}

impl CacheWatchers {
    fn watched_caches(&self) -> Vec<SocketAddr> {
        let role = self.watcher.records.cache_watch_role();
        let state = self.node_state.lock();
        let caches = state.placement.parts.caches();
        match role {
            CacheWatchRole::Direct | CacheWatchRole::Relay => {
                caches.map(|(address, _)| *address).collect()
            }
            CacheWatchRole::Undecided | CacheWatchRole::Follower { .. } => Vec::new(),
        }
    }

    fn is_store(&self, address: &SocketAddr) -> bool {
        let state = self.node_state.lock();
        state.placement.parts.cache(address).is_some_and(|cache| cache.is_store())
    }

    fn runner_pause(&self) -> Duration {
        match self.watcher.records.cache_watch_role() {
            CacheWatchRole::Undecided | CacheWatchRole::Direct => RUNNER_PAUSE,
            CacheWatchRole::Relay | CacheWatchRole::Follower { .. } => RELAYED_RUNNER_PAUSE,
        }
    }

    /// Returns the pause between two calls for a store's events.
    fn store_pause(&self) -> Duration {
        if self.watcher.records.is_relay() { RELAYED_STORE_PAUSE } else { Duration::ZERO }
    }

    /// Applies the changes of a cache and appends them to the log for this process's followers.
    fn apply(&self, address: SocketAddr, changes: &PartChanges, is_reset: bool) {
        let now = self.node_state.now();
        self.node_state.lock().placement.parts.apply(&address, changes, now);
        self.relay.append(address, changes, is_reset);
    }
}

async fn watch_cache(watchers: Arc<CacheWatchers>, address: SocketAddr) {
    let mut since = FIRST_EVENT;
    let mut epoch = None;
    let mut is_disconnected = false;
    loop {
        let wait = EVENTS_WAIT.saturating_sub(watchers.store_pause());
        match watchers.control.part_changes(address, since, wait).await {
            Ok(changes) => {
                if std::mem::replace(&mut is_disconnected, false) {
                    spdlog::info!("cache reconnected", kv: { address: });
                }
                let has_restarted = epoch.is_some_and(|known| known != changes.epoch);
                let is_first = epoch.is_none();
                let needs_listing = changes.has_gap || has_restarted;
                epoch = Some(changes.epoch);
                since = changes.next;
                let changes = if needs_listing && watchers.is_store(&address) {
                    list(&*watchers.control, address, changes).await
                } else {
                    changes
                };
                watchers.apply(address, &changes, needs_listing || is_first);
                let is_store = watchers.is_store(&address);
                let pause = if is_store { watchers.store_pause() } else { watchers.runner_pause() };
                tokio::time::sleep(pause).await;
            }
            // What the cache holds is still valid.
            Err(ControlError::Paused(rest)) => tokio::time::sleep(rest.min(PAUSE_STEP)).await,
            Err(ControlError::TooMany) => tokio::time::sleep(TOO_MANY_READERS_DELAY).await,
            Err(error) => {
                if !std::mem::replace(&mut is_disconnected, true) {
                    spdlog::info!("cache disconnected", kv: { address:, error: });
                    watchers.node_state.lock().placement.parts.forget(&address);
                    watchers.relay.note_disconnected(address);
                    // The cache may have restarted.
                    since = FIRST_EVENT;
                    epoch = None;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the complete contents of a cache, or `changes` if listing them fails.
async fn list(
    control: &dyn TargetControl,
    address: SocketAddr,
    changes: PartChanges,
) -> PartChanges {
    control.part_listing(address).await.unwrap_or(changes)
}
