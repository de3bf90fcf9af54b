//! Follows one topic of the platform's records.

use super::record::Recorder;
use crate::peers::PeerRescue;
use skylarkpick_interface::{FeedError, FleetSource, FleetTopic};
use std::{sync::Arc, time::Duration};

/// Longest wait of a watch. A watch whose connection went silent is noticed a second later, within
/// the time that a leaving target still serves.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// The same for entry processes, which change seldom and bind no request.
const ENTRIES_WATCH_WAIT: Duration = Duration::from_secs(12);
/// Pause after a failed call, on average.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What followers of topics share.
pub(crate) struct FleetFollower {
    pub(crate) source: Arc<dyn FleetSource>,
    pub(crate) recorder: Recorder,
    pub(crate) rescue: Arc<PeerRescue>,
}

/// Follows a topic for as long as the task runs.
pub(crate) async fn follow_topic(follower: Arc<FleetFollower>, topic: FleetTopic) {
    let mut is_lost = false;
    loop {
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

/// Follows changes until the platform no longer keeps those since the last one.
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
    loop {
        match follower.source.changes(topic, revision, wait).await {
            Ok(news) => {
                note_success(follower, topic, is_lost);
                follower.recorder.update(topic, &news);
                revision = news.revision;
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
        spdlog::warn!("platform lost", kv: { topic:, error: });
    }
}

fn note_success(follower: &FleetFollower, topic: FleetTopic, is_lost: &mut bool) {
    follower.recorder.note_heard();
    if std::mem::replace(is_lost, false) {
        spdlog::info!("platform regained", kv: { topic: });
    }
}

/// Pauses between half and one and a half of the usual time, so that processes do not call together.
async fn pause() {
    tokio::time::sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
}
