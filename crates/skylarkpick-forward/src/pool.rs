//! Connections to targets, kept for the next request.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{net::TcpStream, time::Instant};

/// Time for a connection to be made; targets take a millisecond, a lost packet one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which bytes may stay unacknowledged before the connection counts as dead: two lost
/// packets in a row are sent again within it.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(800);
/// Silence after which a connection is probed, and the pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const PROBES_LIMIT: u32 = 2;
/// Time that an unused connection is kept where its target names none.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Margin before a target closes an unused connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Unused connections kept for one target.
const IDLE_COUNT_LIMIT: usize = 16;

/// Why a request got no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum SendError {
    /// No connection could be made: no byte left this process.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection was closed before a byte of the request was written.
    #[error("closed before the request was sent: {0}")]
    NotSent(String),
    /// The connection broke after the request may have arrived.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// Connections to targets that wait for the next request.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    limit: Duration,
}

/// A connection to a target that serves one request now.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    pub(crate) is_reused: bool,
}

impl Pool {
    pub(crate) fn open() -> Arc<Pool> {
        Arc::new(Pool::default())
    }

    /// A connection that was unused for at most `idle_limit`, or a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        idle_limit: Duration,
    ) -> Result<Connection, SendError> {
        if let Some(sender) = self.take_idle(address, idle_limit) {
            return Ok(Connection { sender, address, is_reused: true });
        }
        let sender = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address))
            .await
            .unwrap_or_else(|_| Err(SendError::NotConnected("timed out".to_string())))?;
        Ok(Connection { sender, address, is_reused: false })
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        idle_limit: Duration,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        kept.retain(|it| !it.sender.is_closed() && now < it.since + it.limit);
        let newest = kept
            .iter()
            .rposition(|it| it.sender.is_ready() && now.duration_since(it.since) <= idle_limit)?;
        Some(kept.remove(newest).sender)
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, connection: Connection, told_limit: Option<Duration>) {
        let limit = told_limit.map_or(IDLE_LIMIT, |limit| limit.saturating_sub(IDLE_MARGIN));
        if connection.sender.is_closed() || limit.is_zero() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.address).or_default();
        if kept.len() >= IDLE_COUNT_LIMIT {
            kept.remove(0);
        }
        kept.push(Idle { sender: connection.sender, since: Instant::now(), limit });
    }

    /// Closes the unused connections to a target.
    pub(crate) fn close(&self, address: &SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }
}

impl Connection {
    /// Sends a request and gives the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let text = error.error().to_string();
            match error.take_message() {
                Some(_) => SendError::NotSent(text),
                None => SendError::Broken(text),
            }
        })
    }
}

async fn open_connection(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, SendError> {
    let failed = |error: &dyn std::fmt::Display| SendError::NotConnected(error.to_string());
    let stream = TcpStream::connect(address).await.map_err(|error| failed(&error))?;
    set_socket_options(&stream, UNACKNOWLEDGED_LIMIT);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(&error))?;
    tokio::spawn(async move {
        // Whoever waits for the answer is told of a broken connection.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends small writes at once and notices a dead peer. A socket without an option serves too, it
/// only notices later.
pub(crate) fn set_socket_options(stream: &TcpStream, unacknowledged_limit: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES_LIMIT);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(unacknowledged_limit)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        spdlog::debug!("a socket option was refused", kv: { error: });
    }
}
