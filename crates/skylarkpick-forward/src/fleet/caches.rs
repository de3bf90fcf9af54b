//! Follows what caches tell of the parts that they keep.

use super::{follow::FleetFollower, reading::CacheReading};
use crate::{desk::Desk, peers::CacheRelay};
use skylarkpick_interface::{ControlError, PartChanges, TargetControl};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Longest wait of one call; a store without word for longer than this is not fetched from.
const EVENTS_WAIT: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after too many readers were there already.
const CROWDED_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two calls for a runner's events; those within it come together. A prompt that is sent
/// meanwhile goes where its longest shared part is hashed to.
const RUNNER_PAUSE: Duration = Duration::from_millis(100);
/// The same in a larger fleet, where a process reads a hundred runners and more for others.
const RELAYED_RUNNER_PAUSE: Duration = Duration::from_millis(400);
/// Events of a cache that is new to this process are asked for from here on.
const FIRST_EVENT: u64 = 0;

/// What the followers of caches share.
pub(crate) struct CacheFollowers {
    pub(crate) desk: Arc<Desk>,
    pub(crate) control: Arc<dyn TargetControl>,
    pub(crate) fleet: Arc<FleetFollower>,
    pub(crate) relay: Arc<CacheRelay>,
}

/// Keeps one follower for each cache that this process reads, for as long as the task runs.
pub(crate) async fn follow_caches(parts: Arc<CacheFollowers>) {
    let mut followers: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let changed = parts.desk.caches_changed.notified();
        let wanted = parts.wanted();
        followers.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for address in wanted {
            followers
                .entry(address)
                .or_insert_with(|| tokio::spawn(follow_cache(parts.clone(), address)));
        }
        changed.await;
    }
}

impl CacheFollowers {
    fn wanted(&self) -> Vec<SocketAddr> {
        let reading = self.fleet.recorder.cache_reading();
        let state = self.desk.lock();
        let caches = state.placement.parts.caches();
        match reading {
            CacheReading::All | CacheReading::Relay => {
                caches.map(|(address, _)| *address).collect()
            }
            CacheReading::Follower { .. } => Vec::new(),
        }
    }

    fn is_store(&self, address: &SocketAddr) -> bool {
        let state = self.desk.lock();
        state.placement.parts.cache(address).is_some_and(|cache| cache.is_store())
    }

    fn runner_pause(&self) -> Duration {
        match self.fleet.recorder.cache_reading() {
            CacheReading::All => RUNNER_PAUSE,
            CacheReading::Relay | CacheReading::Follower { .. } => RELAYED_RUNNER_PAUSE,
        }
    }

    /// Takes in what a cache told, and keeps it for those who follow this process.
    fn take(&self, address: SocketAddr, changes: &PartChanges, is_reset: bool) {
        let now = self.desk.now();
        self.desk.lock().placement.parts.apply(&address, changes, now);
        self.relay.note(address, changes, is_reset);
    }
}

async fn follow_cache(parts: Arc<CacheFollowers>, address: SocketAddr) {
    let mut since = FIRST_EVENT;
    let mut epoch = None;
    let mut is_lost = false;
    loop {
        match parts.control.part_changes(address, since, EVENTS_WAIT).await {
            Ok(changes) => {
                if std::mem::replace(&mut is_lost, false) {
                    spdlog::info!("cache regained", kv: { address: });
                }
                let is_other_life = epoch.is_some_and(|known| known != changes.epoch);
                let is_first = epoch.is_none();
                let needs_listing = changes.has_gap || is_other_life;
                epoch = Some(changes.epoch);
                since = changes.next;
                let changes = if needs_listing && parts.is_store(&address) {
                    list(&*parts.control, address, changes).await
                } else {
                    changes
                };
                parts.take(address, &changes, needs_listing || is_first);
                if !parts.is_store(&address) {
                    tokio::time::sleep(parts.runner_pause()).await;
                }
            }
            Err(ControlError::TooMany) => tokio::time::sleep(CROWDED_PAUSE).await,
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    spdlog::info!("cache lost", kv: { address:, error: });
                    parts.desk.lock().placement.parts.forget(&address);
                    parts.relay.note_lost(address);
                    // After a failure the cache may be in another life.
                    since = FIRST_EVENT;
                    epoch = None;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// All that a cache keeps, or only the changes where it does not say.
async fn list(
    control: &dyn TargetControl,
    address: SocketAddr,
    changes: PartChanges,
) -> PartChanges {
    control.part_listing(address).await.unwrap_or(changes)
}
