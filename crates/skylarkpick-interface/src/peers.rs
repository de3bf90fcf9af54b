//! The network between entry processes.

use async_trait::async_trait;
use std::{
    sync::{Arc, Weak},
    time::Duration,
};

/// Why a peer got no message, or gave no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PeerError {
    /// No connection, or it broke.
    #[error("the peer cannot be reached: {0}")]
    Unreachable(String),
    /// No answer in time.
    #[error("the peer did not answer within {0:?}")]
    Timeout(Duration),
    /// The message is longer than a frame may be.
    #[error("the message of {0} bytes is too long")]
    TooLarge(usize),
}

/// Takes messages of peers in. Message bodies are those of `skylarkpick-protocol`.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Takes a message in that wants no answer.
    async fn handle_message(&self, message: Vec<u8>);

    /// Answers a message.
    async fn handle_request(&self, message: Vec<u8>) -> Vec<u8>;
}

/// Sends messages to other entry processes.
#[async_trait]
pub trait PeerNetwork: Send + Sync {
    /// Address that peers reach this process at; empty for a process alone.
    fn address(&self) -> String;

    /// Hands arriving messages to `handler` from now on, as long as it lives.
    fn listen(&self, handler: Weak<dyn PeerHandler>);

    /// Sends a message that wants no answer; it may be lost.
    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError>;

    /// Sends a message and waits for its answer.
    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError>;
}

/// The network of a process that runs alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl NoPeers {
    /// A network without peers.
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
        Err(PeerError::Unreachable("this process runs alone".to_string()))
    }

    async fn request(&self, _: &str, _: Vec<u8>, _: Duration) -> Result<Vec<u8>, PeerError> {
        Err(PeerError::Unreachable("this process runs alone".to_string()))
    }
}
