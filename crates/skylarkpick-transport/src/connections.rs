//! Connections to peers, one an address, made when first needed.

use crate::authority::PEER_NAME;
use quinn::{Connection, Endpoint};
use skylarkpick_interface::PeerError;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::Mutex;

/// Addresses that connections are kept to.
const ADDRESSES_LIMIT: usize = 1_024;

/// The place of one address; holding its lock makes others wait for the same connection.
type Slot = Arc<Mutex<Option<Connection>>>;

/// Connections to peers.
pub(crate) struct Connections {
    endpoint: Endpoint,
    timeout: Duration,
    slots: Mutex<BTreeMap<String, Slot>>,
}

impl Connections {
    pub(crate) fn open(endpoint: Endpoint, timeout: Duration) -> Connections {
        Connections { endpoint, timeout, slots: Mutex::default() }
    }

    /// The connection to an address, made now if there is none that works.
    pub(crate) async fn get(&self, address: &str) -> Result<Connection, PeerError> {
        let slot = self.slot(address).await;
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|one| one.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let connection = self.connect(address).await?;
        *held = Some(connection.clone());
        Ok(connection)
    }

    /// Gives a connection up that does not answer, so that the next message makes another.
    pub(crate) async fn give_up(&self, address: &str, connection: &Connection) {
        connection.close(0_u32.into(), b"no answer");
        let slot = self.slot(address).await;
        let mut held = slot.lock().await;
        if held.as_ref().is_some_and(|one| one.stable_id() == connection.stable_id()) {
            *held = None;
        }
    }

    async fn slot(&self, address: &str) -> Slot {
        let mut slots = self.slots.lock().await;
        if slots.len() >= ADDRESSES_LIMIT && !slots.contains_key(address) {
            slots.retain(|_, slot| {
                let works = |held: &Option<Connection>| {
                    held.as_ref().is_some_and(|one| one.close_reason().is_none())
                };
                slot.try_lock().map_or(true, |held| works(&held))
            });
        }
        slots.entry(address.to_string()).or_default().clone()
    }

    async fn connect(&self, address: &str) -> Result<Connection, PeerError> {
        let unreachable = |reason: String| PeerError::Unreachable(format!("{address}: {reason}"));
        let place: SocketAddr =
            address.parse().map_err(|_| unreachable("is no IP:port".to_string()))?;
        let connecting = self
            .endpoint
            .connect(place, PEER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        let connected = tokio::time::timeout(self.timeout, connecting).await;
        let connection = connected.map_err(|_| PeerError::Timeout(self.timeout))?;
        connection.map_err(|error| unreachable(error.to_string()))
    }
}
