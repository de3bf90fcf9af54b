//! What a client's connection is doing, for its time limits.

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

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Nothing: no byte of a next request has come.
    Idle,
    /// The head of a request is coming in.
    Head,
    /// A request is being answered.
    Busy,
}

/// What a connection is doing, and since when.
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

    /// When the connection has been idle or in a head for too long.
    pub(super) fn due(&self, head_timeout: Duration, idle_timeout: Duration) -> Instant {
        let (phase, since) = self.get();
        match phase {
            Phase::Idle => since + idle_timeout,
            Phase::Head => since + head_timeout,
            // Requests have limits of their own; look again later.
            Phase::Busy => Instant::now() + idle_timeout,
        }
    }
}

/// A client's socket that notes when bytes come in.
pub(super) struct WatchedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl WatchedStream {
    pub(super) fn open(stream: TcpStream, activity: Arc<Activity>) -> WatchedStream {
        WatchedStream { stream, activity }
    }
}

impl AsyncRead for WatchedStream {
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

impl AsyncWrite for WatchedStream {
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
