//! An in-memory network between entry processes, with partitions between data centres.

use async_trait::async_trait;
use skylarkpick_interface::{PeerError, PeerHandler, PeerNetwork};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

/// An in-memory network between entry processes, with partitions between data centres.
pub struct MemoryPeers {
    latency: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    endpoints: BTreeMap<String, Endpoint>,
    partitions: BTreeSet<(String, String)>,
    messages: u64,
    message_bytes: u64,
}

#[derive(Clone)]
struct Endpoint {
    data_centre: String,
    /// Set once the process listens.
    handler: Option<Weak<dyn PeerHandler>>,
    reachable: bool,
}

/// The connection of a process to the network.
struct MemoryPeer {
    network: Arc<MemoryPeers>,
    address: String,
}

impl MemoryPeers {
    /// Opens a network with a one-way latency.
    pub fn open(latency: Duration) -> Arc<MemoryPeers> {
        Arc::new(MemoryPeers { latency, state: Mutex::new(State::default()) })
    }

    /// Adds a process to the network, at its address and in its data centre.
    pub fn join(self: &Arc<MemoryPeers>, address: &str, data_centre: &str) -> Arc<dyn PeerNetwork> {
        let data_centre = data_centre.to_string();
        let endpoint = Endpoint { data_centre, handler: None, reachable: true };
        self.lock().endpoints.insert(address.to_string(), endpoint);
        Arc::new(MemoryPeer { network: self.clone(), address: address.to_string() })
    }

    /// Makes a process reachable or unreachable, to simulate a crash, a pause or a recovery.
    pub fn set_reachable(&self, address: &str, reachable: bool) {
        if let Some(endpoint) = self.lock().endpoints.get_mut(address) {
            endpoint.reachable = reachable;
        }
    }

    /// Partitions two data centres from each other.
    pub fn partition(&self, one: &str, other: &str) {
        self.lock().partitions.insert(pair(one, other));
    }

    /// Ends the partition between two data centres.
    pub fn heal(&self, one: &str, other: &str) {
        self.lock().partitions.remove(&pair(one, other));
    }

    /// Returns the number of messages and of bytes that were sent so far, responses included.
    pub fn traffic(&self) -> (u64, u64) {
        let state = self.lock();
        (state.messages, state.message_bytes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the handler of the process at `to`, if it is reachable from `from` now.
    fn reachable_handler(&self, from: &str, to: &str) -> Result<Arc<dyn PeerHandler>, PeerError> {
        let state = self.lock();
        let unreachable = || PeerError::Unreachable(format!("no connection to {to}"));
        let sender = state.endpoints.get(from).filter(|endpoint| endpoint.reachable);
        let receiver = state.endpoints.get(to).filter(|endpoint| endpoint.reachable);
        let (sender, receiver) = sender.zip(receiver).ok_or_else(unreachable)?;
        if state.partitions.contains(&pair(&sender.data_centre, &receiver.data_centre)) {
            return Err(unreachable());
        }
        receiver.handler.as_ref().and_then(Weak::upgrade).ok_or_else(unreachable)
    }

    fn count(&self, size_bytes: usize) {
        let mut state = self.lock();
        state.messages += 1;
        state.message_bytes += size_bytes as u64;
    }
}

/// Returns the same pair for both orders of two data centres.
fn pair(one: &str, other: &str) -> (String, String) {
    if one <= other {
        (one.to_string(), other.to_string())
    } else {
        (other.to_string(), one.to_string())
    }
}

#[async_trait]
impl PeerNetwork for MemoryPeer {
    fn address(&self) -> String {
        self.address.clone()
    }

    fn listen(&self, handler: Weak<dyn PeerHandler>) {
        if let Some(endpoint) = self.network.lock().endpoints.get_mut(&self.address) {
            endpoint.handler = Some(handler);
        }
    }

    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError> {
        self.network.count(message.len());
        tokio::time::sleep(self.network.latency).await;
        let handler = self.network.reachable_handler(&self.address, address)?;
        handler.handle_message(message).await;
        Ok(())
    }

    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.network.count(message.len());
        let exchange = async {
            tokio::time::sleep(self.network.latency).await;
            let response = self
                .network
                .reachable_handler(&self.address, address)?
                .handle_request(message)
                .await;
            self.network.count(response.len());
            tokio::time::sleep(self.network.latency).await;
            // The response is lost if the processes were partitioned meanwhile.
            self.network.reachable_handler(&self.address, address)?;
            Ok(response)
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(PeerError::Timeout(timeout)))
    }
}
