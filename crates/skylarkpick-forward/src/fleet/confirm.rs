//! Asks the platform, or else other entry processes, for the newest serving document before a request is refused for good.

use super::follow::FleetFollower;
use skylarkpick_interface::FleetTopic;
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// Time for which an answer of the platform counts as new.
const CONFIRMED_FOR: Duration = Duration::from_millis(250);
/// Age up to which the document is the newest but for what a watch tells within milliseconds: a
/// watch is answered at least this often.
const WATCHED_FOR: Duration = Duration::from_millis(2_700);
/// Longest wait for the platform.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks the platform for the newest serving document, one call at a time.
#[derive(Clone)]
pub(crate) struct ServingConfirmer {
    follower: Arc<FleetFollower>,
    confirmed_at: Arc<Mutex<Option<Instant>>>,
}

impl ServingConfirmer {
    pub(crate) fn open(follower: Arc<FleetFollower>) -> ServingConfirmer {
        ServingConfirmer { follower, confirmed_at: Arc::default() }
    }

    /// Takes over the newest document; gives whether the platform or another entry process
    /// answered.
    pub(crate) async fn confirm(&self) -> bool {
        let age = self.follower.recorder.age(FleetTopic::Serving);
        if age.is_some_and(|age| age < WATCHED_FOR) {
            return true;
        }
        let asked_at = Instant::now();
        let mut confirmed_at = self.confirmed_at.lock().await;
        if confirmed_at.is_some_and(|at| asked_at < at + CONFIRMED_FOR) {
            return true;
        }
        let read = self.follower.source.read(FleetTopic::Serving);
        match tokio::time::timeout(CONFIRM_TIMEOUT, read).await {
            Ok(Ok(news)) => {
                self.follower.recorder.replace(FleetTopic::Serving, &news);
                *confirmed_at = Some(asked_at);
                true
            }
            _ => self.follower.rescue.ask(&self.follower.recorder, FleetTopic::Serving).await,
        }
    }
}
