//! Reads request bodies within the room that all bodies of a process have together.

use super::{body_buffer::BodyBuffer, forwarder::Forwarder, response_stream::milliseconds};
use crate::{client::Progress, log::request_log};
use bytes::Bytes;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use skylarkpick_http::ReadBodyError;
use skylarkpick_interface::{RequestHead, ServingRoute};
use skylarkpick_schedule::{BodyId, BodyLedger, BodyLimits, BodyUse, NoRoom};
use skylarkpick_telemetry::{BODIES_REFUSED, metrics};
use std::{
    collections::BTreeMap,
    fmt::Display,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

/// Why a body was not read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum RequestBodyError {
    /// It broke off, or it is too long or too slow.
    #[error(transparent)]
    Unread(#[from] ReadBodyError),
    /// It has no room, or has fallen behind its pace and lost its room to another one.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

impl RequestBodyError {
    /// Returns the reason as metrics name it.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            RequestBodyError::NoRoom(_) => "no_room",
            RequestBodyError::Unread(ReadBodyError::TooLarge(_)) => "too_large",
            RequestBodyError::Unread(ReadBodyError::TooSlow(_)) => "too_slow",
            RequestBodyError::Unread(ReadBodyError::Broken(_)) => "broken",
        }
    }
}

/// Room of all request bodies of a process. Clones share it.
#[derive(Clone)]
pub(crate) struct BodyBudget(Arc<Shared>);

struct Shared {
    opened: Instant,
    state: Mutex<State>,
    /// Whether the last body that needed more room found none.
    is_short: AtomicBool,
}

struct State {
    ledger: BodyLedger,
    /// Tells the readers of bodies that arrive that these have lost their room.
    ended: BTreeMap<BodyId, Arc<Notify>>,
}

impl BodyBudget {
    /// Opens the budget of a process.
    pub(crate) fn open(limits: BodyLimits) -> BodyBudget {
        let state = State { ledger: BodyLedger::open(limits), ended: BTreeMap::new() };
        BodyBudget(Arc::new(Shared {
            opened: Instant::now(),
            state: Mutex::new(state),
            is_short: AtomicBool::new(false),
        }))
    }

    /// Returns the bytes that bodies hold.
    pub(crate) fn use_bytes(&self) -> BodyUse {
        self.0.lock().ledger.use_bytes()
    }

    /// Reads a complete body of at most `size_limit_bytes`, which is too slow after `deadline`. It keeps
    /// its room until its last copy is dropped. A body of which nothing is kept takes no room, and its
    /// content is empty.
    pub(crate) async fn read<B>(
        &self,
        body: B,
        size_limit_bytes: usize,
        kept: Kept,
        deadline: Option<Instant>,
    ) -> Result<Bytes, RequestBodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        Arrival::begin(&self.0, kept, deadline).read(body, size_limit_bytes).await
    }
}

/// Returns the time that a request has since its arrival.
pub(super) fn time_allowed(head: &RequestHead, route: &ServingRoute) -> Duration {
    head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout))
}

impl Forwarder {
    /// Reads the body of a request, unless its connection ends for another one in the meantime, or its
    /// deadline passes: a request without time left can't be served.
    pub(super) async fn read_request_body(
        &self,
        parts: &Parts,
        body: Incoming,
        size_limit_bytes: usize,
        kept: Kept,
        deadline: Option<Instant>,
    ) -> Result<Bytes, RequestBodyError> {
        let read = self.bodies.read(body, size_limit_bytes, kept, deadline);
        let Some(progress) = parts.extensions.get::<Arc<Progress>>() else { return read.await };
        let read = tokio::select! {
            biased;
            read = read => read?,
            () = progress.body_ended() => return Err(NoRoom.into()),
        };
        progress.note_whole();
        Ok(read)
    }

    /// Counts a body that was not read for this reason, and logs whose it is.
    pub(super) fn note_refused_body(&self, head: &RequestHead, reason: &str, received: Instant) {
        metrics().count(&BODIES_REFUSED, &[("reason", reason)]);
        let serving = self.node_state.serving();
        let account = serving.and_then(|serving| serving.account(head.key.as_deref()?));
        request_log!("request body refused", kv: {
            request = head.attempt_id.as_str(),
            account = account.as_ref().map_or("", |it| it.account.as_str()),
            reason,
            took_ms = milliseconds(received.elapsed()),
        });
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the ledger.
    fn now(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Gives a body more room, and lets go of those that lose theirs for it.
    fn grow(&self, id: BodyId, bytes: usize) -> Result<(), NoRoom> {
        let mut state = self.lock();
        let grown = state.ledger.grow(id, bytes, self.now());
        let use_bytes = state.ledger.use_bytes();
        if let Ok(ended) = &grown {
            for other in ended {
                if let Some(reader) = state.ended.remove(other) {
                    reader.notify_one();
                }
            }
        }
        drop(state);
        let is_short = grown.as_ref().map_or(true, |ended| !ended.is_empty());
        if self.is_short.swap(is_short, Ordering::Relaxed) != is_short {
            request_log!("room for request bodies changed", kv: {
                is_short,
                arriving_bytes = use_bytes.arriving_bytes,
                kept_bytes = use_bytes.kept_bytes,
            });
        }
        grown.map(drop)
    }
}

/// Place of one body in the budget, until dropped.
struct BodyPlace {
    shared: Arc<Shared>,
    id: BodyId,
}

impl Drop for BodyPlace {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.ledger.end(self.id);
        state.ended.remove(&self.id);
    }
}

/// What is kept of a body that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kept {
    Content,
    /// Its request is refused, for which it is read to its end so that its client gets the response.
    Nothing,
}

/// A body that arrives. Its content is declared before its place, so that the memory is free before the
/// room is.
struct Arrival {
    content: BodyBuffer,
    place: BodyPlace,
    ended: Arc<Notify>,
    kept: Kept,
    /// Time after which it is too slow, whatever its pace.
    deadline: Option<Instant>,
    arrived_bytes: usize,
}

impl Arrival {
    fn begin(shared: &Arc<Shared>, kept: Kept, deadline: Option<Instant>) -> Arrival {
        let ended = Arc::new(Notify::new());
        let mut state = shared.lock();
        let id = state.ledger.begin(shared.now());
        state.ended.insert(id, ended.clone());
        drop(state);
        let place = BodyPlace { shared: shared.clone(), id };
        Arrival { content: BodyBuffer::empty(), place, ended, kept, deadline, arrived_bytes: 0 }
    }

    async fn read<B>(
        mut self,
        mut body: B,
        size_limit_bytes: usize,
    ) -> Result<Bytes, RequestBodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let announced = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
        let began = Instant::now();
        loop {
            let due = self.due().ok_or(NoRoom)?;
            let frame = tokio::select! {
                biased;
                () = self.ended.notified() => return Err(NoRoom.into()),
                frame = body.frame() => frame,
                () = sleep_until(due) => return Err(ReadBodyError::TooSlow(began.elapsed()).into()),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| ReadBodyError::Broken(error.to_string()))?;
            let Ok(chunk) = frame.into_data() else { continue };
            if chunk.len() > size_limit_bytes - self.arrived_bytes {
                return Err(ReadBodyError::TooLarge(size_limit_bytes).into());
            }
            if self.kept == Kept::Content {
                self.keep(&chunk, announced, size_limit_bytes)?;
            }
            self.arrived_bytes += chunk.len();
            let BodyPlace { shared, id } = &self.place;
            shared.lock().ledger.note_arrived(*id, chunk.len(), shared.now());
        }
        Ok(self.complete())
    }

    /// Returns when the body is too slow; `None` if it has lost its room.
    fn due(&self) -> Option<Instant> {
        let BodyPlace { shared, id } = &self.place;
        let due = shared.opened + shared.lock().ledger.due(*id)?;
        Some(self.deadline.map_or(due, |deadline| deadline.min(due)))
    }

    /// Adds a part of the body, of which at most `size_limit_bytes` arrive.
    fn keep(
        &mut self,
        chunk: &[u8],
        announced: Option<usize>,
        size_limit_bytes: usize,
    ) -> Result<(), NoRoom> {
        let room_bytes = self.content.missing_room_bytes(chunk.len(), announced, size_limit_bytes);
        if room_bytes > 0 {
            self.place.shared.grow(self.place.id, room_bytes)?;
        }
        let most_bytes = announced.unwrap_or(size_limit_bytes);
        self.content.add(chunk, room_bytes, most_bytes).map_err(|error| {
            request_log!("no memory for a request body", kv: { most_bytes, error: });
            NoRoom
        })
    }

    fn complete(mut self) -> Bytes {
        let room_bytes = self.content.shrink();
        let mut state = self.place.shared.lock();
        state.ledger.shrink(self.place.id, room_bytes);
        state.ledger.complete(self.place.id);
        state.ended.remove(&self.place.id);
        drop(state);
        Bytes::from_owner(KeptBody { content: self.content, _place: self.place })
    }
}

/// Content of a complete body, which keeps its room.
struct KeptBody {
    content: BodyBuffer,
    _place: BodyPlace,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        self.content.content()
    }
}
