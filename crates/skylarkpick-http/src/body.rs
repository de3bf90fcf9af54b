//! Builds response bodies and reads request and response bodies.

use crate::buffer_budget::{BufferBudget, BufferShare};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Body, Frame};
use std::{convert::Infallible, time::Duration};

/// Body of every response that the process sends.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// Returns a body with the given content.
///
/// ```
/// let body = skylarkpick_http::full_body("text");
/// assert_eq!(hyper::body::Body::size_hint(&body).exact(), Some(4));
/// ```
pub fn full_body(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).boxed()
}

/// Returns a body that sends the chunks of a stream as they arrive.
pub fn stream_body(chunks: impl Stream<Item = Bytes> + Send + Sync + 'static) -> ResponseBody {
    BodyExt::boxed(StreamBody::new(chunks.map(|chunk| Ok(Frame::data(chunk)))))
}

/// Returns a streamed body with one JSON value per line (NDJSON).
pub fn ndjson_body<T: serde::Serialize>(
    values: impl Stream<Item = T> + Send + Sync + 'static,
) -> ResponseBody {
    stream_body(values.map(|value| {
        let mut line = serde_json::to_vec(&value).unwrap_or_default();
        line.push(b'\n');
        Bytes::from(line)
    }))
}

/// Returns a response with a JSON body.
///
/// ```
/// let response = skylarkpick_http::json_response(http::StatusCode::OK, &serde_json::json!({}));
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<ResponseBody> {
    let content = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(content));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Returns a response with an empty body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Why a body could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadBodyError {
    /// The body exceeds the size limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// The body was not complete within the time limit.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The connection failed before the body was complete.
    #[error("the connection failed: {0}")]
    Broken(String),
}

/// Reads a complete body of at most `size_limit_bytes` within `timeout`.
///
/// # Errors
/// Returns an error if the body is too long, takes too long, or the connection fails.
pub async fn read_body<B>(
    body: B,
    size_limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    tokio::time::timeout(timeout, collect(body, size_limit_bytes))
        .await
        .unwrap_or(Err(ReadBodyError::TooSlow(timeout)))
}

async fn collect<B>(mut body: B, size_limit_bytes: usize) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut share = BufferBudget::open(usize::MAX).share();
    let start = read_body_start(&mut body, size_limit_bytes, &mut share)
        .await
        .map_err(|error| ReadBodyError::Broken(error.to_string()))?;
    if !start.is_complete {
        return Err(ReadBodyError::TooLarge(size_limit_bytes));
    }
    Ok(start.content)
}

/// Start of a body that may be longer than what is buffered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyStart {
    /// Bytes that have been read.
    pub content: Bytes,
    /// Whether they are the whole body.
    pub is_complete: bool,
}

/// Reads a body to its end, or until it holds more than `size_limit_bytes` or than `share` can take;
/// then at most one further part of the body is read.
///
/// # Errors
/// Returns an error if the connection fails.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let mut share = skylarkpick_http::BufferBudget::open(1_000).share();
/// let mut body = http_body_util::Full::new(bytes::Bytes::from("text"));
/// let start = skylarkpick_http::read_body_start(&mut body, 10, &mut share).await?;
/// assert!(start.is_complete);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub async fn read_body_start<B>(
    body: &mut B,
    size_limit_bytes: usize,
    share: &mut BufferShare,
) -> Result<BodyStart, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else { continue };
        let capacity = content.capacity();
        content.extend_from_slice(&chunk);
        if content.len() > size_limit_bytes || !share.grow(content.capacity() - capacity) {
            return Ok(BodyStart { content: content.freeze(), is_complete: false });
        }
    }
    Ok(BodyStart { content: content.freeze(), is_complete: true })
}
