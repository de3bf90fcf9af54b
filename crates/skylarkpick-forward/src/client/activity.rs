//! Tracks the phase of a client connection for its idle and head timeouts.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::Instant,
};

/// Phase of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// No byte of the next request has arrived.
    Idle,
    /// A request head is being received.
    Head,
    /// A request is being processed or its response is being sent.
    Busy,
}

/// Time that a response may take beyond its deadline to end itself, which a client that reads does
/// not notice.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// Current phase of a connection and the time at which it began.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    response_begun: Notify,
}

#[derive(Clone, Copy, Debug)]
struct State {
    phase: Phase,
    since: Instant,
    /// Deadline of the response that is being sent, if it is forwarded while it arrives.
    response_deadline: Option<Instant>,
}

impl Activity {
    pub(super) fn open() -> Arc<Activity> {
        let state = State { phase: Phase::Idle, since: Instant::now(), response_deadline: None };
        Arc::new(Activity { state: Mutex::new(state), response_begun: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    pub(super) fn set(&self, phase: Phase) {
        *self.lock() = State { phase, since: Instant::now(), response_deadline: None };
    }

    /// Sets the deadline of the response that is being sent.
    pub(super) fn set_response_deadline(&self, deadline: Instant) {
        self.lock().response_deadline = Some(deadline);
        self.response_begun.notify_one();
    }

    /// Waits until a response with a deadline has begun.
    pub(super) async fn wait_for_response(&self) {
        self.response_begun.notified().await;
    }

    fn note_read(&self) {
        let mut state = self.lock();
        if state.phase == Phase::Idle {
            *state = State { phase: Phase::Head, since: Instant::now(), ..*state };
        }
    }

    /// Returns the time at which the current phase exceeds its timeout.
    pub(super) fn deadline(&self, head_timeout: Duration, idle_timeout: Duration) -> Instant {
        let State { phase, since, response_deadline } = *self.lock();
        match (phase, response_deadline) {
            (Phase::Idle, _) => since + idle_timeout,
            (Phase::Head, _) => since + head_timeout,
            (Phase::Busy, Some(deadline)) => deadline + RESPONSE_GRACE,
            // A request has a deadline of its own; the caller checks again later.
            (Phase::Busy, None) => Instant::now() + idle_timeout,
        }
    }
}

/// Client socket that records the arrival of a new request.
pub(super) struct ActivityStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl ActivityStream {
    pub(super) fn open(stream: TcpStream, activity: Arc<Activity>) -> ActivityStream {
        ActivityStream { stream, activity }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.note_read();
        }
        polled
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
