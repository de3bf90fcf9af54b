//! Pool of connections to peers: one for each address, opened on first use.

use crate::authority::PEER_NAME;
use quinn::{Connection, Endpoint};
use skylarkpick_interface::PeerError;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::Mutex;

/// Number of addresses from which closed connections are removed before a new one is added.
const ADDRESSES_LIMIT: usize = 1_024;

/// Connection to one address. The lock is held while connecting, so that concurrent callers share
/// one connection attempt.
type Slot = Arc<Mutex<Option<Connection>>>;

/// Pool of connections to peers.
pub(crate) struct Connections {
    endpoint: Endpoint,
    timeout: Duration,
    slots: Mutex<BTreeMap<String, Slot>>,
}

impl Connections {
    pub(crate) fn open(endpoint: Endpoint, timeout: Duration) -> Connections {
        Connections { endpoint, timeout, slots: Mutex::default() }
    }

    /// Returns the open connection to an address, or opens one.
    pub(crate) async fn get(&self, address: &str) -> Result<Connection, PeerError> {
        let slot = self.slot(address).await;
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|open| open.close_reason().is_none()) {
            return Ok(connection.clone());
        }
        let connection = self.connect(address).await?;
        *held = Some(connection.clone());
        Ok(connection)
    }

    /// Closes a connection that timed out, so that the next message opens another.
    pub(crate) async fn discard(&self, address: &str, connection: &Connection) {
        connection.close(0_u32.into(), b"no answer");
        let slot = self.slot(address).await;
        let mut held = slot.lock().await;
        if held.as_ref().is_some_and(|open| open.stable_id() == connection.stable_id()) {
            *held = None;
        }
    }

    async fn slot(&self, address: &str) -> Slot {
        let mut slots = self.slots.lock().await;
        if slots.len() >= ADDRESSES_LIMIT && !slots.contains_key(address) {
            slots.retain(|_, slot| {
                let is_open = |held: &Option<Connection>| {
                    held.as_ref().is_some_and(|open| open.close_reason().is_none())
                };
                slot.try_lock().map_or(true, |held| is_open(&held))
            });
        }
        slots.entry(address.to_string()).or_default().clone()
    }

    async fn connect(&self, address: &str) -> Result<Connection, PeerError> {
        let unreachable = |reason: String| PeerError::Unreachable(format!("{address}: {reason}"));
        let socket_address: SocketAddr =
            address.parse().map_err(|_| unreachable("not an IP:port address".to_string()))?;
        let connecting = self
            .endpoint
            .connect(socket_address, PEER_NAME)
            .map_err(|error| unreachable(error.to_string()))?;
        let connected = tokio::time::timeout(self.timeout, connecting).await;
        let connection = connected.map_err(|_| PeerError::Timeout(self.timeout))?;
        connection.map_err(|error| unreachable(error.to_string()))
    }
}
