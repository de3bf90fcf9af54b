//! Pool of connections to peers: one for each address, opened on first use.

use crate::authority::PEER_NAME;
use quinn::{ClientConfig, Connection, Endpoint};
use skylarkpick_interface::PeerError;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::watch;

/// Number of addresses from which closed connections are removed before a new one is added.
const ADDRESSES_LIMIT: usize = 1_024;

/// Result of an attempt to connect to one address; `None` while it lasts.
type Attempt = watch::Receiver<Option<Result<Connection, PeerError>>>;

/// Pool of connections to peers.
pub(crate) struct Connections {
    endpoint: Endpoint,
    config: ClientConfig,
    timeout: Duration,
    /// Latest attempt for each address.
    attempts: Mutex<BTreeMap<String, Attempt>>,
}

impl Connections {
    pub(crate) fn open(endpoint: Endpoint, config: ClientConfig, timeout: Duration) -> Connections {
        Connections { endpoint, config, timeout, attempts: Mutex::default() }
    }

    /// Returns the open connection to an address, or opens one. Concurrent callers share one
    /// attempt, which goes on if they stop waiting.
    pub(crate) async fn get(&self, address: &str) -> Result<Connection, PeerError> {
        let mut attempt = self.attempt(address)?;
        let ended = attempt.wait_for(Option::is_some).await;
        let result = ended.ok().and_then(|result| result.clone());
        result.unwrap_or_else(|| Err(unreachable(address, "the process ends")))
    }

    /// Returns the current attempt for an address, or begins one.
    fn attempt(&self, address: &str) -> Result<Attempt, PeerError> {
        let mut attempts = self.lock();
        if let Some(current) = attempts.get(address).filter(|attempt| is_usable(attempt)) {
            return Ok(current.clone());
        }
        if attempts.len() >= ADDRESSES_LIMIT && !attempts.contains_key(address) {
            attempts.retain(|_, attempt| is_usable(attempt));
        }
        let attempt = self.connect(address)?;
        attempts.insert(address.to_string(), attempt.clone());
        Ok(attempt)
    }

    fn connect(&self, address: &str) -> Result<Attempt, PeerError> {
        let socket_address: SocketAddr =
            address.parse().map_err(|_| unreachable(address, "not an IP:port address"))?;
        let connecting = self
            .endpoint
            .connect_with(self.config.clone(), socket_address, PEER_NAME)
            .map_err(|error| unreachable(address, error))?;
        let (ended, attempt) = watch::channel(None);
        let (address, timeout) = (address.to_string(), self.timeout);
        tokio::spawn(async move {
            let connected = tokio::time::timeout(timeout, connecting).await;
            let result = connected
                .map_err(|_| PeerError::Timeout(timeout))
                .and_then(|result| result.map_err(|error| unreachable(&address, error)));
            ended.send_replace(Some(result));
        });
        Ok(attempt)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Attempt>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an attempt lasts, or its connection is still open.
fn is_usable(attempt: &Attempt) -> bool {
    match &*attempt.borrow() {
        None => attempt.has_changed().is_ok(),
        Some(Ok(connection)) => connection.close_reason().is_none(),
        Some(Err(_)) => false,
    }
}

fn unreachable(address: &str, reason: impl std::fmt::Display) -> PeerError {
    PeerError::Unreachable(format!("{address}: {reason}"))
}
