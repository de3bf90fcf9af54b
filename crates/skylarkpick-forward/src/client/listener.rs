//! Accepts client connections.

use super::connection::{self, RequestOrigin};
use crate::{connection_pool::set_socket_options, forwarding::Forwarder, log::is_line_allowed};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::Instant,
};

/// Time that bytes sent to a client may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts client connections until it is closed.
pub(crate) struct ClientListener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
    permits: Arc<Semaphore>,
    connections_limit: usize,
}

impl ClientListener {
    /// Starts listening on `address`. At most `connections_limit` connections are open at once; further
    /// ones wait to be accepted.
    pub(crate) async fn bind(
        address: SocketAddr,
        forwarder: Arc<Forwarder>,
        connections_limit: usize,
    ) -> std::io::Result<ClientListener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let permits = Arc::new(Semaphore::new(connections_limit));
        let accept_task = tokio::spawn(accept(listener, forwarder, permits.clone(), stopped));
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

async fn accept(
    listener: TcpListener,
    forwarder: Arc<Forwarder>,
    permits: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut was_full = false;
    loop {
        let is_full = permits.available_permits() == 0;
        if is_full && !was_full && is_line_allowed() {
            spdlog::warn!("limit of client connections reached");
        }
        was_full = is_full;
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
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
                let (forwarder, stopped) = (forwarder.clone(), stopped.clone());
                tokio::spawn(async move {
                    connection::serve(stream, forwarder, RequestOrigin::Client, stopped).await;
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
