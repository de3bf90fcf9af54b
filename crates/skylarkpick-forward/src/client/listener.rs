//! Accepts client connections.

use super::{
    connection::{self, RequestOrigin},
    open_connections::OpenConnections,
};
use crate::{connection_pool::set_socket_options, forwarding::Forwarder};
use skylarkpick_schedule::BodyPace;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::{OwnedSemaphorePermit, Semaphore, TryAcquireError, watch},
    task::JoinHandle,
    time::Instant,
};

/// Time that bytes sent to a client may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that wait to be accepted, as far as the system allows. Beyond it, the system drops attempts to
/// connect, and callers compete with a crowd for each free place instead of waiting for their turn.
const BACKLOG: u32 = 4_096;
/// Longest time after which a client that waits for a connection has another one ended.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(25);

/// Accepts client connections until it is closed.
pub(crate) struct ClientListener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
    permits: Arc<Semaphore>,
    connections_limit: usize,
}

impl ClientListener {
    /// Starts listening on `address`. At most `connections_limit` connections are served at once; for
    /// further ones, those that do least end if they are behind `pace`.
    pub(crate) async fn bind(
        address: SocketAddr,
        forwarder: Arc<Forwarder>,
        connections_limit: usize,
        pace: BodyPace,
    ) -> std::io::Result<ClientListener> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let permits = Arc::new(Semaphore::new(connections_limit));
        let places = Places {
            permits: permits.clone(),
            connections: OpenConnections::open(connections_limit, pace),
        };
        let accept_task = tokio::spawn(accept(listener, forwarder, places, stopped));
        Ok(ClientListener { address, stop, accept_task, permits, connections_limit })
    }

    /// Returns the address that it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, but for those that the system has accepted already, and waits until
    /// `until` for all responses to be sent. Returns whether all of them were.
    pub(crate) async fn close(mut self, until: Instant) -> bool {
        self.stop.send_replace(true);
        if tokio::time::timeout_at(until, &mut self.accept_task).await.is_err() {
            self.accept_task.abort();
        }
        let permit_count = u32::try_from(self.connections_limit).unwrap_or(u32::MAX);
        tokio::time::timeout_at(until, self.permits.acquire_many(permit_count)).await.is_ok()
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A process that starts again binds the address of connections that its predecessor closed.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Places of client connections.
struct Places {
    permits: Arc<Semaphore>,
    connections: Arc<OpenConnections>,
}

impl Places {
    /// Waits for a place, and has connections ended that do least. Returns `None` once the process ends.
    async fn take(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => return Some(permit),
                Err(TryAcquireError::Closed) => return None,
                Err(TryAcquireError::NoPermits) => self.connections.end_least_useful(),
            }
            let place = self.permits.clone().acquire_owned();
            if let Ok(permit) = tokio::time::timeout(ADMISSION_INTERVAL, place).await {
                return permit.ok();
            }
        }
    }
}

async fn accept(
    listener: TcpListener,
    forwarder: Arc<Forwarder>,
    places: Places,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            // Connections that wait to be accepted come before the end: closing the listener would reset
            // them, with requests that their clients have sent.
            biased;
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                set_socket_options(&stream, UNACKNOWLEDGED_LIMIT);
                // Only now, since nothing ends for a client that isn't there.
                let Some(permit) = places.take().await else { return };
                let (forwarder, stopped) = (forwarder.clone(), stopped.clone());
                let entry = places.connections.add();
                tokio::spawn(async move {
                    let progress = entry.progress.clone();
                    let origin = RequestOrigin::Client;
                    connection::serve(stream, forwarder, origin, progress, stopped).await;
                    drop(entry);
                    drop(permit);
                });
            }
            Err(error) => {
                spdlog::warn!("failed to accept a client connection", kv: { error: });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
