//! Client connections that are open.

use super::progress::Progress;
use crate::log::request_log;
use skylarkpick_schedule::{BodyPace, ConnectionId, ConnectionState, connections_to_end};
use skylarkpick_telemetry::{CLIENT_CONNECTIONS_ENDED, metrics};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::time::Instant;

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
        let state = self.lock();
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
        drop(state);
        if !ended.is_empty() {
            request_log!("client connections ended: all are taken", kv: {
                ended = ended.len(), limit = self.limit,
            });
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.all.lock().connections.remove(&self.id);
    }
}
