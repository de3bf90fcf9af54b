//! Relays cache changes to other entry processes.
//!
//! A cache serves only a dozen readers of its events. In a larger fleet, two processes of each data
//! centre watch the caches and keep a log of the changes; the other processes of that data centre
//! follow one of these logs.

use super::{
    messages::{CacheEntry, CacheUpdate, PeerRequest, PeerResponse, RelayedNotice},
    peer_client::{PeerClient, send_request},
};
use crate::{fleet::FleetWatcher, node_state::NodeState};
use skylarkpick_interface::PartChanges;
use skylarkpick_schedule::PartFingerprint;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{Semaphore, watch};

/// Maximum number of entries in the log, which lasts for some seconds at the planned load. A
/// follower that needs older ones receives a snapshot.
const LOG_LIMIT: usize = 30_000;
/// Maximum number of snapshots that are encoded concurrently. At the planned fleet size, each takes
/// a few megabytes.
const SNAPSHOTS_LIMIT: usize = 2;
/// Time after the last response of a store within which the store counts as fresh.
const STORE_FRESHNESS: Duration = Duration::from_millis(900);
/// Maximum wait of a follower for a change.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Time allowed for a response beyond that wait, since a snapshot takes a while on a slow link.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two requests of a follower, in which changes accumulate.
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a process without relays or network checks for them again.
const NO_RELAY_PAUSE: Duration = Duration::from_millis(500);

/// Log of the changes of the caches that this process watches itself.
pub(crate) struct CacheRelay {
    node_state: Arc<NodeState>,
    log: u64,
    state: Mutex<RelayState>,
    latest: watch::Sender<u64>,
    snapshot_permits: Semaphore,
}

/// One change of a cache.
#[derive(Clone, Copy, Debug)]
enum RelayedChange {
    /// What was recorded of the cache is no longer valid.
    Reset(SocketAddr),
    /// The cache now holds this many tokens of the part.
    Part(SocketAddr, PartFingerprint, u64),
}

#[derive(Default)]
struct RelayState {
    /// Position of the first entry.
    first: u64,
    entries: VecDeque<RelayedChange>,
    /// Time of the last response of each cache.
    responded_at: BTreeMap<SocketAddr, Duration>,
}

impl RelayState {
    fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

impl CacheRelay {
    pub(crate) fn open(node_state: Arc<NodeState>) -> Arc<CacheRelay> {
        let (latest, _) = watch::channel(0);
        // 0 means no log.
        let log = rand::random::<u64>().max(1);
        let snapshot_permits = Semaphore::new(SNAPSHOTS_LIMIT);
        Arc::new(CacheRelay { node_state, log, state: Mutex::default(), latest, snapshot_permits })
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends the changes that this process has read from a cache.
    pub(crate) fn append(&self, address: SocketAddr, changes: &PartChanges, is_reset: bool) {
        let mut state = self.lock();
        state.responded_at.insert(address, self.node_state.now());
        if is_reset {
            state.entries.push_back(RelayedChange::Reset(address));
        }
        state.entries.extend(changes.changes.iter().map(|change| {
            let part = PartFingerprint::of(&change.scope, &change.part);
            RelayedChange::Part(address, part, change.tokens)
        }));
        self.publish(state);
    }

    /// Records that a cache no longer responds.
    pub(crate) fn note_disconnected(&self, address: SocketAddr) {
        let mut state = self.lock();
        state.responded_at.remove(&address);
        state.entries.push_back(RelayedChange::Reset(address));
        self.publish(state);
    }

    fn publish(&self, mut state: MutexGuard<'_, RelayState>) {
        while state.entries.len() > LOG_LIMIT {
            state.entries.pop_front();
            state.first += 1;
        }
        let end = state.end();
        drop(state);
        self.latest.send_replace(end);
    }

    /// Returns the changes after position `since` of log `log`, waiting up to `wait` for some, or a
    /// snapshot of all caches if the position is not in the log.
    pub(crate) async fn changes(&self, log: u64, since: u64, wait: Duration) -> CacheUpdate {
        if log == self.log {
            let mut latest = self.latest.subscribe();
            // After the timeout the update contains no entries.
            let _ = tokio::time::timeout(wait, latest.wait_for(|end| *end > since)).await;
        }
        let next = self.lock().end();
        let is_known = log == self.log && (self.lock().first..=next).contains(&since);
        // The semaphore is never closed.
        let _permit = if is_known { None } else { self.snapshot_permits.acquire().await.ok() };
        let changes = if is_known { self.changes_since(since) } else { self.snapshot() };
        let (caches, entries) = encode(&changes);
        let fresh_stores = self.fresh_stores();
        CacheUpdate {
            log: self.log,
            next,
            is_complete: !is_known,
            fresh_stores,
            caches,
            entries,
            ..CacheUpdate::default()
        }
    }

    fn changes_since(&self, since: u64) -> Vec<RelayedChange> {
        let state = self.lock();
        let skip = usize::try_from(since.saturating_sub(state.first)).unwrap_or(usize::MAX);
        state.entries.iter().skip(skip).copied().collect()
    }

    fn snapshot(&self) -> Vec<RelayedChange> {
        let state = self.node_state.lock();
        let caches = state.placement.parts.caches();
        let changes = caches.flat_map(|(address, cache)| {
            cache.held().map(|(part, tokens)| RelayedChange::Part(*address, part, tokens))
        });
        changes.collect()
    }

    fn fresh_stores(&self) -> Vec<SocketAddr> {
        let node_state = self.node_state.lock();
        let now = self.node_state.now();
        let state = self.lock();
        let fresh = state.responded_at.iter().filter(|(_, at)| now < **at + STORE_FRESHNESS);
        let is_store = |address: &SocketAddr| {
            node_state.placement.parts.cache(address).is_some_and(|cache| cache.is_store())
        };
        fresh.map(|(address, _)| *address).filter(is_store).collect()
    }
}

/// Encodes changes so that each cache address occurs once. Returns the addresses and the entries.
fn encode(changes: &[RelayedChange]) -> (Vec<SocketAddr>, Vec<CacheEntry>) {
    let mut caches = Vec::new();
    let mut indexes: HashMap<SocketAddr, u32> = HashMap::new();
    let mut index = |address: SocketAddr| {
        *indexes.entry(address).or_insert_with(|| {
            caches.push(address);
            // A fleet has far fewer than u32::MAX caches.
            u32::try_from(caches.len() - 1).unwrap_or(u32::MAX)
        })
    };
    let entries = changes.iter().map(|change| match change {
        RelayedChange::Reset(address) => CacheEntry(index(*address), None, 0),
        RelayedChange::Part(address, part, tokens) => {
            CacheEntry(index(*address), Some(part.0), *tokens)
        }
    });
    let entries = entries.collect();
    (caches, entries)
}

/// Follows the change log of a relay, and the notices that it passes on, for as long as the task runs.
pub(crate) async fn follow_relay(
    node_state: Arc<NodeState>,
    peer_client: Arc<PeerClient>,
    watcher: Arc<FleetWatcher>,
) {
    let (mut log, mut since, mut notices_since) = (0, 0, 0);
    let mut relay_index = rand::random::<u32>() as usize;
    loop {
        let relays = watcher.records.relays();
        let (Some(network), false) = (peer_client.network(), relays.is_empty()) else {
            tokio::time::sleep(NO_RELAY_PAUSE).await;
            continue;
        };
        let relay = &relays[relay_index % relays.len()];
        let wait_ms = u64::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(u64::MAX);
        let request = PeerRequest::Caches { log, since, notices_since, wait_ms };
        match send_request(&**network, relay, &request, FOLLOW_WAIT + RESPONSE_TIMEOUT).await {
            Ok(PeerResponse::Caches(mut update)) => {
                (log, since, notices_since) = (update.log, update.next, update.notices_next);
                for RelayedNotice { age_ms, notice } in std::mem::take(&mut update.notices) {
                    node_state.apply_notice(notice, Duration::from_millis(age_ms));
                }
                apply(&node_state, update);
            }
            Ok(_) => relay_index += 1,
            Err(why) => {
                spdlog::info!("failed to fetch cache changes from a relay", kv: {
                    address = relay.as_str(), why = why.as_str(),
                });
                relay_index += 1;
                log = 0;
            }
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

/// Applies an update of a relay. Stores count as responding only if the relay reports them as
/// fresh.
pub(super) fn apply(node_state: &NodeState, update: CacheUpdate) {
    let now = node_state.now();
    let epoch = update.log;
    let no_changes = PartChanges { epoch, next: 0, has_gap: false, changes: Vec::new() };
    let mut state = node_state.lock();
    let parts = &mut state.placement.parts;
    if update.is_complete {
        let known: Vec<SocketAddr> = parts.caches().map(|(address, _)| *address).collect();
        for address in known {
            parts.forget(&address);
            parts.apply(&address, &no_changes, now);
        }
    }
    for CacheEntry(index, part, tokens) in update.entries {
        let address = usize::try_from(index).ok().and_then(|index| update.caches.get(index));
        match (address, part) {
            (Some(address), Some(part)) => {
                parts.apply_peer_change(address, epoch, PartFingerprint(part), tokens);
            }
            (Some(address), None) => parts.forget(address),
            (None, _) => spdlog::warn!("ignored a cache change with an invalid cache index"),
        }
    }
    for address in &update.fresh_stores {
        parts.apply(address, &no_changes, now);
    }
}
