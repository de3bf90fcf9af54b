//! Messages between entry processes over QUIC.

use crate::{
    authority::{Authority, PeerIdentity},
    byte_stream::{HEARTBEAT_INTERVAL, StreamOpener},
    certificates::{CertificateTiming, Certificates},
    connections::Connections,
    error::TransportError,
    incoming::Receiver,
    tls,
};
use async_trait::async_trait;
use quinn::{Connection, Endpoint};
use skylarkpick_interface::{PeerError, PeerHandler, PeerNetwork, PeerStream};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock, Weak},
    time::{Duration, SystemTime},
};
use tokio::{task::JoinSet, time::Instant};

/// Size limit of peer messages and timeouts of peer connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransportLimits {
    /// Size limit of a message.
    pub frame_size_bytes: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time limit for reading a complete message, and for writing a response.
    pub read_timeout: Duration,
    /// Time limit for sending a one-way message and for its acknowledgement.
    pub send_timeout: Duration,
    /// Time without traffic after which a connection is closed.
    pub idle_timeout: Duration,
}

impl TransportLimits {
    /// Returns the default timeouts with the given size limit.
    ///
    /// ```
    /// let limits = skylarkpick_transport::TransportLimits::open(1_048_576);
    /// assert!(limits.send_timeout < limits.idle_timeout);
    /// ```
    pub fn open(frame_size_bytes: usize) -> TransportLimits {
        TransportLimits {
            frame_size_bytes,
            connect_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(5),
            send_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Endpoint for messages between entry processes over QUIC. Dropping it closes every connection.
pub struct QuicPeers {
    address: SocketAddr,
    endpoint: Endpoint,
    pub(crate) connections: Connections,
    pub(crate) streams: StreamOpener,
    certificates: Arc<Certificates>,
    handler: Arc<OnceLock<Weak<dyn PeerHandler>>>,
    limits: TransportLimits,
    _tasks: JoinSet<()>,
}

impl QuicPeers {
    /// Listens on `address` with a certificate issued by `authority`. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if binding the address or issuing the certificate fails.
    pub fn bind(
        address: &str,
        authority: Authority,
        identity: PeerIdentity,
        timing: CertificateTiming,
        limits: TransportLimits,
    ) -> Result<Arc<QuicPeers>, TransportError> {
        let certificates = Certificates::open(authority, identity, timing, SystemTime::now())?;
        QuicPeers::bind_with(address, certificates, limits)
    }

    pub(crate) fn bind_with(
        address: &str,
        certificates: Arc<Certificates>,
        limits: TransportLimits,
    ) -> Result<Arc<QuicPeers>, TransportError> {
        let socket_address: SocketAddr =
            address.parse().map_err(|_| TransportError::Address(address.to_string()))?;
        let server = tls::server_config(&certificates, &limits)?;
        let bind_error = |error: std::io::Error| TransportError::Bind {
            address: socket_address,
            reason: error.to_string(),
        };
        let endpoint = Endpoint::server(server, socket_address).map_err(bind_error)?;
        let address = endpoint.local_addr().map_err(bind_error)?;
        let handler = Arc::new(OnceLock::new());
        let receiver = Receiver { handler: handler.clone(), limits };
        let mut tasks = JoinSet::new();
        tasks.spawn(receiver.accept_connections(endpoint.clone()));
        tasks.spawn(certificates.clone().run_renewal());
        let timeout = limits.connect_timeout;
        let messages = tls::client_config(&certificates, &limits)?;
        let connections = Connections::open(endpoint.clone(), messages, timeout);
        let streams = tls::stream_client_config(&certificates)?;
        let streams = Connections::open(endpoint.clone(), streams, timeout);
        Ok(Arc::new(QuicPeers {
            address,
            endpoint,
            connections,
            streams: StreamOpener::open(streams),
            certificates,
            handler,
            limits,
            _tasks: tasks,
        }))
    }

    /// Issues a new certificate for later connections; established connections stay open.
    ///
    /// # Errors
    /// Returns an error if issuing fails; the previous certificate stays in use.
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

/// Sends a message and reads the response.
async fn send_and_receive(
    connection: &Connection,
    message: &[u8],
    limits: &TransportLimits,
) -> Result<Vec<u8>, String> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(|error| error.to_string())?;
    send.write_all(message).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    receive.read_to_end(limits.frame_size_bytes).await.map_err(|error| error.to_string())
}

/// Sends a message and waits until the peer has received it.
async fn send_one_way(connection: &Connection, message: &[u8]) -> Result<(), String> {
    let mut send = connection.open_uni().await.map_err(|error| error.to_string())?;
    send.write_all(message).await.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    match send.stopped().await {
        Ok(None) => Ok(()),
        Ok(Some(_)) => {
            Err("the peer stopped the stream before it received the message".to_string())
        }
        Err(error) => Err(error.to_string()),
    }
}

/// Closes a connection that timed out, so that the next message opens another, and returns the error.
fn close_silent(connection: &Connection, timeout: Duration) -> PeerError {
    connection.close(0_u32.into(), b"no answer");
    PeerError::Timeout(timeout)
}

#[async_trait]
impl PeerNetwork for QuicPeers {
    fn address(&self) -> String {
        self.address.to_string()
    }

    fn listen(&self, handler: Weak<dyn PeerHandler>) {
        // A second call has no effect: a process has one handler for its lifetime.
        let _ = self.handler.set(handler);
    }

    async fn send(&self, address: &str, message: Vec<u8>) -> Result<(), PeerError> {
        self.check_size(&message)?;
        let connection = self.connections.get(address).await?;
        let timeout = self.limits.send_timeout;
        match tokio::time::timeout(timeout, send_one_way(&connection, &message)).await {
            Ok(sent) => sent.map_err(PeerError::Unreachable),
            Err(_) => Err(close_silent(&connection, timeout)),
        }
    }

    async fn request(
        &self,
        address: &str,
        message: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.check_size(&message)?;
        let until = Instant::now() + timeout;
        let connected = tokio::time::timeout_at(until, self.connections.get(address)).await;
        let connection = connected.map_err(|_| PeerError::Timeout(timeout))??;
        let exchange = send_and_receive(&connection, &message, &self.limits);
        match tokio::time::timeout_at(until, exchange).await {
            Ok(response) => response.map_err(PeerError::Unreachable),
            Err(_) => Err(close_silent(&connection, timeout)),
        }
    }

    fn heartbeat_interval(&self) -> Option<Duration> {
        Some(HEARTBEAT_INTERVAL)
    }

    async fn open_stream(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        let opened = tokio::time::timeout(timeout, self.streams.open_stream(address)).await;
        let stream = opened.map_err(|_| PeerError::Timeout(timeout))??;
        Ok(Box::new(stream))
    }
}

impl Drop for QuicPeers {
    fn drop(&mut self) {
        self.endpoint.close(0_u32.into(), b"the process ends");
    }
}
