//! Bounds what a connection reads without a response head or a part of a body coming out of it, and
//! notices a server that closes its side amid a request.

use crate::{
    body_end::BodyEnd,
    unacknowledged_limit::{UnacknowledgedLimit, extend_for_close},
};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::{
    io::ErrorKind,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Size limit of a connection's read buffer, and thus of a response head, in bytes. Request heads
/// are limited to half of it; 360 full buffers take 12 MB.
pub const READ_BUFFER_LIMIT_BYTES: usize = 32_768;
/// Bytes that a connection may read without a response head or a part of a body coming out of them:
/// eight read buffers, since up to three are filled ahead of the reader of a body.
const UNPRODUCTIVE_LIMIT_BYTES: u64 = 8 * READ_BUFFER_LIMIT_BYTES as u64;

/// Counts what a connection reads for nothing, such as informational heads or digits of a chunk
/// size.
#[derive(Debug, Default)]
pub struct ResponseMeter {
    unproductive_bytes: AtomicU64,
    request: AtomicU8,
}

/// No request is being written, or none of its bytes has been.
const NOT_BEGUN: u8 = 0;
/// A request is to be written, and none of its bytes has been.
const EXPECTED: u8 = 1;
/// A part of a request has been written.
const BEGUN: u8 = 2;

impl ResponseMeter {
    /// Has the end of the connection count as a failure while a part of the next request is still to be
    /// written. Otherwise a body that ends with the connection would look like any other one, although the
    /// server has answered, and closed its side, without having seen the whole request.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let socket = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
    /// let stream = skylarkpick_http::MeteredStream::open(socket);
    /// stream.meter().expect_request();
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn expect_request(&self) {
        self.request.store(EXPECTED, Ordering::SeqCst);
    }

    fn note_written(&self, count: usize) {
        if count > 0 {
            let (from, to) = (EXPECTED, BEGUN);
            let _ = self.request.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst);
        }
    }

    /// Records that all bytes that were to be written have been. The whole request is handed to the
    /// connection before it writes, since its body is held in memory.
    fn note_flushed(&self) {
        let (from, to) = (BEGUN, NOT_BEGUN);
        let _ = self.request.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst);
    }

    fn is_amid_request(&self) -> bool {
        self.request.load(Ordering::SeqCst) == BEGUN
    }

    /// Starts the count again, since a response head or a part of a body has come out.
    fn note_progress(&self) {
        self.unproductive_bytes.store(0, Ordering::Relaxed);
    }
}

/// Socket of a client connection that fails when it reads too much for nothing.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ResponseMeter>,
    unacknowledged_limit: Option<UnacknowledgedLimit>,
}

impl MeteredStream {
    /// Wraps the socket of a new connection.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let socket = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
    /// let stream = skylarkpick_http::MeteredStream::open(socket);
    /// let _meter = stream.meter();
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn open(stream: TcpStream) -> MeteredStream {
        MeteredStream { stream, meter: Arc::default(), unacknowledged_limit: None }
    }

    /// Lifts the limit of the socket for the time for which bytes that were sent may stay
    /// unacknowledged, `limit`, amid a request of more bytes than a server takes before it reads.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use std::time::Duration;
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let socket = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
    /// let stream = skylarkpick_http::MeteredStream::open(socket);
    /// let _stream = stream.with_unacknowledged_limit(Duration::from_millis(800));
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn with_unacknowledged_limit(mut self, limit: Duration) -> MeteredStream {
        self.unacknowledged_limit = Some(UnacknowledgedLimit::open(limit));
        self
    }

    fn note_written(&mut self, written: &Poll<std::io::Result<usize>>) {
        let Poll::Ready(Ok(count)) = written else { return };
        self.meter.note_written(*count);
        if let Some(limit) = &mut self.unacknowledged_limit {
            limit.note_written(&self.stream, *count);
        }
    }

    /// Returns the meter, for the bodies of the connection's responses.
    pub fn meter(&self) -> Arc<ResponseMeter> {
        self.meter.clone()
    }
}

impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.meter())
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = (buffer.filled().len() - before) as u64;
        let MeteredStream { stream, unacknowledged_limit, .. } = &mut *self;
        if let (true, Some(limit)) = (read > 0, unacknowledged_limit) {
            limit.note_read(stream);
        }
        let is_end = read == 0 && buffer.remaining() > 0;
        if is_end && self.meter.is_amid_request() {
            let why = "closed before all of the request was written";
            return Poll::Ready(Err(std::io::Error::new(ErrorKind::UnexpectedEof, why)));
        }
        let unproductive = self.meter.unproductive_bytes.fetch_add(read, Ordering::Relaxed) + read;
        if unproductive > UNPRODUCTIVE_LIMIT_BYTES {
            let why = format!("{unproductive} bytes without a part of a response");
            return Poll::Ready(Err(std::io::Error::other(why)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.meter.note_flushed();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.unacknowledged_limit.is_some() {
            extend_for_close(&self.stream);
        }
    }
}

/// Body of a response, each part of which starts the count of its connection's meter again.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: Arc<ResponseMeter>,
    end: BodyEnd,
}

impl MeteredBody {
    /// Wraps the body of a response whose head has just arrived on the connection with this meter.
    pub fn open(body: Incoming, meter: Arc<ResponseMeter>, end: BodyEnd) -> MeteredBody {
        meter.note_progress();
        MeteredBody { body, meter, end }
    }

    /// Returns whether the end of the body will show that it is complete.
    pub fn end(&self) -> BodyEnd {
        self.end
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.note_progress();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
