//! Handles messages of other entry processes.

use super::{
    messages::{Notice, PeerRequest, PeerResponse},
    relay::CacheRelay,
};
use crate::{
    client::serve_peer, fleet::FleetWatcher, forwarding::Forwarder, hand_over::ReachWatch,
    log::request_log, node_state::NodeState, streams::StreamKnowledge,
};
use async_trait::async_trait;
use skylarkpick_interface::{PeerHandler, PeerStream, StoreRevision};
use std::{sync::Arc, time::Duration};

/// Upper limit of the wait that a request specifies.
const WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Handles messages of other entry processes.
pub(crate) struct PeerMessageHandler {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) watcher: Arc<FleetWatcher>,
    pub(crate) relay: Arc<CacheRelay>,
    pub(crate) reach: Arc<ReachWatch>,
    /// Serves requests that others hand over; `None` in tests.
    pub(crate) forwarder: Option<Arc<Forwarder>>,
}

#[async_trait]
impl PeerHandler for PeerMessageHandler {
    async fn handle_message(&self, message: Vec<u8>) {
        match serde_json::from_slice::<Notice>(&message) {
            Ok(notice) => {
                self.watcher.peer_client.pass_on(&self.watcher.records, &notice);
                self.node_state.apply_notice(notice, Duration::ZERO);
            }
            Err(error) => {
                spdlog::warn!("invalid notice from another entry process", kv: { error: });
            }
        }
    }

    async fn handle_request(&self, message: Vec<u8>) -> Vec<u8> {
        let response = match serde_json::from_slice(&message) {
            Ok(request) => self.respond(request).await,
            Err(error) => {
                spdlog::warn!("invalid request from another entry process", kv: { error: });
                PeerResponse::Nothing
            }
        };
        // A response of strings and numbers always serializes.
        serde_json::to_vec(&response).unwrap_or_default()
    }

    async fn handle_stream(&self, stream: Box<dyn PeerStream>) {
        if let Some(forwarder) = &self.forwarder {
            serve_peer(stream, forwarder.clone()).await;
        }
    }
}

impl PeerMessageHandler {
    async fn respond(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Records { topic, since, era, wait_ms } => {
                let records = &self.watcher.records;
                records.note_heard_era(era.unwrap_or_default());
                let mut changes = records.subscribe();
                let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
                let since = || {
                    let known_era = records.revision(topic).era;
                    StoreRevision { era: era.unwrap_or(known_era), number: since }
                };
                let is_newer =
                    |_: &u64| records.revision(topic) > since() || records.is_disconnected(topic);
                // After the timeout the response contains no newer records, only their age.
                let _ = tokio::time::timeout(wait, changes.wait_for(is_newer)).await;
                records
                    .records_since(topic, since())
                    .map_or(PeerResponse::Nothing, PeerResponse::Records)
            }
            PeerRequest::Caches { log, since, notices_since, wait_ms } => {
                let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
                let notices = &self.watcher.peer_client.notices;
                let mut update = tokio::select! {
                    biased;
                    update = self.relay.changes(log, since, wait) => update,
                    () = notices.wait_for_newer(notices_since) => {
                        self.relay.changes(log, since, Duration::ZERO).await
                    }
                };
                let notices_since = if update.log == log { notices_since } else { 0 };
                (update.notices, update.notices_next) = notices.since(notices_since);
                PeerResponse::Caches(update)
            }
            PeerRequest::SoftwareHistory => {
                let state = self.node_state.lock();
                let history = state.software_versions.history(self.node_state.now());
                history.map_or(PeerResponse::Nothing, PeerResponse::SoftwareHistory)
            }
            PeerRequest::Reach { service } => {
                let is_reached = self.reach.serves(&service).await;
                request_log!("reach of a service told", kv: {
                    service = service.as_str(), is_reached,
                });
                PeerResponse::Reach { is_reached }
            }
            PeerRequest::Retained { serving_version } => {
                PeerResponse::Retained(self.watcher.records.retained(serving_version))
            }
            PeerRequest::StreamOrigin { stream, service, window } => {
                match self.node_state.stream_knowledge(stream, &service, window) {
                    StreamKnowledge::Began(origin) => PeerResponse::StreamBegan(origin),
                    StreamKnowledge::OnlyVersion(version) => {
                        PeerResponse::OnlySoftwareVersion(version)
                    }
                    StreamKnowledge::SeveralVersions => PeerResponse::SeveralSoftwareVersions,
                    StreamKnowledge::Nothing => PeerResponse::Nothing,
                }
            }
        }
    }
}
