//! Tracks the phase of a client connection for its idle and head timeouts.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
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

/// Current phase of a connection and the time at which it began.
#[derive(Debug)]
pub(super) struct Activity(Mutex<(Phase, Instant)>);

impl Activity {
    pub(super) fn open() -> Arc<Activity> {
        Arc::new(Activity(Mutex::new((Phase::Idle, Instant::now()))))
    }

    pub(super) fn get(&self) -> (Phase, Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set(&self, phase: Phase) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = (phase, Instant::now());
    }

    fn note_read(&self) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.0 == Phase::Idle {
            *state = (Phase::Head, Instant::now());
        }
    }

    /// Returns the time at which the current phase exceeds its timeout.
    pub(super) fn deadline(&self, head_timeout: Duration, idle_timeout: Duration) -> Instant {
        let (phase, since) = self.get();
        match phase {
            Phase::Idle => since + idle_timeout,
            Phase::Head => since + head_timeout,
            // A request has a deadline of its own; the caller checks again later.
            Phase::Busy => Instant::now() + idle_timeout,
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
