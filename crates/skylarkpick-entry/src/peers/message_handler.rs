//! Handles messages that peers send.

use super::{
    directory_shard::DirectoryShard,
    membership_actor::{MembershipActor, Receive},
};
use crate::{
    active_configuration::ActiveConfiguration,
    streams::{ReleaseRun, RetentionActor},
};
use async_trait::async_trait;
use kameo::prelude::ActorRef;
use prost::Message;
use skylarkpick_config::{ConfigurationRecord, encode_record};
use skylarkpick_interface::PeerHandler;
use skylarkpick_protocol::peer::{
    ConfigurationReply, ConfigurationRequest, PeerMessage, peer_message::Body,
};
use std::sync::{Arc, OnceLock};
use tokio::sync::watch;

/// Dispatches a peer's message to the part of the process that it concerns.
pub(super) struct MessageHandler {
    pub(super) membership: ActorRef<MembershipActor>,
    pub(super) active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) directory: OnceLock<Arc<dyn DirectoryShard>>,
    pub(super) retention: OnceLock<ActorRef<RetentionActor>>,
}

impl MessageHandler {
    fn configuration(&self, request: &ConfigurationRequest) -> ConfigurationReply {
        let active_configuration = self.active_configuration.borrow().clone();
        if active_configuration.version <= request.version_in_force {
            return ConfigurationReply::default();
        }
        // The history stays at the platform, where a process that applies a patch reads it.
        let record = ConfigurationRecord {
            version: active_configuration.version,
            history: Vec::new(),
            configuration: active_configuration.configuration.clone(),
        };
        encode_record(&record).map_or_else(
            |_| ConfigurationReply::default(),
            |record| ConfigurationReply { version: active_configuration.version, record },
        )
    }

    async fn handle(&self, body: Option<Body>) -> Option<Body> {
        match body {
            Some(Body::ConfigurationRequest(request)) => {
                Some(Body::ConfigurationReply(self.configuration(&request)))
            }
            Some(Body::DirectoryLookup(lookup)) => {
                let holders = self.directory.get()?.look_up(lookup).await;
                Some(Body::DirectoryAnswer(holders))
            }
            Some(Body::RunTakenUp(taken_up)) => {
                self.retention.get()?.tell(ReleaseRun(taken_up.run_id.clone())).await.ok()?;
                Some(Body::RunTakenUp(taken_up))
            }
            Some(Body::DirectoryUpdate(update)) => {
                self.directory.get()?.update(update).await;
                None
            }
            other => {
                let message = PeerMessage { body: other };
                // Fails only while the process is exiting.
                let _ = self.membership.tell(Receive(message)).await;
                None
            }
        }
    }
}

#[async_trait]
impl PeerHandler for MessageHandler {
    async fn handle_message(&self, message: Vec<u8>) {
        self.handle_request(message).await;
    }

    async fn handle_request(&self, message: Vec<u8>) -> Vec<u8> {
        let Ok(message) = PeerMessage::decode(message.as_slice()) else {
            spdlog::warn!("failed to decode a message from a peer");
            return Vec::new();
        };
        let body = self.handle(message.body).await;
        PeerMessage { body }.encode_to_vec()
    }
}
