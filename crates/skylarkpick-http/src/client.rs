//! A pooled HTTP client whose errors distinguish requests that were never sent from requests that
//! the server may have received.

use crate::{
    body::read_body_start,
    body_end::BodyEnd,
    buffer_budget::BufferBudget,
    response_meter::{MeteredBody, MeteredStream, READ_BUFFER_LIMIT_BYTES, ResponseMeter},
};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt, future::BoxFuture};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tower_service::Service;

/// Bytes of a buffered response that don't count against the limit of all responses together, so
/// that a few long ones can't fail the many short ones: as many as a read buffer.
const SHORT_RESPONSE_BYTES: usize = READ_BUFFER_LIMIT_BYTES;
/// Size limit of a line in a streamed response.
const LINE_SIZE_LIMIT_BYTES: usize = 1_048_576;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No connection was established; no byte of the request was sent.
    #[error("connection failed: {0}")]
    NotConnected(String),
    /// No complete response was received. The server may have received the request.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The server responded with an error status.
    #[error("status {status}: {message}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Start of the response body.
        message: String,
    },
    /// The response does not follow the protocol.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
}

/// Limits on the response bodies that a client buffers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseLimits {
    /// Size limit of one body, in bytes.
    pub body_size_bytes: usize,
    /// Size limit of all bodies that are buffered at once, in bytes. The first 32 KB of each body
    /// don't count.
    pub total_size_bytes: usize,
}

impl Default for ResponseLimits {
    /// Returns limits for the responses of plain services and stores, which have no limit of their
    /// own: a small machine's memory has room for one of the longest.
    fn default() -> ResponseLimits {
        ResponseLimits { body_size_bytes: 64 * 1_048_576, total_size_bytes: 64 * 1_048_576 }
    }
}

/// A pooled HTTP client.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<MeteredConnector, Full<Bytes>>,
    body_size_bytes: usize,
    buffers: BufferBudget,
}

/// Opens connections whose reads are metered.
#[derive(Clone)]
struct MeteredConnector(HttpConnector);

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(
            async move { Ok(TokioIo::new(MeteredStream::open(connecting.await?.into_inner()))) },
        )
    }
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::open()
    }
}

impl HttpClient {
    /// Opens a client with an empty connection pool and the default limits.
    pub fn open() -> HttpClient {
        HttpClient::with_limits(ResponseLimits::default())
    }

    /// Opens a client with an empty connection pool and these limits on the responses that it
    /// buffers. Clones share them.
    ///
    /// ```
    /// use skylarkpick_http::{HttpClient, ResponseLimits};
    /// let limits = ResponseLimits { body_size_bytes: 1_000, total_size_bytes: 10_000 };
    /// let _client = HttpClient::with_limits(limits);
    /// ```
    pub fn with_limits(limits: ResponseLimits) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http1_max_buf_size(READ_BUFFER_LIMIT_BYTES)
            .build(MeteredConnector(connector));
        HttpClient {
            client,
            body_size_bytes: limits.body_size_bytes,
            buffers: BufferBudget::open(limits.total_size_bytes),
        }
    }

    /// Sends a request and returns the response as soon as its headers are received.
    ///
    /// # Errors
    /// With [`CallError::NotConnected`] the request was not sent. After every other error, the
    /// server may have received it.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, CallError> {
        let method = request.method().clone();
        let response = self.client.request(request).await.map_err(|error| {
            let text = describe(&error);
            if error.is_connect() {
                CallError::NotConnected(text)
            } else {
                CallError::NoResponse(text)
            }
        })?;
        let meter = response.extensions().get::<Arc<ResponseMeter>>().cloned().unwrap_or_default();
        let end = BodyEnd::of_response(&method, response.status(), response.headers());
        Ok(response.map(|body| MeteredBody::open(body, meter, end)))
    }

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::send`], and [`CallError::NoResponse`] if the timeout expires or the response
    /// exceeds the limits.
    pub async fn send_buffered(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (head, mut body) = self.send(request).await?.into_parts();
            let mut share = self.buffers.share_after(SHORT_RESPONSE_BYTES);
            let start = read_body_start(&mut body, self.body_size_bytes, &mut share)
                .await
                .map_err(|error| CallError::NoResponse(describe(&error)))?;
            if !start.is_complete {
                let why = format!("there is no room for more than {} bytes", start.content.len());
                return Err(CallError::NoResponse(why));
            }
            let content = share.hold(start.content);
            Ok(Response::from_parts(head, content))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(CallError::NoResponse(format!("timed out after {timeout:?}"))))
    }

    /// Sends a JSON value and decodes a JSON response.
    ///
    /// # Errors
    /// As [`HttpClient::send_buffered`], and if the response has an error status or does not decode
    /// as `R`.
    pub async fn request_json<R: DeserializeOwned>(
        &self,
        method: &str,
        uri: &str,
        value: &impl Serialize,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let request = json_request(method, uri, value)?;
        let response = self.send_buffered(request, timeout).await?;
        let content = response.body();
        if !response.status().is_success() {
            return Err(status_error(response.status(), content));
        }
        if content.is_empty() && BodyEnd::of_buffered(&response) == BodyEnd::Unproven {
            return Err(CallError::NoResponse("the connection was closed before a body".into()));
        }
        let content: &[u8] = if content.is_empty() { b"null" } else { content };
        serde_json::from_slice(content)
            .map_err(|error| CallError::InvalidResponse(error.to_string()))
    }
}

/// Builds a request with a JSON body.
pub(crate) fn json_request(
    method: &str,
    uri: &str,
    value: &impl Serialize,
) -> Result<Request<Full<Bytes>>, CallError> {
    let content = serde_json::to_vec(value).map_err(|error| build_error(&error))?;
    Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(content)))
        .map_err(|error| build_error(&error))
}

fn build_error(error: &dyn std::fmt::Display) -> CallError {
    CallError::NotConnected(format!("failed to build the request: {error}"))
}

/// Returns the error for a response with an error status.
pub(crate) fn status_error(status: StatusCode, content: &[u8]) -> CallError {
    let message = String::from_utf8_lossy(content).chars().take(500).collect();
    CallError::Status { status: status.as_u16(), message }
}

/// Returns the texts of an error and of its causes.
///
/// ```
/// let error = std::io::Error::other("no room");
/// assert_eq!(skylarkpick_http::describe(&error), "no room");
/// ```
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Decodes a body with one JSON value per line (NDJSON) as it arrives.
pub fn ndjson<T: DeserializeOwned + Send + 'static>(
    body: MeteredBody,
) -> impl Stream<Item = Result<T, CallError>> + Send + 'static {
    let lines = LineSplitter::default();
    futures::stream::unfold((body, lines, false), |(mut body, mut lines, ended)| async move {
        if ended {
            return None;
        }
        loop {
            if let Some(line) = lines.next() {
                let value = serde_json::from_slice(&line)
                    .map_err(|error| CallError::InvalidResponse(error.to_string()));
                return Some((value, (body, lines, false)));
            }
            let chunk = match body.frame().await {
                None => return None,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let error = CallError::NoResponse(error.to_string());
                    return Some((Err(error), (body, lines, true)));
                }
            };
            if !lines.push(&chunk) {
                let error = CallError::InvalidResponse("a line exceeds the size limit".to_string());
                return Some((Err(error), (body, lines, true)));
            }
        }
    })
    .boxed()
}

/// Splits consecutive chunks of bytes into lines.
#[derive(Default)]
pub struct LineSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that contain no end of a line.
    scanned_bytes: usize,
}

impl LineSplitter {
    /// Appends a chunk. Returns false if an incomplete line exceeds the size limit.
    ///
    /// ```
    /// let mut lines = skylarkpick_http::LineSplitter::default();
    /// assert!(lines.push(b"one\ntw"));
    /// assert_eq!(lines.next().as_deref(), Some(&b"one"[..]));
    /// assert_eq!(lines.next(), None);
    /// ```
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        self.buffer.extend_from_slice(chunk);
        self.buffer.len() <= LINE_SIZE_LIMIT_BYTES || self.line_end().is_some()
    }

    fn line_end(&mut self) -> Option<usize> {
        let unscanned = &self.buffer[self.scanned_bytes..];
        let end = unscanned.iter().position(|byte| *byte == b'\n');
        self.scanned_bytes += end.unwrap_or(unscanned.len());
        end.map(|_| self.scanned_bytes)
    }
}

impl Iterator for LineSplitter {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let end = self.line_end()?;
        let mut line = self.buffer.split_to(end + 1);
        self.scanned_bytes = 0;
        line.truncate(end);
        Some(line.freeze())
    }
}
