//! Takes messages of peers in.

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
use skylarkpick_config::{ConfigurationRecord, pack_record};
use skylarkpick_interface::PeerHandler;
use skylarkpick_protocol::peer::{
    ConfigurationReply, ConfigurationRequest, PeerMessage, peer_message::Body,
};
use std::sync::{Arc, OnceLock};
use tokio::sync::watch;

/// Takes messages of peers in.
pub(super) struct Inbox {
    pub(super) membership: ActorRef<MembershipActor>,
    pub(super) in_force: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) directory: OnceLock<Arc<dyn DirectoryShard>>,
    pub(super) retention: OnceLock<ActorRef<RetentionActor>>,
}

impl Inbox {
    fn configuration(&self, request: &ConfigurationRequest) -> ConfigurationReply {
        let in_force = self.in_force.borrow().clone();
        if in_force.version <= request.version_in_force {
            return ConfigurationReply::default();
        }
        // The history stays with the platform; whoever patches reads it there.
        let record = ConfigurationRecord {
            version: in_force.version,
            history: Vec::new(),
            configuration: in_force.configuration.clone(),
        };
        pack_record(&record).map_or_else(
            |_| ConfigurationReply::default(),
            |record| ConfigurationReply { version: in_force.version, record },
        )
    }

    async fn answer(&self, body: Option<Body>) -> Option<Body> {
        match body {
            Some(Body::ConfigurationRequest(request)) => {
                Some(Body::ConfigurationReply(self.configuration(&request)))
            }
            Some(Body::DirectoryLookup(lookup)) => {
                let answer = self.directory.get()?.look_up(lookup).await;
                Some(Body::DirectoryAnswer(answer))
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
                // A stopped actor means that the process ends.
                let _ = self.membership.tell(Receive(message)).await;
                None
            }
        }
    }
}

#[async_trait]
impl PeerHandler for Inbox {
    async fn handle_message(&self, message: Vec<u8>) {
        self.handle_request(message).await;
    }

    async fn handle_request(&self, message: Vec<u8>) -> Vec<u8> {
        let Ok(message) = PeerMessage::decode(message.as_slice()) else {
            spdlog::warn!("a peer sent a message that cannot be read");
            return Vec::new();
        };
        let body = self.answer(message.body).await;
        PeerMessage { body }.encode_to_vec()
    }
}
