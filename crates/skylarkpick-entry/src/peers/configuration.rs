//! Fetches new configurations: one process of each data centre watches the platform, the others
//! fetch from a peer once gossip reports a newer version, and poll the platform as a fallback.

use super::view::PeersView;
use crate::{
    active_configuration::ActiveConfiguration,
    configuration_actor::{ConfigurationActor, Install},
};
use kameo::prelude::ActorRef;
use prost::Message;
use skylarkpick_config::{CONFIGURATION_KEY, ConfigurationRecord, decode_record};
use skylarkpick_interface::{ConfigurationVersion, ObjectStore, PeerNetwork, StoreRevision};
use skylarkpick_protocol::peer::{ConfigurationRequest, PeerMessage, peer_message::Body};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Response timeout of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two attempts to fetch a newer version.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Number of peers queried in one attempt before the platform is read.
const FETCH_PEERS: usize = 3;
/// Interval at which a process checks whether it has become the watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the fallback poll, in multiples of the configured poll interval.
const FALLBACK_POLL_FACTOR: u32 = 30;

/// Keeps the configuration of this process up to date.
#[derive(Clone)]
pub(super) struct ConfigurationFollower {
    pub(super) platform: Arc<dyn ObjectStore>,
    pub(super) network: Arc<dyn PeerNetwork>,
    pub(super) configuration: ActorRef<ConfigurationActor>,
    pub(super) active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) view: watch::Receiver<Arc<PeersView>>,
    pub(super) poll_interval: Duration,
}

impl ConfigurationFollower {
    /// Watches the platform while this process holds the watcher role of its data centre.
    pub(super) async fn watch_platform(self) {
        let mut seen = StoreRevision::default();
        loop {
            if !self.view.borrow().watches_configuration {
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            match self.platform.watch(CONFIGURATION_KEY, seen, self.poll_interval).await {
                Ok(Some(object)) => {
                    seen = object.version;
                    self.install_encoded(&object.value).await;
                }
                Ok(None) => {}
                Err(_) => tokio::time::sleep(self.poll_interval).await,
            }
        }
    }

    /// Fetches the newest version that gossip reports, from its holders or else from the platform.
    pub(super) async fn fetch_newer_versions(mut self) {
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

    /// Polls the platform at a long interval, in case the watch and gossip both miss a version. A
    /// process without peers always holds the watcher role and needs no fallback.
    pub(super) async fn poll_platform(self) {
        loop {
            tokio::time::sleep(self.poll_interval * FALLBACK_POLL_FACTOR).await;
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
        let response = self.network.request(address, message.encode_to_vec(), FETCH_TIMEOUT).await;
        let Ok(response) = response else { return false };
        match PeerMessage::decode(response.as_slice()).map(|message| message.body) {
            Ok(Some(Body::ConfigurationReply(reply))) if !reply.record.is_empty() => {
                match decode_record(&reply.record) {
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
            self.install_encoded(&object.value).await;
        }
    }

    fn version(&self) -> ConfigurationVersion {
        self.active_configuration.borrow().version
    }

    async fn install(&self, record: ConfigurationRecord) {
        // Fails only while the process is exiting.
        let _ = self.configuration.ask(Install(record)).await;
    }

    async fn install_encoded(&self, value: &[u8]) {
        match serde_json::from_slice::<ConfigurationRecord>(value) {
            Ok(record) => self.install(record).await,
            Err(error) => {
                spdlog::error!("failed to decode a configuration record", kv: { error: });
            }
        }
    }
}
