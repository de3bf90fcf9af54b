//! Pool of keep-alive HTTP connections to targets.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use skylarkpick_http::{
    BodyEnd, MeteredBody, MeteredStream, READ_BUFFER_LIMIT_BYTES, ResponseMeter, describe,
};
use skylarkpick_interface::ClientAttemptId;
use skylarkpick_schedule::ConnectFailure;
use skylarkpick_telemetry::{CONNECTIONS_FAILED, metrics};
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashMap,
    fmt::Display,
    hash::{BuildHasher, RandomState},
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpStream, task::JoinSet, time::Instant};

/// Timeout for establishing a connection. Targets take about 1 ms; a lost packet costs 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time that sent bytes may stay unacknowledged before the connection counts as dead. It leaves
/// time for two retransmissions of a packet.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(800);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection counts as dead, where the limit for
/// unacknowledged bytes doesn't decide that, as it does on Linux.
const KEEPALIVE_PROBES_LIMIT: u32 = 2;
/// Time within which an address refuses a connection, if nobody listens there.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle timeout of connections to targets that don't report one.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// How long before the target's reported idle timeout a connection is discarded.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per target.
const IDLE_COUNT_LIMIT: usize = 16;
/// Client attempts that a connection carries before it is closed, each of which takes 8 bytes.
pub(crate) const CARRIED_LIMIT: usize = 512;

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum SendError {
    /// No connection was established; no byte of the request was sent.
    #[error("no connection: {why}")]
    NotConnected {
        /// How the attempt to connect ended.
        failure: ConnectFailure,
        /// Why, for the log.
        why: String,
    },
    /// This process could not open a connection, for example for lack of descriptors.
    #[error("no connection for a reason of this process: {0}")]
    OwnFailure(String),
    /// The connection was closed before any byte of the request was sent.
    #[error("closed before the request was sent: {0}")]
    NotSent(String),
    /// The target asked for a pause before the request was sent.
    #[error("the target asked for a pause")]
    Paused,
    /// The request, or a part of its prompt, was blamed before it was sent.
    #[error("it ends targets")]
    Withheld,
    /// The share of this process in the target's limit, or its places at a brittle target, had no room
    /// before the request was sent, or an evacuation of the target's data centre had begun.
    #[error("this process may send the target no request now")]
    Limited,
    /// No response was received. The target may have received the request.
    #[error("the connection failed: {0}")]
    Broken(String),
}

impl SendError {
    /// Returns whether the request was held back, whatever the state of the target.
    pub(crate) fn is_held_back(&self) -> bool {
        matches!(self, SendError::Paused | SendError::Withheld | SendError::Limited)
    }

    /// Returns the text for logs of a request that was not answered.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            SendError::Broken(_) => "broken",
            _ if self.is_held_back() => "held_back",
            _ => "not_sent",
        }
    }

    /// Counts a connection that could not be opened.
    fn count(&self) {
        let end = match self {
            SendError::NotConnected { failure, .. } => failure.name(),
            SendError::OwnFailure(_) => "own_failure",
            _ => return,
        };
        metrics().count(&CONNECTIONS_FAILED, &[("end", end)]);
    }
}

/// Pool of idle connections to targets.
///
/// A connection carries a client attempt at most once. A target may send a second copy of its response,
/// and only the attempt's ID tells that it doesn't answer a later request.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    hasher: RandomState,
    opened: AtomicU64,
}

/// Number of a connection among those that this process has opened to targets, for the log.
pub(crate) type ConnectionNumber = u64;

/// Hash of the ID of a client attempt. If two are equal, a new connection is opened needlessly.
type AttemptHash = u64;

struct Idle {
    channel: Channel,
    since: Instant,
    limit: Duration,
    /// Whether the target reported for how long it keeps idle connections open.
    is_limit_reported: bool,
}

/// Way to send requests on a connection, and the meter of its responses.
struct Channel {
    number: ConnectionNumber,
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<ResponseMeter>,
    /// Client attempts that were sent on the connection.
    carried: Vec<AttemptHash>,
    /// Reads and writes the connection, until dropped. On its own it would go on writing the request of a
    /// client that has left for as long as the target doesn't read it.
    _task: JoinSet<()>,
}

/// Connection in use by one client attempt.
pub(crate) struct Connection {
    channel: Channel,
    address: SocketAddr,
    attempt: AttemptHash,
    pub(crate) is_reused: bool,
    /// Whether the target has closed idle connections before the time for which it keeps them, as one
    /// that ends does.
    pub(crate) follows_broken: bool,
}

impl ConnectionPool {
    pub(crate) fn open() -> Arc<ConnectionPool> {
        Arc::new(ConnectionPool::default())
    }

    /// Returns a connection for a client attempt, which it has not carried yet: a pooled one that has
    /// been idle for at most `idle_limit`, or a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        attempt_id: &ClientAttemptId,
        idle_limit: Duration,
    ) -> Result<Connection, SendError> {
        let attempt = self.hasher.hash_one(attempt_id);
        let (channel, follows_broken) = self.take_idle(address, attempt, idle_limit);
        if let Some(channel) = channel {
            return Ok(Connection { channel, address, attempt, is_reused: true, follows_broken });
        }
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        let channel = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address, number))
            .await
            .unwrap_or_else(|_| Err(not_connected(ConnectFailure::TimedOut, "timed out")))
            .inspect_err(|error| error.count())?;
        Ok(Connection { channel, address, attempt, is_reused: false, follows_broken })
    }

    /// Returns an idle connection, if there is one, and whether the target has closed others before the
    /// time for which it keeps them.
    fn take_idle(
        &self,
        address: SocketAddr,
        attempt: AttemptHash,
        idle_limit: Duration,
    ) -> (Option<Channel>, bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(connections) = idle.get_mut(&address) else { return (None, false) };
        let is_expired = |it: &Idle| now.duration_since(it.since) >= it.limit;
        let is_broken =
            |it: &Idle| it.channel.sender.is_closed() && it.is_limit_reported && !is_expired(it);
        let follows_broken = connections.iter().any(is_broken);
        connections.retain(|it| !it.channel.sender.is_closed() && !is_expired(it));
        let newest = connections.iter().rposition(|it| {
            it.channel.sender.is_ready()
                && now.duration_since(it.since) <= idle_limit
                && !it.channel.carried.contains(&attempt)
        });
        (newest.map(|newest| connections.remove(newest).channel), follows_broken)
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn release(&self, connection: Connection, reported_limit: Option<Duration>) {
        let limit = reported_limit.map_or(IDLE_LIMIT, |limit| limit.saturating_sub(IDLE_MARGIN));
        let is_used_up = connection.channel.carried.len() >= CARRIED_LIMIT;
        if connection.channel.sender.is_closed() || limit.is_zero() || is_used_up {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() >= IDLE_COUNT_LIMIT {
            connections.remove(0);
        }
        let is_limit_reported = reported_limit.is_some();
        let since = Instant::now();
        connections.push(Idle { channel: connection.channel, since, limit, is_limit_reported });
    }

    /// Returns whether an address refuses connections, since no process listens there. Silence is no
    /// refusal.
    pub(crate) async fn is_refused(&self, address: SocketAddr) -> bool {
        match tokio::time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Returns whether an address takes connections.
    pub(crate) async fn is_open(&self, address: SocketAddr) -> bool {
        let connected = tokio::time::timeout(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    /// Closes the idle connections to a target.
    pub(crate) fn close(&self, address: &SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }
}

impl Connection {
    /// Returns its number, for the log.
    pub(crate) fn number(&self) -> ConnectionNumber {
        self.channel.number
    }

    /// Sends a request and returns the response, whose body is still to be read.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, SendError> {
        let Channel { sender, meter, carried, .. } = &mut self.channel;
        carried.push(self.attempt);
        let method = request.method().clone();
        meter.expect_request();
        let response = sender.try_send_request(request).await.map_err(|mut error| {
            let text = describe(error.error());
            match error.take_message() {
                Some(_) => SendError::NotSent(text),
                None => SendError::Broken(text),
            }
        })?;
        let end = BodyEnd::of_response(&method, response.status(), response.headers());
        Ok(response.map(|body| MeteredBody::open(body, meter.clone(), end)))
    }
}

fn not_connected(failure: ConnectFailure, why: impl Display) -> SendError {
    SendError::NotConnected { failure, why: why.to_string() }
}

/// Returns what a failure to open a connection says.
pub(crate) fn connect_error(error: &std::io::Error) -> SendError {
    match error.kind() {
        ErrorKind::TimedOut => not_connected(ConnectFailure::TimedOut, error),
        ErrorKind::ConnectionAborted
        | ErrorKind::ConnectionRefused
        | ErrorKind::ConnectionReset
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => not_connected(ConnectFailure::Refused, error),
        _ => SendError::OwnFailure(error.to_string()),
    }
}

async fn open_connection(
    address: SocketAddr,
    number: ConnectionNumber,
) -> Result<Channel, SendError> {
    let stream = TcpStream::connect(address).await.map_err(|error| connect_error(&error))?;
    set_socket_options(&stream, UNACKNOWLEDGED_LIMIT);
    let stream = MeteredStream::open(stream).with_unacknowledged_limit(UNACKNOWLEDGED_LIMIT);
    let meter = stream.meter();
    let (sender, connection) = Builder::new()
        .max_buf_size(READ_BUFFER_LIMIT_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_connected(ConnectFailure::Refused, error))?;
    let mut task = JoinSet::new();
    task.spawn(async move {
        // A failure also reaches the caller that waits for the response.
        let _ = connection.await;
    });
    Ok(Channel { number, sender, meter, carried: Vec::new(), _task: task })
}

/// Sets the socket options for low latency and for detection of dead peers. Failures are only
/// logged: without an option, a dead peer is detected later.
pub(crate) fn set_socket_options(stream: &TcpStream, unacknowledged_limit: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_LIMIT);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(unacknowledged_limit)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        spdlog::debug!("a socket option could not be set", kv: { error: });
    }
}
