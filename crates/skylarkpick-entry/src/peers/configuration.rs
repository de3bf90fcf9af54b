//! Brings new configurations in: from the platform as the watcher, else from a peer.

use super::view::PeersView;
use crate::{
    active_configuration::ActiveConfiguration,
    configuration_actor::{ConfigurationActor, Install},
};
use kameo::prelude::ActorRef;
use prost::Message;
use skylarkpick_config::{CONFIGURATION_KEY, ConfigurationRecord, unpack_record};
use skylarkpick_interface::{ConfigurationVersion, ObjectStore, ObjectVersion, PeerNetwork};
use skylarkpick_protocol::peer::{ConfigurationRequest, PeerMessage, peer_message::Body};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Time for a peer to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two attempts to catch up.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Peers asked in one attempt.
const FETCH_PEERS: usize = 3;
/// Time after which a process that is not the watcher looks whether it became it.
const ROLE_LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Slow reads of the platform, by a process that has peers, in reads of a process alone.
const POLL_FACTOR: u32 = 30;

/// What the followers of the configuration share.
#[derive(Clone)]
pub(super) struct Follower {
    pub(super) platform: Arc<dyn ObjectStore>,
    pub(super) network: Arc<dyn PeerNetwork>,
    pub(super) configuration: ActorRef<ConfigurationActor>,
    pub(super) in_force: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) view: watch::Receiver<Arc<PeersView>>,
    pub(super) poll: Duration,
}

impl Follower {
    /// Watches the configuration as long as this process is the one to do so.
    pub(super) async fn watch(self) {
        let mut seen: ObjectVersion = 0;
        loop {
            if !self.view.borrow().watches_configuration {
                tokio::time::sleep(ROLE_LOOK_INTERVAL).await;
                continue;
            }
            match self.platform.watch(CONFIGURATION_KEY, seen, self.poll).await {
                Ok(Some(object)) => {
                    seen = object.version;
                    self.offer(&object.value).await;
                }
                Ok(None) => {}
                Err(_) => tokio::time::sleep(self.poll).await,
            }
        }
    }

    /// Catches up with the newest version that gossip tells of.
    pub(super) async fn fetch(mut self) {
        loop {
            let view = self.view.borrow_and_update().clone();
            if view.newest_version > self.version() {
                self.fetch_once(&view).await;
                tokio::time::sleep(FETCH_INTERVAL).await;
            } else if self.view.changed().await.is_err() {
                return;
            }
        }
    }

    /// Reads the platform slowly, against whatever the other ways miss.
    pub(super) async fn read_slowly(self) {
        loop {
            tokio::time::sleep(self.poll * POLL_FACTOR).await;
            let alone = self.view.borrow().members.len() <= 1;
            if !alone {
                self.read_platform().await;
            }
        }
    }

    async fn fetch_once(&self, view: &PeersView) {
        for address in view.version_holders.iter().take(FETCH_PEERS) {
            if self.fetch_from(address).await {
                return;
            }
        }
        self.read_platform().await;
    }

    async fn fetch_from(&self, address: &str) -> bool {
        let request = ConfigurationRequest { version_in_force: self.version() };
        let message = PeerMessage { body: Some(Body::ConfigurationRequest(request)) };
        let answer = self.network.request(address, message.encode_to_vec(), FETCH_TIMEOUT).await;
        let Ok(answer) = answer else { return false };
        match PeerMessage::decode(answer.as_slice()).map(|message| message.body) {
            Ok(Some(Body::ConfigurationReply(reply))) if !reply.record.is_empty() => {
                match unpack_record(&reply.record) {
                    Ok(record) => self.install(record).await,
                    Err(error) => spdlog::error!("{}", error),
                }
                self.version() >= reply.version
            }
            _ => false,
        }
    }

    async fn read_platform(&self) {
        if let Ok(Some(object)) = self.platform.get(CONFIGURATION_KEY).await {
            self.offer(&object.value).await;
        }
    }

    fn version(&self) -> ConfigurationVersion {
        self.in_force.borrow().version
    }

    async fn install(&self, record: ConfigurationRecord) {
        // A stopped actor means that the process ends.
        let _ = self.configuration.ask(Install(record)).await;
    }

    async fn offer(&self, value: &[u8]) {
        match serde_json::from_slice::<ConfigurationRecord>(value) {
            Ok(record) => self.install(record).await,
            Err(error) => {
                spdlog::error!("a configuration cannot be read", kv: { error: });
            }
        }
    }
}
