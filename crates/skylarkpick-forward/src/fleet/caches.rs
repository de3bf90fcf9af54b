//! Follows what caches tell of the parts that they keep.

use crate::desk::Desk;
use skylarkpick_interface::{ControlError, PartChanges, TargetControl};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Longest wait of one call; a store without word for longer than this is not fetched from.
const EVENTS_WAIT: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after too many readers were there already.
const CROWDED_PAUSE: Duration = Duration::from_secs(2);
/// Events of a cache that is new to this process are asked for from here on.
const FIRST_EVENT: u64 = 0;

/// Keeps one follower for each cache for as long as the task runs.
pub(crate) async fn follow_caches(desk: Arc<Desk>, control: Arc<dyn TargetControl>) {
    let mut followers: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let changed = desk.caches_changed.notified();
        let wanted: Vec<SocketAddr> =
            desk.lock().placement.parts.caches().map(|(address, _)| *address).collect();
        followers.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for address in wanted {
            followers.entry(address).or_insert_with(|| {
                tokio::spawn(follow_cache(desk.clone(), control.clone(), address))
            });
        }
        changed.await;
    }
}

async fn follow_cache(desk: Arc<Desk>, control: Arc<dyn TargetControl>, address: SocketAddr) {
    let mut since = FIRST_EVENT;
    let mut epoch = None;
    let mut is_lost = false;
    loop {
        match control.part_changes(address, since, EVENTS_WAIT).await {
            Ok(changes) => {
                if std::mem::replace(&mut is_lost, false) {
                    spdlog::info!("cache regained", kv: { address: });
                }
                let is_other_life = epoch.is_some_and(|known| known != changes.epoch);
                let needs_listing = changes.has_gap || is_other_life;
                epoch = Some(changes.epoch);
                since = changes.next;
                let changes = if needs_listing && is_store(&desk, &address) {
                    list(&*control, address, changes).await
                } else {
                    changes
                };
                let now = desk.now();
                desk.lock().placement.parts.apply(&address, &changes, now);
            }
            Err(ControlError::TooMany) => tokio::time::sleep(CROWDED_PAUSE).await,
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    spdlog::info!("cache lost", kv: { address:, error: });
                    desk.lock().placement.parts.forget(&address);
                    // After a failure the cache may be in another life.
                    since = FIRST_EVENT;
                    epoch = None;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn is_store(desk: &Desk, address: &SocketAddr) -> bool {
    desk.lock().placement.parts.cache(address).is_some_and(|cache| cache.is_store())
}

/// All that a cache keeps, or only the changes where it does not say.
async fn list(
    control: &dyn TargetControl,
    address: SocketAddr,
    changes: PartChanges,
) -> PartChanges {
    control.part_listing(address).await.unwrap_or(changes)
}
