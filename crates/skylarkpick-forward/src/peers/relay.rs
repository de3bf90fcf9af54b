//! Tells other entry processes what caches keep.
//!
//! A cache serves a dozen readers. In a larger fleet, two processes of each data centre read the
//! caches' events, and the others of that data centre follow one of them.

use super::{
    messages::{CacheEntry, CacheNews, Question, Reply},
    rescue::{PeerRescue, ask_peer},
};
use crate::{desk::Desk, fleet::FleetFollower};
use skylarkpick_interface::PartChanges;
use skylarkpick_schedule::PartFingerprint;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{Semaphore, watch};

/// Entries kept for followers; older ones are told by all that the caches keep. At the planned load
/// it holds some seconds.
const LOG_LIMIT: usize = 30_000;
/// Answers with all that the caches keep that are written at once: each takes a few megabytes at the
/// planned size.
const WHOLE_ANSWERS_LIMIT: usize = 2;
/// Time for which word of a store counts as new.
const HEARD_LIMIT: Duration = Duration::from_millis(900);
/// Longest wait of a follower for a change.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// What an answer may take beyond that; all that the caches keep takes a while on a slow link.
const FOLLOW_SLACK: Duration = Duration::from_millis(1_500);
/// Shortest pause between two questions; changes within it come together.
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);
/// Pause while there is nobody to follow.
const ALONE_PAUSE: Duration = Duration::from_millis(500);

/// Log of the changes of caches that this process reads itself.
pub(crate) struct CacheRelay {
    desk: Arc<Desk>,
    log: u64,
    state: Mutex<RelayState>,
    latest: watch::Sender<u64>,
    whole_answers: Semaphore,
}

/// One change of a cache.
#[derive(Clone, Copy, Debug)]
enum CacheChange {
    /// What was known of the cache no longer holds.
    Reset(SocketAddr),
    /// It keeps this many tokens of the part.
    Part(SocketAddr, PartFingerprint, u64),
}

#[derive(Default)]
struct RelayState {
    first: u64,
    entries: VecDeque<CacheChange>,
    heard: BTreeMap<SocketAddr, Duration>,
}

impl RelayState {
    fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

impl CacheRelay {
    pub(crate) fn open(desk: Arc<Desk>) -> Arc<CacheRelay> {
        let (latest, _) = watch::channel(0);
        // 0 stands for no log.
        let log = rand::random::<u64>().max(1);
        let whole_answers = Semaphore::new(WHOLE_ANSWERS_LIMIT);
        Arc::new(CacheRelay { desk, log, state: Mutex::default(), latest, whole_answers })
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what this process read of a cache.
    pub(crate) fn note(&self, address: SocketAddr, changes: &PartChanges, is_reset: bool) {
        let mut state = self.lock();
        state.heard.insert(address, self.desk.now());
        if is_reset {
            state.entries.push_back(CacheChange::Reset(address));
        }
        state.entries.extend(changes.changes.iter().map(|change| {
            let part = PartFingerprint::of(&change.scope, &change.part);
            CacheChange::Part(address, part, change.tokens)
        }));
        self.publish(state);
    }

    /// Notes that a cache gives no word any more.
    pub(crate) fn note_lost(&self, address: SocketAddr) {
        let mut state = self.lock();
        state.heard.remove(&address);
        state.entries.push_back(CacheChange::Reset(address));
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

    /// Changes after a place of the log, or all that the caches keep.
    pub(crate) async fn changes(&self, log: u64, since: u64, wait: Duration) -> CacheNews {
        if log == self.log {
            let mut latest = self.latest.subscribe();
            // Nothing new within the wait is an answer too.
            let _ = tokio::time::timeout(wait, latest.wait_for(|end| *end > since)).await;
        }
        let next = self.lock().end();
        let is_known = log == self.log && (self.lock().first..=next).contains(&since);
        // The semaphore is never closed.
        let _place = if is_known { None } else { self.whole_answers.acquire().await.ok() };
        let changes = if is_known { self.changes_since(since) } else { self.all_kept() };
        let (caches, entries) = shorten(&changes);
        let fresh_stores = self.fresh_stores();
        CacheNews { log: self.log, next, is_whole: !is_known, fresh_stores, caches, entries }
    }

    fn changes_since(&self, since: u64) -> Vec<CacheChange> {
        let state = self.lock();
        let skip = usize::try_from(since.saturating_sub(state.first)).unwrap_or(usize::MAX);
        state.entries.iter().skip(skip).copied().collect()
    }

    fn all_kept(&self) -> Vec<CacheChange> {
        let state = self.desk.lock();
        let caches = state.placement.parts.caches();
        let kept = caches.flat_map(|(address, cache)| {
            cache.held().map(|(part, tokens)| CacheChange::Part(*address, part, tokens))
        });
        kept.collect()
    }

    fn fresh_stores(&self) -> Vec<SocketAddr> {
        let desk = self.desk.lock();
        let now = self.desk.now();
        let state = self.lock();
        let heard = state.heard.iter().filter(|(_, at)| now < **at + HEARD_LIMIT);
        let is_store = |address: &SocketAddr| {
            desk.placement.parts.cache(address).is_some_and(|cache| cache.is_store())
        };
        heard.map(|(address, _)| *address).filter(is_store).collect()
    }
}

/// Names each cache once.
fn shorten(changes: &[CacheChange]) -> (Vec<SocketAddr>, Vec<CacheEntry>) {
    let mut caches = Vec::new();
    let mut places: HashMap<SocketAddr, u32> = HashMap::new();
    let mut place = |address: SocketAddr| {
        *places.entry(address).or_insert_with(|| {
            caches.push(address);
            // A fleet has far fewer caches.
            u32::try_from(caches.len() - 1).unwrap_or(u32::MAX)
        })
    };
    let entries = changes.iter().map(|change| match change {
        CacheChange::Reset(address) => CacheEntry(place(*address), None, 0),
        CacheChange::Part(address, part, tokens) => {
            CacheEntry(place(*address), Some(part.0), *tokens)
        }
    });
    let entries = entries.collect();
    (caches, entries)
}

/// Follows what a process that reads the caches tells, for as long as the task runs.
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
        let question = Question::Caches { log, since, wait_ms };
        match ask_peer(&**network, relay, &question, FOLLOW_WAIT + FOLLOW_SLACK).await {
            Ok(Reply::Caches(news)) => {
                (log, since) = (news.log, news.next);
                apply(&desk, news);
            }
            Ok(_) => turn += 1,
            Err(why) => {
                spdlog::info!("no word of caches from another entry process", kv: {
                    address = relay.as_str(), why = why.as_str(),
                });
                turn += 1;
                log = 0;
            }
        }
        tokio::time::sleep(FOLLOW_PAUSE).await;
    }
}

/// Takes in what a relay told. Only stores that it heard of just now count as heard of.
pub(super) fn apply(desk: &Desk, news: CacheNews) {
    let now = desk.now();
    let epoch = news.log;
    let told = PartChanges { epoch, next: 0, has_gap: false, changes: Vec::new() };
    let mut state = desk.lock();
    let parts = &mut state.placement.parts;
    if news.is_whole {
        let known: Vec<SocketAddr> = parts.caches().map(|(address, _)| *address).collect();
        for address in known {
            parts.forget(&address);
            parts.apply(&address, &told, now);
        }
    }
    for CacheEntry(place, part, tokens) in news.entries {
        let address = usize::try_from(place).ok().and_then(|place| news.caches.get(place));
        match (address, part) {
            (Some(address), Some(part)) => {
                parts.apply_peer_change(address, epoch, PartFingerprint(part), tokens);
            }
            (Some(address), None) => parts.forget(address),
            (None, _) => spdlog::warn!("a change of a cache that its message does not name"),
        }
    }
    for address in &news.fresh_stores {
        parts.apply(address, &told, now);
    }
}
