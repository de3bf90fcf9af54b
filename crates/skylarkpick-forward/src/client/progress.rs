//! How far the requests on a client connection have come, by which a process whose connections are all
//! taken chooses those that it ends.

use skylarkpick_schedule::{ConnectionId, ConnectionStage, ConnectionState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::{sync::Notify, time::Instant};

/// Progress of a connection.
#[derive(Debug)]
pub(crate) struct Progress {
    state: Mutex<State>,
    /// Wakes the connection when it is to end.
    connection_ended: Notify,
}

#[derive(Debug)]
struct State {
    stage: ConnectionStage,
    since: Instant,
    last: Instant,
    arrived_bytes: usize,
    /// Whether it is to end.
    is_ended: bool,
    /// Wakes the reader of the body that arrives.
    body_ended: Option<Arc<Notify>>,
}

impl State {
    fn begin(stage: ConnectionStage) -> State {
        let now = Instant::now();
        State { stage, since: now, last: now, arrived_bytes: 0, is_ended: false, body_ended: None }
    }
}

impl Progress {
    /// Returns the progress of a connection that has just been accepted.
    pub(crate) fn open() -> Arc<Progress> {
        Arc::new(Progress {
            state: Mutex::new(State::begin(ConnectionStage::Head)),
            connection_ended: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records bytes that have arrived.
    pub(super) fn note_read(&self, bytes: usize) {
        let mut state = self.lock();
        if state.stage == ConnectionStage::Kept {
            *state = State::begin(ConnectionStage::Head);
        }
        state.last = Instant::now();
        state.arrived_bytes += bytes;
    }

    /// Records that the head of a request has arrived.
    pub(super) fn note_head(&self) {
        let body_ended = Some(Arc::default());
        *self.lock() = State { body_ended, ..State::begin(ConnectionStage::Body) };
    }

    /// Records that a request has arrived whole, so that the connection no longer ends for others.
    pub(crate) fn note_whole(&self) {
        *self.lock() = State::begin(ConnectionStage::Whole);
    }

    /// Records that a response has been sent.
    pub(super) fn note_response_sent(&self) {
        *self.lock() = State::begin(ConnectionStage::Kept);
    }

    /// Returns the state for the choice of connections, unless this one is to end already.
    pub(super) fn state(&self, id: ConnectionId, opened: Instant) -> Option<ConnectionState> {
        let state = self.lock();
        (!state.is_ended).then(|| ConnectionState {
            id,
            stage: state.stage,
            since: state.since.saturating_duration_since(opened),
            last: state.last.saturating_duration_since(opened),
            arrived_bytes: state.arrived_bytes,
        })
    }

    /// Has the connection ended: with a refusal if the head of a request has arrived, else at once.
    pub(super) fn end(&self) {
        let mut state = self.lock();
        state.is_ended = true;
        match &state.body_ended {
            Some(body) => body.notify_one(),
            None => self.connection_ended.notify_one(),
        }
    }

    /// Waits until the connection is to end outside a request.
    pub(super) async fn connection_ended(&self) {
        self.connection_ended.notified().await;
    }

    /// Waits until the request whose body arrives is to be refused.
    pub(crate) async fn body_ended(&self) {
        let ended = self.lock().body_ended.clone();
        match ended {
            Some(ended) => ended.notified().await,
            None => std::future::pending().await,
        }
    }
}
