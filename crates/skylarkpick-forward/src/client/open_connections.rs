//! Client connections that are open.

use super::progress::Progress;
use skylarkpick_schedule::{BodyPace, ConnectionId, ConnectionState, connections_to_end};
use skylarkpick_telemetry::{CLIENT_CONNECTIONS_ENDED, metrics};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Shortest time between two lines about connections that are all taken.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Part of all connections that ends at once, so that the choice is not made anew for each client.
const ENDED_DIVISOR: usize = 32;

/// Open client connections of a process.
pub(super) struct OpenConnections {
    opened: Instant,
    /// Pace below which a connection ends for another one.
    pace: BodyPace,
    limit: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    next_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Arc<Progress>>,
    /// Time of the last line about connections that are all taken, and those ended since.
    logged_at: Option<Instant>,
    ended_since: usize,
}

/// Entry of an open connection, until dropped.
pub(super) struct OpenConnection {
    all: Arc<OpenConnections>,
    id: ConnectionId,
    pub(super) progress: Arc<Progress>,
}

impl OpenConnections {
    pub(super) fn open(limit: usize, pace: BodyPace) -> Arc<OpenConnections> {
        Arc::new(OpenConnections { opened: Instant::now(), pace, limit, state: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection that has been accepted.
    pub(super) fn add(self: &Arc<Self>) -> OpenConnection {
        let progress = Progress::open();
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.connections.insert(id, progress.clone());
        OpenConnection { all: self.clone(), id, progress }
    }

    /// Has those connections ended that do least, if there are any that may end.
    pub(super) fn end_least_useful(&self) {
        let mut state = self.lock();
        let known = state.connections.iter();
        let states: Vec<ConnectionState> =
            known.filter_map(|(id, progress)| progress.state(*id, self.opened)).collect();
        let most = (self.limit / ENDED_DIVISOR).max(1);
        let ended = connections_to_end(&states, self.pace, self.opened.elapsed(), most);
        for id in &ended {
            if let Some(progress) = state.connections.get(id) {
                progress.end();
                metrics().count(&CLIENT_CONNECTIONS_ENDED, &[]);
            }
        }
        state.ended_since += ended.len();
        if state.logged_at.is_some_and(|at| at.elapsed() < LINE_INTERVAL) {
            return;
        }
        state.logged_at = Some(Instant::now());
        let ended = std::mem::take(&mut state.ended_since);
        drop(state);
        spdlog::warn!("all client connections are taken", kv: { ended:, limit = self.limit });
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.lock().connections.remove(&self.id);
    }
}
