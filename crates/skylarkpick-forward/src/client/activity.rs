//! Tracks the phase of a client connection for its idle and head timeouts.

use super::progress::Progress;
use futures::FutureExt;
use skylarkpick_interface::PeerStream;
use socket2::SockRef;
use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
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

/// How the connection shows its client the end of the response that is being sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseEnd {
    /// By the content length or the last chunk.
    Marked,
    /// By closing the connection. Until the body has been sent, only a reset may close it.
    WithConnection { is_reached: bool },
}

/// Current phase of a connection and the time at which it began.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    response_begun: Notify,
    /// Follows the same requests, for the choice of connections that end for others.
    progress: Arc<Progress>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    phase: Phase,
    since: Instant,
    /// Deadline of the response that is being sent, if it is forwarded while it arrives.
    response_deadline: Option<Instant>,
    response_end: ResponseEnd,
}

impl Activity {
    pub(super) fn open(progress: Arc<Progress>) -> Arc<Activity> {
        let state = State {
            phase: Phase::Idle,
            since: Instant::now(),
            response_deadline: None,
            response_end: ResponseEnd::Marked,
        };
        Arc::new(Activity { state: Mutex::new(state), response_begun: Notify::new(), progress })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    fn set(&self, phase: Phase) {
        let mut state = self.lock();
        *state = State { phase, since: Instant::now(), response_deadline: None, ..*state };
    }

    /// Notes that the head of a request has arrived.
    pub(super) fn note_head(&self) {
        self.set(Phase::Busy);
        self.progress.note_head();
    }

    /// Notes that the response has been sent.
    pub(super) fn note_response_sent(&self) {
        self.set(Phase::Idle);
        self.progress.note_response_sent();
    }

    /// Notes that the response that is about to be sent may end with the connection.
    pub(super) fn end_with_connection(&self) {
        self.lock().response_end = ResponseEnd::WithConnection { is_reached: false };
    }

    /// Notes that the body of the response is complete.
    pub(super) fn note_body_end(&self) {
        if let ResponseEnd::WithConnection { is_reached } = &mut self.lock().response_end {
            *is_reached = true;
        }
    }

    fn response_end(&self) -> ResponseEnd {
        self.lock().response_end
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

    fn note_read(&self, bytes: usize) {
        let mut state = self.lock();
        if state.phase == Phase::Idle {
            *state = State { phase: Phase::Head, since: Instant::now(), ..*state };
        }
        drop(state);
        self.progress.note_read(bytes);
    }

    /// Waits until no head is being received. The task that waits has to poll the connection as well:
    /// only that changes the phase.
    pub(super) async fn wait_outside_head(&self) {
        std::future::poll_fn(|_| match self.phase() {
            Phase::Head => Poll::Pending,
            Phase::Idle | Phase::Busy => Poll::Ready(()),
        })
        .await;
    }

    /// Returns the time at which the current phase exceeds its timeout.
    pub(super) fn deadline(&self, head_timeout: Duration, idle_timeout: Duration) -> Instant {
        let State { phase, since, response_deadline, .. } = *self.lock();
        match (phase, response_deadline) {
            (Phase::Idle, _) => since + idle_timeout,
            (Phase::Head, _) => since + head_timeout,
            (Phase::Busy, Some(deadline)) => deadline + RESPONSE_GRACE,
            // A request has a deadline of its own; the caller checks again later.
            (Phase::Busy, None) => Instant::now() + idle_timeout,
        }
    }
}

/// Socket or stream on which requests arrive.
pub(super) trait RequestSocket: AsyncRead + AsyncWrite + Send + Unpin + 'static {
    /// Sets whether closing the socket before it is shut down resets the connection.
    fn set_resets(&self, resets: bool) -> std::io::Result<()>;

    /// Returns whether the other side is known to have closed its direction, also if bytes before that
    /// have not been read.
    fn is_closed_by_peer(&self) -> bool;
}

impl RequestSocket for TcpStream {
    fn set_resets(&self, resets: bool) -> std::io::Result<()> {
        if resets { self.set_zero_linger() } else { SockRef::from(self).set_linger(None) }
    }

    fn is_closed_by_peer(&self) -> bool {
        let ready = self.ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
    }
}

impl RequestSocket for Box<dyn PeerStream> {
    /// Does nothing: a stream is reset unless it is shut down.
    fn set_resets(&self, _: bool) -> std::io::Result<()> {
        Ok(())
    }

    /// Returns false: nothing comes behind the request that a stream carries, so that its end is read.
    fn is_closed_by_peer(&self) -> bool {
        false
    }
}

/// Client socket that records the arrival of a new request. While it sends a response that ends with
/// the connection, whatever closes it before that end resets it, the end of the process too.
pub(super) struct ActivityStream<S> {
    stream: S,
    activity: Arc<Activity>,
    /// Whether closing the socket resets the connection.
    resets: bool,
}

impl<S: RequestSocket> ActivityStream<S> {
    pub(super) fn open(stream: S, activity: Arc<Activity>) -> ActivityStream<S> {
        ActivityStream { stream, activity, resets: false }
    }

    /// Lets the connection be reset when it closes, if only that keeps its client from taking a part
    /// of the response for the whole.
    fn prepare_write(&mut self) -> std::io::Result<()> {
        if !self.resets && self.activity.response_end() != ResponseEnd::Marked {
            self.stream.set_resets(true)?;
            self.resets = true;
        }
        Ok(())
    }
}

impl<S: RequestSocket> AsyncRead for ActivityStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let arrived_bytes = buffer.filled().len() - before;
        if arrived_bytes > 0 {
            self.activity.note_read(arrived_bytes);
        }
        polled
    }
}

impl<S: RequestSocket> AsyncWrite for ActivityStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.prepare_write()?;
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
        match self.activity.response_end() {
            ResponseEnd::WithConnection { is_reached: false } => return Poll::Ready(Ok(())),
            ResponseEnd::WithConnection { is_reached: true } if self.resets => {
                // All bytes have been handed over to the system, which sends them before the end.
                self.stream.set_resets(false)?;
                self.resets = false;
            }
            _ => {}
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
