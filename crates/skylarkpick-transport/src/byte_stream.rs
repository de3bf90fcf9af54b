//! Byte streams to and from peers, on connections of their own.

use crate::{connections::Connections, incoming::REFUSED};
use quinn::{Connection, RecvStream, SendStream};
use skylarkpick_interface::{PeerError, PeerLink, PeerStream};
use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    task::JoinSet,
};

/// Time for which a connection without streams stays open.
const UNUSED_LIFETIME: Duration = Duration::from_secs(5);
/// Interval between the heartbeats that a process sends to a peer while a stream to it is open.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Content of a heartbeat, which nobody reads.
const HEARTBEAT: &[u8] = &[0];

/// Byte stream to or from a peer.
pub(crate) struct QuicStream {
    pub(crate) connection: Connection,
    send: SendStream,
    receive: RecvStream,
    /// Once the stream is shut down, resolves when the peer has received all of it.
    received: Option<Received>,
    /// Keeps the connection open; `None` on the side that accepted it.
    _use: Option<Arc<ConnectionUse>>,
}

/// Resolves when the peer has received a stream, or no longer wants it.
type Received = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Use of a connection by streams. The connection is closed some time after the last one.
struct ConnectionUse {
    connection: Connection,
    /// Uses of all connections by the peer's address.
    uses: Arc<Uses>,
    address: String,
    /// Sends heartbeats for as long as there are streams.
    _heartbeats: JoinSet<()>,
}

type Uses = Mutex<BTreeMap<String, Weak<ConnectionUse>>>;

/// Opens byte streams to peers.
pub(crate) struct StreamOpener {
    connections: Connections,
    uses: Arc<Uses>,
}

impl StreamOpener {
    pub(crate) fn open(connections: Connections) -> StreamOpener {
        StreamOpener { connections, uses: Arc::default() }
    }

    pub(crate) async fn open_stream(&self, address: &str) -> Result<QuicStream, PeerError> {
        let connection = self.connections.get(address).await?;
        let opened = connection.open_bi().await;
        let (send, receive) = opened.map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let connection_use = self.use_of(address, connection.clone());
        Ok(QuicStream { connection, send, receive, received: None, _use: Some(connection_use) })
    }

    fn use_of(&self, address: &str, connection: Connection) -> Arc<ConnectionUse> {
        let mut uses = self.uses.lock().unwrap_or_else(PoisonError::into_inner);
        let current = uses.get(address).and_then(Weak::upgrade);
        let current = current.filter(|it| it.connection.stable_id() == connection.stable_id());
        current.unwrap_or_else(|| {
            let address = address.to_string();
            let (key, uses_of_all) = (address.clone(), self.uses.clone());
            let mut heartbeats = JoinSet::new();
            heartbeats.spawn(send_heartbeats(connection.clone()));
            let new =
                ConnectionUse { connection, uses: uses_of_all, address, _heartbeats: heartbeats };
            let new = Arc::new(new);
            uses.insert(key, Arc::downgrade(&new));
            new
        })
    }
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let (connection, uses) = (self.connection.clone(), self.uses.clone());
        let address = std::mem::take(&mut self.address);
        runtime.spawn(async move {
            tokio::time::sleep(UNUSED_LIFETIME).await;
            let uses = uses.lock().unwrap_or_else(PoisonError::into_inner);
            let current = uses.get(&address).and_then(Weak::upgrade);
            if current.is_none_or(|it| it.connection.stable_id() != connection.stable_id()) {
                connection.close(0_u32.into(), b"not in use");
            }
        });
    }
}

impl QuicStream {
    /// Wraps a stream that a peer has opened.
    pub(crate) fn accepted(
        connection: Connection,
        send: SendStream,
        receive: RecvStream,
    ) -> QuicStream {
        QuicStream { connection, send, receive, received: None, _use: None }
    }
}

impl PeerStream for QuicStream {
    fn link(&self) -> Option<Arc<dyn PeerLink>> {
        Some(Arc::new(QuicLink(self.connection.clone())))
    }
}

/// Connection that carries byte streams.
struct QuicLink(Connection);

impl PeerLink for QuicLink {
    fn address(&self) -> String {
        self.0.remote_address().to_string()
    }

    fn received_datagrams(&self) -> u64 {
        self.0.stats().udp_rx.datagrams
    }
}

/// Shows the peer at intervals that this process lives, until the connection is lost.
async fn send_heartbeats(connection: Connection) {
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        // A peer of an earlier version takes none, and waits for none.
        if connection.send_datagram(HEARTBEAT.into()).is_err() {
            return;
        }
    }
}

impl AsyncRead for QuicStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.receive), context, buffer)
    }
}

impl AsyncWrite for QuicStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.send), context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.send), context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.received.is_none() {
            ready!(AsyncWrite::poll_shutdown(Pin::new(&mut self.send), context))?;
        }
        let stream = &mut *self;
        let received = stream.received.get_or_insert_with(|| {
            let stopped = stream.send.stopped();
            Box::pin(async move {
                // An error means that the connection is lost; nothing is left to wait for.
                let _ = stopped.await;
            })
        });
        received.as_mut().poll(context).map(Ok)
    }
}

impl Drop for QuicStream {
    fn drop(&mut self) {
        if self.received.is_none() {
            // A dropped stream would otherwise look complete. It fails only if the stream has ended.
            let _ = self.send.reset(REFUSED.into());
        }
    }
}
