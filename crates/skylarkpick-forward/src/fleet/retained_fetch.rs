//! Asks other processes for configurations and weights that the platform's store may have lost.

use super::topic_watch::FleetWatcher;
use crate::jitter::sleep_with_jitter;
use skylarkpick_interface::{FleetTopic, StoreEra};
use std::{sync::Arc, time::Duration};

/// Number of times that other processes are asked after a start or a return of the store. With each,
/// what a few processes know reaches several times as many.
const ROUNDS: u32 = 4;
/// Mean pause before each of them.
const ROUND_PAUSE: Duration = Duration::from_millis(300);
/// Number of attempts to find a process that responds. They last about as long as processes need to
/// find each other.
const ATTEMPTS_LIMIT: u32 = 20;
/// Time for which a process that knows a serving document waits for a first response before it rejects
/// requests by that document alone.
const FIRST_RESPONSE_LIMIT: Duration = Duration::from_secs(6);

/// Asks a few other processes for what they retain, at the start and after each return of the store, for
/// as long as the task runs.
pub(crate) async fn fetch_retained(watcher: Arc<FleetWatcher>) {
    tokio::join!(ask_after_returns(&watcher), limit_first_response(&watcher));
}

async fn ask_after_returns(watcher: &FleetWatcher) {
    let mut changes = watcher.records.subscribe();
    loop {
        let era = retained_era(watcher);
        let (mut rounds, mut attempts) = (0, 0);
        while rounds < ROUNDS && attempts < ATTEMPTS_LIMIT {
            sleep_with_jitter(ROUND_PAUSE).await;
            attempts += 1;
            let serving = watcher.records.serving_version();
            rounds +=
                u32::from(watcher.peer_client.fetch_retained(&watcher.records, serving).await);
        }
        // It can't fail: the records own the sender.
        let _ = changes.wait_for(|_| retained_era(watcher) > era).await;
    }
}

async fn limit_first_response(watcher: &FleetWatcher) {
    let mut changes = watcher.records.subscribe();
    // It can't fail: the records own the sender.
    let _ = changes.wait_for(|_| watcher.records.serving_version().is_some()).await;
    tokio::time::sleep(FIRST_RESPONSE_LIMIT).await;
    watcher.peer_client.note_asked_retained(false);
}

/// Returns the earliest era of the topics that are asked for.
fn retained_era(watcher: &FleetWatcher) -> StoreEra {
    let topics = [FleetTopic::Serving, FleetTopic::Weights];
    topics.map(|topic| watcher.records.revision(topic).era).into_iter().min().unwrap_or_default()
}
