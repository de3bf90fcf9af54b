//! Tells other entry processes what stores keep.
//!
//! A store serves a dozen readers. In a larger fleet, two processes of each data centre read the
//! stores' events, and the others of that data centre follow one of them.

use super::{
    messages::{Question, Reply, StoreChanges},
    rescue::PeerRescue,
};
use crate::{desk::Desk, fleet::FleetFollower};
use skylarkpick_interface::{PartChange, PartChanges};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::watch;

/// Changes kept for followers; older ones are told by all that the stores keep.
const LOG_LIMIT: usize = 20_000;
/// Time for which word of a store counts as new.
const HEARD_LIMIT: Duration = Duration::from_millis(900);
/// Longest wait of a follower for a change.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// What an answer may take beyond that.
const FOLLOW_SLACK: Duration = Duration::from_millis(500);
/// Shortest pause between two questions; changes within it come together.
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);
/// Pause while there is nobody to follow.
const ALONE_PAUSE: Duration = Duration::from_millis(500);

/// Log of the changes of stores that this process read itself.
pub(crate) struct StoreRelay {
    desk: Arc<Desk>,
    log: u64,
    state: Mutex<RelayState>,
    latest: watch::Sender<u64>,
}

#[derive(Default)]
struct RelayState {
    first: u64,
    changes: VecDeque<(SocketAddr, PartChange)>,
    heard: BTreeMap<SocketAddr, (u64, Duration)>,
}

/// What a process read of a store.
pub(crate) struct StoreNews<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) changes: &'a PartChanges,
    /// Whether what was known of the store no longer holds.
    pub(crate) is_reset: bool,
}

impl StoreRelay {
    pub(crate) fn open(desk: Arc<Desk>) -> Arc<StoreRelay> {
        let (latest, _) = watch::channel(0);
        // 0 stands for no log.
        let log = rand::random::<u64>().max(1);
        Arc::new(StoreRelay { desk, log, state: Mutex::default(), latest })
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what this process read of a store.
    pub(crate) fn note(&self, news: &StoreNews<'_>) {
        let now = self.desk.now();
        let mut state = self.lock();
        state.heard.insert(news.address, (news.changes.epoch, now));
        if news.is_reset {
            // Followers start anew from all that the stores keep.
            state.first += state.changes.len() as u64 + 1;
            state.changes.clear();
        } else {
            let changes = news.changes.changes.iter().cloned();
            state.changes.extend(changes.map(|change| (news.address, change)));
        }
        while state.changes.len() > LOG_LIMIT {
            state.changes.pop_front();
            state.first += 1;
        }
        let end = state.first + state.changes.len() as u64;
        drop(state);
        self.latest.send_replace(end);
    }

    /// Changes after a place of the log, or all that the stores keep.
    pub(crate) async fn changes(&self, log: u64, since: u64, wait: Duration) -> StoreChanges {
        if log == self.log {
            let mut latest = self.latest.subscribe();
            // Nothing new within the wait is an answer too.
            let _ = tokio::time::timeout(wait, latest.wait_for(|end| *end > since)).await;
        }
        let whole = self.whole();
        let state = self.lock();
        let end = state.first + state.changes.len() as u64;
        let now = self.desk.now();
        let fresh = state.heard.iter().filter(|(_, (_, at))| now < *at + HEARD_LIMIT);
        let heard = fresh.map(|(address, (epoch, _))| (*address, *epoch)).collect();
        let is_known = log == self.log && (state.first..=end).contains(&since);
        let changes = if is_known {
            let skip = usize::try_from(since - state.first).unwrap_or(usize::MAX);
            let new = state.changes.iter().skip(skip);
            new.map(|(address, it)| (*address, it.scope.clone(), it.part.clone(), it.tokens))
                .collect()
        } else {
            whole
        };
        StoreChanges { log: self.log, next: end, is_whole: !is_known, heard, changes }
    }

    fn whole(&self) -> Vec<(SocketAddr, String, String, u64)> {
        let state = self.desk.lock();
        let stores = state.placement.parts.caches().filter(|(_, cache)| cache.is_store());
        let held = stores.flat_map(|(address, cache)| {
            cache
                .held()
                .map(|(key, tokens)| (*address, key.scope.clone(), key.part.clone(), tokens))
        });
        held.collect()
    }
}

/// Follows what a process that reads the stores tells, for as long as the task runs.
pub(crate) async fn follow_relay(
    desk: Arc<Desk>,
    rescue: Arc<PeerRescue>,
    follower: Arc<FleetFollower>,
) {
    let (mut log, mut since) = (0, 0);
    let mut turn = rand::random::<u32>() as usize;
    loop {
        let relays = follower.recorder.relays_to_follow();
        let (Some(network), false) = (rescue.network(), relays.is_empty()) else {
            tokio::time::sleep(ALONE_PAUSE).await;
            continue;
        };
        let relay = &relays[turn % relays.len()];
        let wait_ms = u64::try_from(FOLLOW_WAIT.as_millis()).unwrap_or(u64::MAX);
        let question = Question::Stores { log, since, wait_ms };
        // A question of numbers always serializes.
        let message = serde_json::to_vec(&question).unwrap_or_default();
        let answer = network.ask(relay, message, FOLLOW_WAIT + FOLLOW_SLACK).await;
        let reply = answer.ok().and_then(|answer| serde_json::from_slice(&answer).ok());
        match reply {
            Some(Reply::Stores(changes)) => {
                (log, since) = (changes.log, changes.next);
                apply(&desk, &changes);
            }
            _ => {
                turn += 1;
                log = 0;
            }
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

/// Takes in what a relay told. Only stores that it heard of just now count as heard of.
fn apply(desk: &Desk, changes: &StoreChanges) {
    let mut by_store: BTreeMap<SocketAddr, Vec<PartChange>> = BTreeMap::new();
    for (address, scope, part, tokens) in &changes.changes {
        let change = PartChange { scope: scope.clone(), part: part.clone(), tokens: *tokens };
        by_store.entry(*address).or_default().push(change);
    }
    let now = desk.now();
    let mut state = desk.lock();
    for (address, epoch) in &changes.heard {
        let news = PartChanges {
            epoch: *epoch,
            next: 0,
            has_gap: changes.is_whole,
            changes: by_store.remove(address).unwrap_or_default(),
        };
        state.placement.parts.apply(address, &news, now);
    }
    // Word of a store that the relay lost is of no use.
    for address in by_store.keys() {
        state.placement.parts.forget(address);
    }
}
