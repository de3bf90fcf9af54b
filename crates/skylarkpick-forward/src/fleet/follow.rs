//! Follows one topic of the platform's records.

use super::record::Recorder;
use crate::peers::PeerRescue;
use skylarkpick_interface::{FeedError, FleetSource, FleetTopic};
use skylarkpick_telemetry::{FEEDS_LOST, metrics};
use std::{sync::Arc, time::Duration};

/// Longest wait of a watch. A watch whose connection went silent is noticed a second later, within
/// the time that a leaving target still serves.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// The same for entry processes, which change seldom and bind no request.
const ENTRIES_WATCH_WAIT: Duration = Duration::from_secs(12);
/// Pause after a change among the entry processes.
const ENTRIES_PAUSE: Duration = Duration::from_millis(700);
/// Longest wait for news of a process that reads the platform.
const RELAY_WAIT: Duration = Duration::from_millis(1_200);
/// Age from which what such a process tells is not relied on: its watch has had no answer.
const RELAY_AGE_LIMIT: Duration = Duration::from_millis(3_800);
/// Pause after a failed call, on average.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

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
    loop {
        if follow_relays(&follower, topic).await {
            continue;
        }
        let news = match follower.source.read(topic).await {
            Ok(news) => news,
            Err(error) => {
                note_failure(&follower, topic, &error, &mut is_lost);
                follower.rescue.ask(&follower.recorder, topic).await;
                pause().await;
                continue;
            }
        };
        note_success(&follower, topic, &mut is_lost);
        follower.recorder.replace(topic, &news);
        follow_changes(&follower, topic, news.revision, &mut is_lost).await;
    }
}

/// Follows a topic through the processes that read it, as long as what they tell is new. Gives
/// whether they told anything.
async fn follow_relays(follower: &FleetFollower, topic: FleetTopic) -> bool {
    let mut has_followed = false;
    loop {
        let relays = follower.recorder.relays_to_follow();
        let mut is_fresh = false;
        for relay in relays {
            let recorder = &follower.recorder;
            let age = follower.rescue.ask_one(&relay, recorder, topic, RELAY_WAIT).await;
            if let Some(age) = age.filter(|age| *age < RELAY_AGE_LIMIT) {
                recorder.note_newest(topic, age);
                recorder.note_heard();
                is_fresh = true;
                break;
            }
        }
        if !is_fresh {
            return has_followed;
        }
        has_followed = true;
    }
}

/// Follows changes until the platform no longer keeps those since the last one, or other processes
/// are to be followed.
async fn follow_changes(
    follower: &FleetFollower,
    topic: FleetTopic,
    mut revision: u64,
    is_lost: &mut bool,
) {
    let wait = match topic {
        FleetTopic::Entries => ENTRIES_WATCH_WAIT,
        _ => WATCH_WAIT,
    };
    while *is_lost || follower.recorder.relays_to_follow().is_empty() {
        match follower.source.changes(topic, revision, wait).await {
            Ok(news) => {
                note_success(follower, topic, is_lost);
                follower.recorder.update(topic, &news);
                revision = news.revision;
                if topic == FleetTopic::Entries {
                    // Processes start together; their registrations are taken in together.
                    tokio::time::sleep(ENTRIES_PAUSE).await;
                }
            }
            Err(FeedError::HistoryGone) => {
                spdlog::info!("changes are no longer kept", kv: { topic:, revision });
                return;
            }
            Err(error) => {
                note_failure(follower, topic, &error, is_lost);
                follower.rescue.ask(&follower.recorder, topic).await;
                revision = revision.max(follower.recorder.revision(topic));
                pause().await;
            }
        }
    }
}

fn note_failure(
    follower: &FleetFollower,
    topic: FleetTopic,
    error: &FeedError,
    is_lost: &mut bool,
) {
    follower.recorder.note_lost();
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

/// Pauses between half and one and a half of the usual time, so that processes do not call together.
async fn pause() {
    tokio::time::sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
}
