//! Bodies of requests and responses.

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::{Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Body, Frame};
use std::{convert::Infallible, time::Duration};

/// Body of every response that the process sends.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// A body that is known whole.
///
/// ```
/// let body = skylarkpick_http::full_body("text");
/// assert_eq!(hyper::body::Body::size_hint(&body).exact(), Some(4));
/// ```
pub fn full_body(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).boxed()
}

/// A body whose pieces come from a stream.
pub fn stream_body(pieces: impl Stream<Item = Bytes> + Send + Sync + 'static) -> ResponseBody {
    BodyExt::boxed(StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece)))))
}

/// A body of one JSON value a line.
pub fn ndjson_body<T: serde::Serialize>(
    values: impl Stream<Item = T> + Send + Sync + 'static,
) -> ResponseBody {
    stream_body(values.map(|value| {
        let mut line = serde_json::to_vec(&value).unwrap_or_default();
        line.push(b'\n');
        Bytes::from(line)
    }))
}

/// A response with a JSON body.
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

/// A response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Why a body was not read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// The body took longer than allowed.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(Duration),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// Reads a whole body of at most `size_limit_bytes` within `timeout`.
///
/// # Errors
/// When the body is too long, too slow, or breaks off.
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
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadBodyError::Broken(error.to_string()))?;
        let Ok(piece) = frame.into_data() else { continue };
        if content.len() + piece.len() > size_limit_bytes {
            return Err(ReadBodyError::TooLarge(size_limit_bytes));
        }
        content.extend_from_slice(&piece);
    }
    Ok(content.freeze())
}
