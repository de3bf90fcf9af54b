//! What the served stand-ins share: reading bodies and queries, writing answers.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use skylarkpick_http::{ResponseBody, empty_response, json_response, read_body};
use std::time::Duration;

/// Largest body that a stand-in reads.
const BODY_SIZE_LIMIT_BYTES: usize = 64 * 1_048_576;
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Answer of a stand-in.
pub(super) type Answer = Response<ResponseBody>;

/// Reads a whole body.
pub(super) async fn bytes(request: Request<Incoming>) -> Result<Vec<u8>, Answer> {
    let body = read_body(request.into_body(), BODY_SIZE_LIMIT_BYTES, BODY_TIMEOUT).await;
    body.map(|content| content.to_vec()).map_err(|_| empty_response(StatusCode::BAD_REQUEST))
}

/// Reads a JSON body; an empty one is `null`.
pub(super) async fn json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Answer> {
    let content = bytes(request).await?;
    let content = if content.is_empty() { b"null" } else { content.as_slice() };
    serde_json::from_slice(content)
        .map_err(|error| json_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// A field of the query.
pub(super) fn query<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query().unwrap_or_default().split('&');
    let found = pairs.filter_map(|pair| pair.split_once('=')).find(|(field, _)| *field == name);
    found.and_then(|(_, value)| value.parse().ok())
}

/// Answers 200 with the value or 409 with the error.
pub(super) fn outcome<T: Serialize, E: Serialize>(outcome: Result<T, E>) -> Answer {
    match outcome {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => json_response(StatusCode::CONFLICT, &error),
    }
}
