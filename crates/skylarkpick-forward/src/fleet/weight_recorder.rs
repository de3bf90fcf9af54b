//! Records at the platform since when new weights are desired, for processes that start later.

use super::{topic_watch::FleetWatcher, weights_changes::WeightsChange};
use crate::jitter::sleep_with_jitter;
use skylarkpick_interface::DesiredSinceOutcome;
use std::{sync::Arc, time::Duration};
use tokio::task::JoinSet;

/// Maximum delay before the time is recorded. Processes that see the change together mostly find it
/// recorded by the first of them.
const RECORD_JITTER: Duration = Duration::from_millis(300);
/// Number of attempts to record a time. With their delays they last about as long as replaced weights
/// may be used.
const ATTEMPTS_LIMIT: u32 = 6;
/// Mean delay after the first failed attempt; doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time in which a process that saw a change records it, before one that found the weights at its
/// start does: longer than the jitter and a call to the platform together.
const FOUND_DELAY: Duration = Duration::from_millis(500);

/// Records the times of weights whose change this process saw, or which it found at its start
/// without a time while others are still served, for as long as the task runs.
pub(crate) async fn record_weights(watcher: Arc<FleetWatcher>) {
    let mut recordings = JoinSet::new();
    loop {
        let (changes, delay) = tokio::select! {
            changes = watcher.records.weights_changes() => (changes, Duration::ZERO),
            found = watcher.records.weights_found() => (found, FOUND_DELAY),
        };
        while recordings.try_join_next().is_some() {}
        for change in changes {
            let watcher = watcher.clone();
            recordings.spawn(async move {
                tokio::time::sleep(delay).await;
                if delay.is_zero() || watcher.records.is_older_served(&change) {
                    record(&watcher, &change).await;
                }
            });
        }
    }
}

async fn record(watcher: &FleetWatcher, change: &WeightsChange) {
    // Followers leave it to their relays, which limits the calls to the platform.
    if !watcher.records.relays().is_empty() {
        return;
    }
    let WeightsChange { model, version, since_ms } = change;
    let (model, version, since_ms) = (model.as_str(), *version, *since_ms);
    tokio::time::sleep(RECORD_JITTER.mul_f64(rand::random::<f64>())).await;
    let mut delay = RETRY_DELAY;
    for attempt in 1..=ATTEMPTS_LIMIT {
        if watcher.records.has_desired_since(change) {
            return;
        }
        match watcher.source.record_desired_since(model, version, since_ms).await {
            Ok(outcome) => {
                let is_recorded = outcome == DesiredSinceOutcome::Recorded;
                spdlog::info!("time of desired weights recorded", kv: {
                    model, version, since_ms, attempt, is_recorded,
                });
                return;
            }
            Err(error) => {
                spdlog::warn!("failed to record the time of desired weights", kv: {
                    model, version, since_ms, attempt, attempts_limit = ATTEMPTS_LIMIT, error:,
                });
            }
        }
        if attempt < ATTEMPTS_LIMIT {
            sleep_with_jitter(delay).await;
            delay *= 2;
        }
    }
}
