//! An HTTP client that tells whether a failed request can have reached the other side.

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Largest answer that is read whole.
const ANSWER_SIZE_LIMIT_BYTES: usize = 64 * 1_048_576;
/// Largest line of a stream.
const LINE_SIZE_LIMIT_BYTES: usize = 1_048_576;
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call gave no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No connection: no byte of the request left this process.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The request may have arrived.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The other side answered with an error status.
    #[error("status {status}: {message}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        message: String,
    },
    /// The answer is not what the protocol says.
    #[error("unreadable answer: {0}")]
    InvalidResponse(String),
}

/// A pooled HTTP client.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::open()
    }
}

impl HttpClient {
    /// Opens a client with an empty pool.
    pub fn open() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and gives the answer as soon as its head is there.
    ///
    /// # Errors
    /// [`CallError::NotConnected`] is certain; every other error leaves open what happened.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.client.request(request).await.map_err(|error| {
            let text = describe(&error);
            if error.is_connect() {
                CallError::NotConnected(text)
            } else {
                CallError::NoResponse(text)
            }
        })
    }

    /// Sends a request within `timeout` and reads the whole answer.
    ///
    /// # Errors
    /// As [`HttpClient::send`], and [`CallError::NoResponse`] when the time runs out.
    pub async fn send_buffered(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(request).await?.into_parts();
            let content = crate::body::read_body(body, ANSWER_SIZE_LIMIT_BYTES, timeout)
                .await
                .map_err(|error| CallError::NoResponse(error.to_string()))?;
            Ok(Response::from_parts(head, content))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(CallError::NoResponse(format!("nothing within {timeout:?}"))))
    }

    /// Sends a JSON value and reads a JSON answer.
    ///
    /// # Errors
    /// As [`HttpClient::send_buffered`], and for an error status or an answer of another shape.
    pub async fn request_json<A: DeserializeOwned>(
        &self,
        method: &str,
        uri: &str,
        value: &impl Serialize,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let request = json_request(method, uri, value)?;
        let answer = self.send_buffered(request, timeout).await?;
        let content = answer.body();
        if !answer.status().is_success() {
            return Err(status_error(answer.status(), content));
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
    let content = serde_json::to_vec(value).map_err(|error| not_built(&error))?;
    Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(content)))
        .map_err(|error| not_built(&error))
}

fn not_built(error: &dyn std::fmt::Display) -> CallError {
    CallError::NotConnected(format!("the request could not be built: {error}"))
}

/// Error for an answer with an error status.
pub(crate) fn status_error(status: StatusCode, content: &[u8]) -> CallError {
    let message = String::from_utf8_lossy(content).chars().take(500).collect();
    CallError::Status { status: status.as_u16(), message }
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Reads a body of one JSON value a line.
pub fn ndjson<T: DeserializeOwned + Send + 'static>(
    body: Incoming,
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
            let piece = match body.frame().await {
                None => return None,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    let error = CallError::NoResponse(error.to_string());
                    return Some((Err(error), (body, lines, true)));
                }
            };
            if !lines.push(&piece) {
                let error = CallError::InvalidResponse("a line is too long".to_string());
                return Some((Err(error), (body, lines, true)));
            }
        }
    })
    .boxed()
}

/// Cuts a row of pieces into lines.
#[derive(Default)]
pub struct LineSplitter {
    buffer: BytesMut,
}

impl LineSplitter {
    /// Adds a piece; gives false once a line is longer than allowed.
    ///
    /// ```
    /// let mut lines = skylarkpick_http::LineSplitter::default();
    /// assert!(lines.push(b"one\ntw"));
    /// assert_eq!(lines.next().as_deref(), Some(&b"one"[..]));
    /// assert_eq!(lines.next(), None);
    /// ```
    pub fn push(&mut self, piece: &[u8]) -> bool {
        self.buffer.extend_from_slice(piece);
        self.buffer.len() <= LINE_SIZE_LIMIT_BYTES || self.buffer.contains(&b'\n')
    }
}

impl Iterator for LineSplitter {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.buffer.split_to(end + 1);
        line.truncate(end);
        Some(line.freeze())
    }
}
