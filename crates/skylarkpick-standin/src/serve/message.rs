//! Request parsing and responses that the HTTP servers of the fakes share.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use skylarkpick_http::{ResponseBody, empty_response, json_response, read_body};
use std::time::Duration;

/// Size limit of a request body.
const BODY_SIZE_LIMIT_BYTES: usize = 64 * 1_048_576;
/// Maximum wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A response of a fake.
pub(super) type HttpResponse = Response<ResponseBody>;

/// Reads a request body.
pub(super) async fn read_bytes(request: Request<Incoming>) -> Result<Vec<u8>, HttpResponse> {
    let body = read_body(request.into_body(), BODY_SIZE_LIMIT_BYTES, BODY_TIMEOUT).await;
    body.map(|content| content.to_vec()).map_err(|_| empty_response(StatusCode::BAD_REQUEST))
}

/// Parses a JSON body; an empty body is `null`.
pub(super) async fn parse_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, HttpResponse> {
    let content = read_bytes(request).await?;
    let content = if content.is_empty() { b"null" } else { content.as_slice() };
    serde_json::from_slice(content)
        .map_err(|error| json_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Parses a field of the query string. Returns `None` if it is absent or invalid.
pub(super) fn query_field<T: std::str::FromStr>(uri: &http::Uri, name: &str) -> Option<T> {
    let pairs = uri.query().unwrap_or_default().split('&');
    let found = pairs.filter_map(|pair| pair.split_once('=')).find(|(field, _)| *field == name);
    found.and_then(|(_, value)| value.parse().ok())
}

/// Responds with 200 and the value, or with 409 and the error, as JSON.
pub(super) fn json_outcome<T: Serialize, E: Serialize>(outcome: Result<T, E>) -> HttpResponse {
    match outcome {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => json_response(StatusCode::CONFLICT, &error),
    }
}
