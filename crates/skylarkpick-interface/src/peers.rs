//! Messaging between entry processes.

use async_trait::async_trait;
use std::{
    sync::{Arc, Weak},
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite};

/// Error of a message to a peer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be established, or it failed.
    #[error("the peer is unreachable: {0}")]
    Unreachable(String),
    /// No response arrived in time.
    #[error("the peer did not respond within {0:?}")]
    Timeout(Duration),
    /// The message exceeds the maximum frame size.
    #[error("the message of {0} bytes exceeds the maximum frame size")]
    TooLarge(usize),
}

/// Byte stream between two processes, in both directions. The peer sees that it is complete only if it
/// was shut down; dropping it before resets it.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {
    /// Returns the link that carries the stream; `None` if it can't be observed.
    fn link(&self) -> Option<Arc<dyn PeerLink>> {
        None
    }
}

/// Link to a peer that carries byte streams, as this process observes it.
pub trait PeerLink: Send + Sync {
    /// Returns the address of the peer.
    fn address(&self) -> String;

    /// Returns the number of datagrams received from the peer so far. It grows while the peer lives, at
    /// least once in each of its [`heartbeat_interval`](PeerNetwork::heartbeat_interval)s.
    fn received_datagrams(&self) -> u64;
}

/// Handles messages of peers. The transport doesn't interpret message bodies: `skylarkpick-entry`
/// sends messages of `skylarkpick-protocol`, `skylarkpick-forward` sends JSON.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles a one-way message.
    async fn handle_message(&self, message: Vec<u8>);

    /// Handles a request and returns the response.
    async fn handle_request(&self, message: Vec<u8>) -> Vec<u8>;

    /// Serves a byte stream that a peer has opened. Without an implementation it is reset.
    async fn handle_stream(&self, stream: Box<dyn PeerStream>) {
        drop(stream);
    }
}

/// Sends messages to other entry processes.
#[async_trait]
pub trait PeerNetwork: Send + Sync {
    /// Returns the address at which peers reach this process; empty for a process without peers.
    fn address(&self) -> String;

    /// Passes incoming messages to `handler` for as long as it exists.
    fn listen(&self, handler: Weak<dyn PeerHandler>);

    /// Sends a one-way message; it may be lost.
    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError>;

    /// Sends a request and waits for the response.
    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError>;

    /// Returns the interval at which a peer hears from this process while a byte stream to it is open;
    /// `None` if it may hear nothing.
    fn heartbeat_interval(&self) -> Option<Duration> {
        None
    }

    /// Opens a byte stream. The peer learns of it with its first byte.
    async fn open_stream(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        let _ = timeout;
        Err(PeerError::Unreachable(format!("{address}: this network has no byte streams")))
    }
}

/// Network of a process that runs without peers: every send fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl NoPeers {
    /// Opens a network without peers.
    pub fn open() -> Arc<dyn PeerNetwork> {
        Arc::new(NoPeers)
    }
}

#[async_trait]
impl PeerNetwork for NoPeers {
    fn address(&self) -> String {
        String::new()
    }

    fn listen(&self, _: Weak<dyn PeerHandler>) {}

    async fn send(&self, _: &str, _: Vec<u8>) -> Result<(), PeerError> {
        Err(PeerError::Unreachable("this process has no peers".to_string()))
    }

    async fn request(&self, _: &str, _: Vec<u8>, _: Duration) -> Result<Vec<u8>, PeerError> {
        Err(PeerError::Unreachable("this process has no peers".to_string()))
    }
}
