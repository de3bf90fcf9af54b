//! Watches one topic of the platform's records, directly or through relays.

use super::{cache_role::CacheWatchRole, records::FleetRecords};
use crate::{jitter::sleep_with_jitter, peers::PeerClient};
use skylarkpick_interface::{FleetSource, FleetTopic, StoreEra, StoreRevision, WatchError};
use skylarkpick_telemetry::{FEEDS_LOST, metrics};
use std::{sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Maximum wait of a watch. A dead connection is detected 1 s later, while a draining target still
/// serves requests.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// The same for entry processes, which change rarely and don't affect requests.
const ENTRIES_WATCH_WAIT: Duration = Duration::from_secs(12);
/// Pause after a change of entry processes, in which changes accumulate: many start together.
const ENTRIES_PAUSE: Duration = Duration::from_millis(700);
/// Maximum wait of a relay's watch for topics that must take effect within 3 s. The age of the last
/// response tells its followers early that the relay is partitioned from the platform.
const RELAYED_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait of a follower's request to a relay.
const RELAY_WAIT: Duration = Duration::from_millis(1_200);
/// Minimum wait of such a request.
const RELAY_WAIT_FLOOR: Duration = Duration::from_millis(50);
/// Age from which a relay's records are stale, since its watch has had no response.
const RELAY_AGE_LIMIT: Duration = Duration::from_millis(3_800);
/// The same for topics that must take effect within 3 s; the rest of that time is for reading them
/// from another source.
const URGENT_RELAY_AGE_LIMIT: Duration = Duration::from_millis(1_900);
/// The same for entry processes, whose watch may wait for `ENTRIES_WATCH_WAIT` without a response.
const ENTRIES_RELAY_AGE_LIMIT: Duration = Duration::from_secs(15);
/// Pause of a relay after a change of targets, in which changes accumulate, as a share of the time
/// within which a draining target must get no more requests. Every heartbeat of a target is a change.
const RELAYED_TARGETS_PAUSE_SHARE: f64 = 0.15;
/// Time for which a follower watches the platform itself after its relays became stale.
const DIRECT_WATCH_PERIOD: Duration = Duration::from_secs(6);
/// Mean delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of failed reads up to which a follower retries after the same short delay. A
/// configuration must take effect within 3 s, and the failures may come from keep-alive connections
/// to a replaced part of the platform.
const PROMPT_RETRIES: u32 = 3;
/// Mean delay of a follower after further failures. Its relays detect the platform's return first.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Mean delay after the platform has not known the kind of the evacuations. Followers ask their relays,
/// so that 300 processes ask the platform a few times a second; the first evacuation is read in time.
const UNKNOWN_KIND_DELAY: Duration = Duration::from_millis(800);
/// Time beyond the wait of a watch after which it has no response, even if the VM was suspended: the
/// source's timers stand still meanwhile, the node time doesn't.
const SUSPENDED_WATCH_SLACK: Duration = Duration::from_millis(1_000);
/// Interval at which the node time is compared with the start of a watch.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which a process that starts waits to know its role before it reads from the
/// platform, so that a large fleet that starts together reads through its relays.
const ROLE_WAIT: Duration = Duration::from_secs(1);
/// Attempts of a process that starts to read through relays, which may be starting as well, and the
/// mean pause between them.
const START_ATTEMPTS: u32 = 6;
const START_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Shared state of the tasks that watch platform records.
pub(crate) struct FleetWatcher {
    pub(crate) source: Arc<dyn FleetSource>,
    pub(crate) records: FleetRecords,
    pub(crate) peer_client: Arc<PeerClient>,
}

/// Where a process with relays reads a topic first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FirstSource {
    Platform,
    Relays,
}

/// State of a topic's calls to the platform.
#[derive(Default)]
struct PlatformCalls {
    is_disconnected: bool,
    /// Latest era that another process named and that has led to a read.
    sought_era: StoreEra,
    /// Number of watches that ended with compacted changes since the last one that responded with some.
    compactions: u32,
    /// Fetch from other processes, at most one. It runs next to the calls, since processes may be as
    /// silent as the platform.
    fetch: JoinSet<()>,
}

/// Watches a topic from the start of the process on, for as long as the task runs.
pub(crate) async fn watch_topic_from_start(watcher: Arc<FleetWatcher>, topic: FleetTopic) {
    if topic != FleetTopic::Entries {
        read_relays_at_start(&watcher, topic).await;
    }
    // Without records, only an unavailable platform is a reason to take what may be stale.
    let has_records = watcher.records.age(topic).is_some();
    let first = if has_records { FirstSource::Relays } else { FirstSource::Platform };
    watch_topic(watcher, topic, first).await;
}

/// Watches a topic for as long as the task runs: through relays if the process is a follower, else
/// at the platform.
pub(super) async fn watch_topic(
    watcher: Arc<FleetWatcher>,
    topic: FleetTopic,
    mut first: FirstSource,
) {
    let mut calls = PlatformCalls::default();
    // Number of consecutive failed reads.
    let mut failures = 0;
    loop {
        // The first failures may come from stale keep-alive connections and don't mean that the
        // platform is unavailable.
        let source = std::mem::replace(&mut first, FirstSource::Relays);
        if (failures == 0 && source == FirstSource::Relays) || failures >= PROMPT_RETRIES {
            read_relays(&watcher, topic, None).await;
        }
        let began = watcher.records.now();
        let update = match watcher.source.read(topic).await {
            Ok(update) => update,
            Err(WatchError::UnknownKind) if topic == FleetTopic::Evacuations => {
                watcher.records.note_no_records(topic);
                sleep_with_jitter(UNKNOWN_KIND_DELAY).await;
                continue;
            }
            Err(error) => {
                if error == WatchError::UnknownKind {
                    watcher.records.note_no_records(topic);
                }
                note_failure(&watcher, topic, &error, &mut calls);
                failures += 1;
                delay_retry(&watcher, topic, failures).await;
                continue;
            }
        };
        note_success(&watcher, topic, &mut calls);
        watcher.records.replace(topic, &update);
        watcher.records.note_complete(topic, began);
        let are_relays_stale = !watcher.records.relays_for(topic).is_empty();
        let period = if are_relays_stale { DIRECT_WATCH_PERIOD } else { Duration::ZERO };
        let until = Instant::now() + period;
        let has_failed = watch_changes(&watcher, topic, update.revision, until, &mut calls).await;
        failures = u32::from(has_failed);
    }
}

/// Reads a topic through relays for as long as one of them returns current records, as soon as this
/// process knows them. It has no records yet, so it takes none from a relay whose own are stale.
async fn read_relays_at_start(watcher: &FleetWatcher, topic: FleetTopic) {
    let mut changes = watcher.records.subscribe();
    let knows_role = |_: &u64| watcher.records.cache_watch_role() != CacheWatchRole::Undecided;
    // After the timeout the platform is read.
    let _ = tokio::time::timeout(ROLE_WAIT, changes.wait_for(knows_role)).await;
    for _ in 0..START_ATTEMPTS {
        let relays = watcher.records.relays_for(topic);
        if relays.is_empty() {
            return;
        }
        for relay in relays {
            let age = watcher.peer_client.records_age(&relay, &watcher.records, topic).await;
            if age.is_some_and(|age| age < relay_age_limit(topic)) {
                read_relays(watcher, topic, Some(relay)).await;
                return;
            }
        }
        sleep_with_jitter(START_RETRY_DELAY).await;
    }
}

/// Reads a topic through relays, `first` before others, for as long as one of them returns current
/// records.
async fn read_relays(watcher: &FleetWatcher, topic: FleetTopic, first: Option<String>) {
    let limit = relay_age_limit(topic);
    let mut known_age = Duration::ZERO;
    let mut last_responder = first;
    loop {
        let mut is_fresh = false;
        let mut relays = watcher.records.relays_for(topic);
        // A relay that doesn't respond costs about a second, so the last one that did comes first.
        relays.sort_by_key(|relay| Some(relay) != last_responder.as_ref());
        for relay in relays {
            let records = &watcher.records;
            let wait = relay_wait(known_age, limit);
            let began = records.now();
            let age = watcher.peer_client.fetch_records(&relay, records, topic, wait).await;
            if let Some(age) = age.filter(|age| age.verified < limit) {
                records.note_current(topic, age.verified);
                records.note_followed(topic);
                if let Some(complete) = age.complete {
                    records.note_complete(topic, began.saturating_sub(complete));
                }
                records.note_response();
                known_age = age.verified;
                last_responder = Some(relay);
                is_fresh = true;
                break;
            }
            // The next relay must respond immediately with the records that it has.
            known_age = limit;
        }
        if !is_fresh {
            return;
        }
    }
}

fn relay_age_limit(topic: FleetTopic) -> Duration {
    match topic {
        FleetTopic::Serving | FleetTopic::Targets | FleetTopic::Evacuations => {
            URGENT_RELAY_AGE_LIMIT
        }
        FleetTopic::Weights => RELAY_AGE_LIMIT,
        FleetTopic::Entries => ENTRIES_RELAY_AGE_LIMIT,
    }
}

/// Returns how long a relay whose records have this age may wait for newer ones: if there are none,
/// its response arrives when the records become stale.
pub(super) fn relay_wait(age: Duration, limit: Duration) -> Duration {
    limit.saturating_sub(age).clamp(RELAY_WAIT_FLOOR, RELAY_WAIT)
}

fn watch_wait(watcher: &FleetWatcher, topic: FleetTopic) -> Duration {
    let is_relay = watcher.records.is_relay();
    match topic {
        FleetTopic::Entries => ENTRIES_WATCH_WAIT,
        FleetTopic::Serving | FleetTopic::Targets | FleetTopic::Evacuations if is_relay => {
            RELAYED_WATCH_WAIT
        }
        _ => WATCH_WAIT,
    }
}

/// Returns the pause after a change of a topic, in which further changes accumulate.
fn pause_after(watcher: &FleetWatcher, topic: FleetTopic) -> Duration {
    let is_relay = watcher.records.is_relay();
    match topic {
        FleetTopic::Entries => ENTRIES_PAUSE,
        FleetTopic::Targets if is_relay => {
            let drain = watcher.records.node_state.limits().drain;
            drain.mul_f64(RELAYED_TARGETS_PAUSE_SHARE)
        }
        _ => Duration::ZERO,
    }
}

/// Watches changes at the platform until it has compacted those since `revision`, or until the
/// process should read from relays again, which is not before `until`. Returns whether it ended
/// because a call failed in a process with relays.
async fn watch_changes(
    watcher: &Arc<FleetWatcher>,
    topic: FleetTopic,
    mut revision: StoreRevision,
    until: Instant,
    calls: &mut PlatformCalls,
) -> bool {
    let has_no_relays = || watcher.records.relays_for(topic).is_empty();
    while Instant::now() < until || has_no_relays() {
        let wait = watch_wait(watcher, topic);
        let began = watcher.records.now();
        let changes = tokio::select! {
            biased;
            changes = watcher.source.changes(topic, revision, wait) => changes,
            era = watcher.records.heard_later_era(revision.era.max(calls.sought_era)) => {
                calls.sought_era = era;
                spdlog::info!("another process names a later era; reading all records", kv: {
                    topic:, revision:, era,
                });
                return false;
            }
            () = suspended(watcher, topic, began + wait + SUSPENDED_WATCH_SLACK) => {
                spdlog::info!("watch without a response; reading all records", kv: { topic: });
                return false;
            }
        };
        match changes {
            Ok(update) => {
                note_success(watcher, topic, calls);
                calls.compactions = 0;
                watcher.records.update(topic, &update);
                watcher.records.note_complete(topic, began);
                revision = update.revision;
                tokio::time::sleep(pause_after(watcher, topic)).await;
            }
            Err(WatchError::HistoryCompacted) => {
                spdlog::info!("platform compacted its changes; reading all records", kv: {
                    topic:, revision:,
                });
                calls.compactions += 1;
                // A list whose changes are compacted at once would be followed by the next one.
                if calls.compactions > 1 {
                    sleep_with_jitter(RETRY_DELAY).await;
                }
                return false;
            }
            Err(WatchError::UnknownKind) if topic == FleetTopic::Evacuations => {
                sleep_with_jitter(RETRY_DELAY).await;
                return false;
            }
            Err(error) => {
                note_failure(watcher, topic, &error, calls);
                delay_retry(watcher, topic, PROMPT_RETRIES - 1).await;
                revision = revision.max(watcher.records.revision(topic));
                if !has_no_relays() {
                    return true;
                }
            }
        }
    }
    false
}

/// Records a failed call, and fetches records from other processes unless such a fetch runs.
fn note_failure(
    watcher: &Arc<FleetWatcher>,
    topic: FleetTopic,
    error: &WatchError,
    calls: &mut PlatformCalls,
) {
    watcher.records.note_disconnected(topic);
    while calls.fetch.try_join_next().is_some() {}
    if calls.fetch.is_empty() {
        let watcher = watcher.clone();
        calls.fetch.spawn(async move {
            watcher.peer_client.fetch_from_any(&watcher.records, topic).await;
        });
    }
    if !std::mem::replace(&mut calls.is_disconnected, true) {
        metrics().count(&FEEDS_LOST, &[("topic", &topic.to_string())]);
        spdlog::warn!("platform unavailable", kv: { topic:, error: });
    }
}

fn note_success(watcher: &FleetWatcher, topic: FleetTopic, calls: &mut PlatformCalls) {
    watcher.records.note_response();
    watcher.records.note_current(topic, Duration::ZERO);
    if std::mem::replace(&mut calls.is_disconnected, false) {
        spdlog::info!("platform available again", kv: { topic: });
    }
}

/// Waits until a watch of the evacuations is overdue by the node time. Never returns for other topics.
async fn suspended(watcher: &FleetWatcher, topic: FleetTopic, due: Duration) {
    if topic != FleetTopic::Evacuations {
        std::future::pending().await
    }
    while watcher.records.now() < due {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
    }
}

async fn delay_retry(watcher: &FleetWatcher, topic: FleetTopic, failures: u32) {
    let has_no_relays = watcher.records.relays_for(topic).is_empty();
    let is_prompt = has_no_relays || failures < PROMPT_RETRIES;
    let mean = if is_prompt { RETRY_DELAY } else { FOLLOWER_RETRY_DELAY };
    sleep_with_jitter(mean).await;
}
