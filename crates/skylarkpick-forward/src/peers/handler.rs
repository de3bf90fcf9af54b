//! Answers what other entry processes ask.

use super::{
    messages::{Notice, Question, Reply},
    relay::CacheRelay,
};
use crate::{desk::Desk, fleet::FleetFollower, log::request_log};
use async_trait::async_trait;
use skylarkpick_interface::PeerHandler;
use std::{sync::Arc, time::Duration};

/// Longest wait that another process may ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Answers what other entry processes ask.
pub(crate) struct Handler {
    pub(crate) desk: Arc<Desk>,
    pub(crate) follower: Arc<FleetFollower>,
    pub(crate) relay: Arc<CacheRelay>,
}

#[async_trait]
impl PeerHandler for Handler {
    async fn handle_message(&self, message: Vec<u8>) {
        match serde_json::from_slice(&message) {
            Ok(Notice::Swapping { target, model, weight_version }) => {
                request_log!("target swaps its weights", kv: {
                    target = target.as_str(), model = model.as_str(), weight_version,
                });
                self.desk.note_swapping(&target, &model, weight_version);
            }
            Err(error) => {
                spdlog::warn!("a notice of another entry process is unreadable", kv: { error: });
            }
        }
    }

    async fn handle_request(&self, message: Vec<u8>) -> Vec<u8> {
        let reply = match serde_json::from_slice(&message) {
            Ok(question) => self.reply(question).await,
            Err(error) => {
                spdlog::warn!("a message of another entry process is unreadable", kv: { error: });
                Reply::Nothing
            }
        };
        // A reply of strings and numbers always serializes.
        serde_json::to_vec(&reply).unwrap_or_default()
    }
}

impl Handler {
    async fn reply(&self, question: Question) -> Reply {
        match question {
            Question::Records { topic, since, wait_ms } => {
                let recorder = &self.follower.recorder;
                let mut changes = recorder.changes();
                let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
                let is_newer =
                    |_: &u64| recorder.revision(topic) > since || recorder.is_lost(topic);
                // Nothing newer within the wait is an answer too.
                let _ = tokio::time::timeout(wait, changes.wait_for(is_newer)).await;
                recorder.newer_than(topic, since).map_or(Reply::Nothing, Reply::Records)
            }
            Question::Caches { log, since, wait_ms } => {
                let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
                Reply::Caches(self.relay.changes(log, since, wait).await)
            }
        }
    }
}
