//! The network between entry processes in memory, with cuts between data centres.

use async_trait::async_trait;
use skylarkpick_interface::{PeerError, PeerHandler, PeerNetwork};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

/// The network between entry processes in memory, with cuts between data centres.
pub struct MemoryPeers {
    latency: Duration,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    endpoints: BTreeMap<String, Endpoint>,
    cuts: BTreeSet<(String, String)>,
    messages: u64,
    message_bytes: u64,
}

#[derive(Clone)]
struct Endpoint {
    data_centre: String,
    handler: Option<Weak<dyn PeerHandler>>,
    reachable: bool,
}

/// One process's end of the network.
struct MemoryPeer {
    hub: Arc<MemoryPeers>,
    address: String,
}

impl MemoryPeers {
    /// Opens a network whose messages take `latency` one way.
    pub fn open(latency: Duration) -> Arc<MemoryPeers> {
        Arc::new(MemoryPeers { latency, state: Mutex::new(State::default()) })
    }

    /// Joins a process to the network, at its address and in its data centre.
    pub fn join(self: &Arc<MemoryPeers>, address: &str, data_centre: &str) -> Arc<dyn PeerNetwork> {
        let data_centre = data_centre.to_string();
        let endpoint = Endpoint { data_centre, handler: None, reachable: true };
        self.lock().endpoints.insert(address.to_string(), endpoint);
        Arc::new(MemoryPeer { hub: self.clone(), address: address.to_string() })
    }

    /// Makes a process reachable or not, as a death, a pause or a repair does.
    pub fn set_reachable(&self, address: &str, reachable: bool) {
        if let Some(endpoint) = self.lock().endpoints.get_mut(address) {
            endpoint.reachable = reachable;
        }
    }

    /// Cuts two data centres off from each other.
    pub fn partition(&self, one: &str, other: &str) {
        self.lock().cuts.insert(pair(one, other));
    }

    /// Heals the cut between two data centres.
    pub fn heal(&self, one: &str, other: &str) {
        self.lock().cuts.remove(&pair(one, other));
    }

    /// Messages and bytes that were sent so far.
    pub fn traffic(&self) -> (u64, u64) {
        let state = self.lock();
        (state.messages, state.message_bytes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The handler at `to`, if a message from `from` reaches it now.
    fn reach(&self, from: &str, to: &str) -> Result<Arc<dyn PeerHandler>, PeerError> {
        let state = self.lock();
        let unreachable = || PeerError::Unreachable(format!("no connection to {to}"));
        let sender = state.endpoints.get(from).filter(|endpoint| endpoint.reachable);
        let receiver = state.endpoints.get(to).filter(|endpoint| endpoint.reachable);
        let (sender, receiver) = sender.zip(receiver).ok_or_else(unreachable)?;
        if state.cuts.contains(&pair(&sender.data_centre, &receiver.data_centre)) {
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
        if let Some(endpoint) = self.hub.lock().endpoints.get_mut(&self.address) {
            endpoint.handler = Some(handler);
        }
    }

    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError> {
        self.hub.count(message.len());
        tokio::time::sleep(self.hub.latency).await;
        let handler = self.hub.reach(&self.address, address)?;
        handler.handle_message(message).await;
        Ok(())
    }

    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.hub.count(message.len());
        let exchange = async {
            tokio::time::sleep(self.hub.latency).await;
            let answer = self.hub.reach(&self.address, address)?.handle_request(message).await;
            self.hub.count(answer.len());
            tokio::time::sleep(self.hub.latency).await;
            self.hub.reach(&self.address, address)?;
            Ok(answer)
        };
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(PeerError::Timeout(timeout)))
    }
}
