//! Takes clients' connections.

use super::connection;
use crate::{life::Lives, pool::set_socket_options};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::Instant,
};

/// Connections served at once; the platform gives a process some four thousand descriptors.
const CONNECTIONS_LIMIT: usize = 3_000;
/// Time for which bytes to a client may stay unacknowledged before it counts as gone.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Pause after a connection could not be taken, for descriptors to come back.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes clients' connections until it is closed.
pub(crate) struct Door {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
    places: Arc<Semaphore>,
}

impl Door {
    /// Listens on `address`.
    pub(crate) async fn bind(address: SocketAddr, lives: Arc<Lives>) -> std::io::Result<Door> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let places = Arc::new(Semaphore::new(CONNECTIONS_LIMIT));
        let accepting = tokio::spawn(accept(listener, lives, places.clone(), stopped));
        Ok(Door { address, stop, accepting, places })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts nothing more, and waits until every answer is out, at most until `until`. Gives
    /// whether all of them are.
    pub(crate) async fn close(self, until: Instant) -> bool {
        self.accepting.abort();
        self.stop.send_replace(true);
        let all = u32::try_from(CONNECTIONS_LIMIT).unwrap_or(u32::MAX);
        tokio::time::timeout_at(until, self.places.acquire_many(all)).await.is_ok()
    }
}

async fn accept(
    listener: TcpListener,
    lives: Arc<Lives>,
    places: Arc<Semaphore>,
    stopped: watch::Receiver<bool>,
) {
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                set_socket_options(&stream, UNACKNOWLEDGED_LIMIT);
                let (lives, stopped) = (lives.clone(), stopped.clone());
                tokio::spawn(async move {
                    connection::serve(stream, lives, stopped).await;
                    drop(place);
                });
            }
            Err(error) => {
                spdlog::warn!("a connection could not be taken", kv: { error: });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
