//! The network between entry processes over QUIC.

use crate::{
    authority::{Authority, PeerIdentity},
    certificates::{CertificateRules, Certificates},
    connections::Connections,
    error::TransportError,
    incoming::Receiver,
    tls,
};
use async_trait::async_trait;
use quinn::{Connection, Endpoint};
use skylarkpick_interface::{PeerError, PeerHandler, PeerNetwork};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock, Weak},
    time::{Duration, SystemTime},
};
use tokio::{task::JoinSet, time::Instant};

/// Limits on peers' messages and on waiting for peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransportLimits {
    /// Largest message.
    pub frame_size_bytes: usize,
    /// Time for a connection to be made.
    pub connect_timeout: Duration,
    /// Time for a whole message to come in.
    pub read_timeout: Duration,
    /// Time for the receipt of a message that wants no answer.
    pub tell_timeout: Duration,
    /// Time after which a connection without a word is closed.
    pub idle_timeout: Duration,
}

impl TransportLimits {
    /// Usual times with a largest message.
    ///
    /// ```
    /// let limits = skylarkpick_transport::TransportLimits::open(1_048_576);
    /// assert!(limits.tell_timeout < limits.idle_timeout);
    /// ```
    pub fn open(frame_size_bytes: usize) -> TransportLimits {
        TransportLimits {
            frame_size_bytes,
            connect_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(5),
            tell_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// The network between entry processes over QUIC. Dropping it closes every connection.
pub struct QuicPeers {
    address: SocketAddr,
    endpoint: Endpoint,
    pub(crate) connections: Connections,
    certificates: Arc<Certificates>,
    handler: Arc<OnceLock<Weak<dyn PeerHandler>>>,
    limits: TransportLimits,
    _tasks: JoinSet<()>,
}

impl QuicPeers {
    /// Listens on `address` under a certificate issued by `authority`. Port 0 takes a free one.
    ///
    /// # Errors
    /// When the address cannot be taken or no certificate can be made.
    pub fn bind(
        address: &str,
        authority: Authority,
        identity: PeerIdentity,
        rules: CertificateRules,
        limits: TransportLimits,
    ) -> Result<Arc<QuicPeers>, TransportError> {
        let certificates = Certificates::open(authority, identity, rules, SystemTime::now())?;
        QuicPeers::bind_with(address, certificates, limits)
    }

    pub(crate) fn bind_with(
        address: &str,
        certificates: Arc<Certificates>,
        limits: TransportLimits,
    ) -> Result<Arc<QuicPeers>, TransportError> {
        let place: SocketAddr =
            address.parse().map_err(|_| TransportError::Address(address.to_string()))?;
        let server = tls::server_config(&certificates, &limits)?;
        let bind_error = |error: std::io::Error| TransportError::Bind {
            address: place,
            reason: error.to_string(),
        };
        let mut endpoint = Endpoint::server(server, place).map_err(bind_error)?;
        endpoint.set_default_client_config(tls::client_config(&certificates, &limits)?);
        let address = endpoint.local_addr().map_err(bind_error)?;
        let handler = Arc::new(OnceLock::new());
        let receiver = Receiver { handler: handler.clone(), limits };
        let mut tasks = JoinSet::new();
        tasks.spawn(receiver.accept_always(endpoint.clone()));
        tasks.spawn(certificates.clone().renew_always());
        let connections = Connections::open(endpoint.clone(), limits.connect_timeout);
        Ok(Arc::new(QuicPeers {
            address,
            endpoint,
            connections,
            certificates,
            handler,
            limits,
            _tasks: tasks,
        }))
    }

    /// Shows a new certificate on connections from now on; those that stand go on.
    ///
    /// # Errors
    /// When no certificate could be issued; the one before stays.
    pub fn renew_certificate(&self) -> Result<(), TransportError> {
        self.certificates.renew(SystemTime::now())
    }

    fn check_size(&self, message: &[u8]) -> Result<(), PeerError> {
        if message.len() > self.limits.frame_size_bytes {
            return Err(PeerError::TooLarge(message.len()));
        }
        Ok(())
    }
}

/// Sends a message and reads its answer.
async fn exchange(
    connection: &Connection,
    message: &[u8],
    limits: &TransportLimits,
) -> Result<Vec<u8>, String> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(|error| error.to_string())?;
    send.write_all(message).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    receive.read_to_end(limits.frame_size_bytes).await.map_err(|error| error.to_string())
}

/// Sends a message and waits until the peer has it.
async fn deliver(connection: &Connection, message: &[u8]) -> Result<(), String> {
    let mut send = connection.open_uni().await.map_err(|error| error.to_string())?;
    send.write_all(message).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    match send.stopped().await {
        Ok(None) => Ok(()),
        Ok(Some(_)) => Err("the peer did not take the message".to_string()),
        Err(error) => Err(error.to_string()),
    }
}

#[async_trait]
impl PeerNetwork for QuicPeers {
    fn address(&self) -> String {
        self.address.to_string()
    }

    fn listen(&self, handler: Weak<dyn PeerHandler>) {
        // One process has one handler, for as long as it runs.
        let _ = self.handler.set(handler);
    }

    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError> {
        self.check_size(&message)?;
        let connection = self.connections.get(address).await?;
        let timeout = self.limits.tell_timeout;
        match tokio::time::timeout(timeout, deliver(&connection, &message)).await {
            Ok(delivered) => delivered.map_err(PeerError::Unreachable),
            Err(_) => {
                self.connections.give_up(address, &connection).await;
                Err(PeerError::Timeout(timeout))
            }
        }
    }

    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.check_size(&message)?;
        let began = Instant::now();
        let connection = self.connections.get(address).await?;
        let rest = timeout.saturating_sub(began.elapsed());
        match tokio::time::timeout(rest, exchange(&connection, &message, &self.limits)).await {
            Ok(answer) => answer.map_err(PeerError::Unreachable),
            Err(_) => {
                self.connections.give_up(address, &connection).await;
                Err(PeerError::Timeout(timeout))
            }
        }
    }
}

impl Drop for QuicPeers {
    fn drop(&mut self) {
        self.endpoint.close(0_u32.into(), b"the process ends");
    }
}
