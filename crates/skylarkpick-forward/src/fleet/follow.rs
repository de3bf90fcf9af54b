//! Follows one topic of the platform's records.

use super::record::Recorder;
use crate::{jitter::sleep_with_jitter, peers::PeerRescue};
use skylarkpick_interface::{FleetSource, FleetTopic, WatchError};
use skylarkpick_telemetry::{FEEDS_LOST, metrics};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Longest wait of a watch. A watch whose connection went silent is noticed a second later, within
/// the time that a leaving target still serves.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// The same for entry processes, which change seldom and bind no request.
const ENTRIES_WATCH_WAIT: Duration = Duration::from_secs(12);
/// Pause after a change among the entry processes.
const ENTRIES_PAUSE: Duration = Duration::from_millis(700);
/// Longest wait of a relay's watch for what has to be in force within three seconds: by the age of its
/// last answer its followers know early that it is cut off.
const RELAYED_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for news from a relay.
const RELAY_WAIT: Duration = Duration::from_millis(1_200);
/// Shortest such wait.
const RELAY_WAIT_FLOOR: Duration = Duration::from_millis(50);
/// Age from which what a relay tells is not relied on: its watch has had no answer.
const RELAY_AGE_LIMIT: Duration = Duration::from_millis(3_800);
/// The same for what has to be in force within three seconds; the rest is for reading it elsewhere.
const URGENT_RELAY_AGE_LIMIT: Duration = Duration::from_millis(1_900);
/// The same for entry processes, whose watch may be silent for as long as it waits.
const ENTRIES_RELAY_AGE_LIMIT: Duration = Duration::from_secs(15);
/// Pause of a relay after a change among the targets: each heartbeat of a target is one.
const RELAYED_TARGETS_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a follower reads the platform itself after its relays were cut off.
const DIRECT_SPAN: Duration = Duration::from_secs(6);
/// Pause after a failed call, on average.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Failed readings up to which a follower retries as soon: a configuration has three seconds to be in
/// force, and its kept connection may be one to a part of the platform that was replaced.
const PROMPT_RETRIES: u32 = 3;
/// The same for a follower after that: its relays hear of the platform's return first.
const FOLLOWER_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// What followers of topics share.
pub(crate) struct FleetFollower {
    pub(crate) source: Arc<dyn FleetSource>,
    pub(crate) recorder: Recorder,
    pub(crate) rescue: Arc<PeerRescue>,
}

/// Follows a topic for as long as the task runs: through another entry process where there are
/// many, else at the platform.
pub(crate) async fn follow_topic(follower: Arc<FleetFollower>, topic: FleetTopic) {
    let mut is_lost = false;
    // Failed readings one after the other.
    let mut failures = 0;
    loop {
        // A first failure may be that of a kept connection, and says nothing of the platform.
        if failures == 0 || failures >= PROMPT_RETRIES {
            follow_relays(&follower, topic).await;
        }
        let news = match follower.source.read(topic).await {
            Ok(news) => news,
            Err(error) => {
                note_failure(&follower, topic, &error, &mut is_lost);
                follower.rescue.ask(&follower.recorder, topic).await;
                failures += 1;
                pause(&follower, failures).await;
                continue;
            }
        };
        note_success(&follower, topic, &mut is_lost);
        follower.recorder.replace(topic, &news);
        let are_relays_old = !follower.recorder.relays_to_follow().is_empty();
        let span = if are_relays_old { DIRECT_SPAN } else { Duration::ZERO };
        let until = Instant::now() + span;
        let has_failed = follow_changes(&follower, topic, news.revision, until, &mut is_lost).await;
        failures = u32::from(has_failed);
    }
}

/// Follows a topic through the processes that read it, as long as what one of them tells is new.
async fn follow_relays(follower: &FleetFollower, topic: FleetTopic) {
    let limit = relay_age_limit(topic);
    let mut known_age = Duration::ZERO;
    let mut answered = None;
    loop {
        let mut is_fresh = false;
        let mut relays = follower.recorder.relays_to_follow();
        // One that gives no answer costs a second; it is not asked before one that does.
        relays.sort_by_key(|relay| Some(relay) != answered.as_ref());
        for relay in relays {
            let recorder = &follower.recorder;
            let wait = relay_wait(known_age, limit);
            let age = follower.rescue.ask_one(&relay, recorder, topic, wait).await;
            if let Some(age) = age.filter(|age| *age < limit) {
                recorder.note_newest(topic, age);
                recorder.note_heard();
                known_age = age;
                answered = Some(relay);
                is_fresh = true;
                break;
            }
            // The next one is asked for what it knows now.
            known_age = limit;
        }
        if !is_fresh {
            return;
        }
    }
}

fn relay_age_limit(topic: FleetTopic) -> Duration {
    match topic {
        FleetTopic::Serving | FleetTopic::Targets => URGENT_RELAY_AGE_LIMIT,
        FleetTopic::Weights => RELAY_AGE_LIMIT,
        FleetTopic::Entries => ENTRIES_RELAY_AGE_LIMIT,
    }
}

/// How long a process that told records of this age is asked to wait for newer ones: its answer
/// without any comes when they are too old.
pub(super) fn relay_wait(age: Duration, limit: Duration) -> Duration {
    limit.saturating_sub(age).clamp(RELAY_WAIT_FLOOR, RELAY_WAIT)
}

fn watch_wait(follower: &FleetFollower, topic: FleetTopic) -> Duration {
    let is_relay = follower.recorder.is_relay();
    match topic {
        FleetTopic::Entries => ENTRIES_WATCH_WAIT,
        FleetTopic::Serving | FleetTopic::Targets if is_relay => RELAYED_WATCH_WAIT,
        _ => WATCH_WAIT,
    }
}

/// Pause in which further changes of a topic come together.
fn pause_after(follower: &FleetFollower, topic: FleetTopic) -> Duration {
    let is_relay = follower.recorder.is_relay();
    match topic {
        // Processes start together.
        FleetTopic::Entries => ENTRIES_PAUSE,
        FleetTopic::Targets if is_relay => RELAYED_TARGETS_PAUSE,
        _ => Duration::ZERO,
    }
}

/// Follows changes until the platform no longer keeps those since the last one, or until other
/// processes are to be followed, which is not before `until`. Gives whether a call of a follower
/// failed.
async fn follow_changes(
    follower: &FleetFollower,
    topic: FleetTopic,
    mut revision: u64,
    until: Instant,
    is_lost: &mut bool,
) -> bool {
    let is_own_reader = || follower.recorder.relays_to_follow().is_empty();
    while Instant::now() < until || is_own_reader() {
        let wait = watch_wait(follower, topic);
        match follower.source.changes(topic, revision, wait).await {
            Ok(news) => {
                note_success(follower, topic, is_lost);
                follower.recorder.update(topic, &news);
                revision = news.revision;
                tokio::time::sleep(pause_after(follower, topic)).await;
            }
            Err(WatchError::HistoryCompacted) => {
                spdlog::info!("changes are no longer kept", kv: { topic:, revision });
                return false;
            }
            Err(error) => {
                note_failure(follower, topic, &error, is_lost);
                follower.rescue.ask(&follower.recorder, topic).await;
                revision = revision.max(follower.recorder.revision(topic));
                pause(follower, PROMPT_RETRIES - 1).await;
                if !is_own_reader() {
                    return true;
                }
            }
        }
    }
    false
}

fn note_failure(
    follower: &FleetFollower,
    topic: FleetTopic,
    error: &WatchError,
    is_lost: &mut bool,
) {
    follower.recorder.note_lost(topic);
    if !std::mem::replace(is_lost, true) {
        metrics().count(&FEEDS_LOST, &[("topic", &topic.to_string())]);
        spdlog::warn!("platform lost", kv: { topic:, error: });
    }
}

fn note_success(follower: &FleetFollower, topic: FleetTopic, is_lost: &mut bool) {
    follower.recorder.note_heard();
    follower.recorder.note_newest(topic, Duration::ZERO);
    if std::mem::replace(is_lost, false) {
        spdlog::info!("platform regained", kv: { topic: });
    }
}

async fn pause(follower: &FleetFollower, failures: u32) {
    let is_own_reader = follower.recorder.relays_to_follow().is_empty();
    let is_prompt = is_own_reader || failures < PROMPT_RETRIES;
    let usual = if is_prompt { RETRY_PAUSE } else { FOLLOWER_RETRY_PAUSE };
    sleep_with_jitter(usual).await;
}
