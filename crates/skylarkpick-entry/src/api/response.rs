//! Headers and failure responses that all handlers share.

use crate::failure::{Failure, FailureCode};
use http::{HeaderName, HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use serde::Serialize;
use skylarkpick_http::{REQUEST_ID_HEADER, ResponseBody, json_response};

/// Header with the version of the configuration that a request was accepted under.
pub(super) const CONFIGURATION_VERSION_HEADER: &str = "x-configuration-version";
/// Header with the weight version that generated a response.
pub(super) const WEIGHT_VERSION_HEADER: &str = "x-weight-version";

/// Header with the token that resumes a stream.
pub(super) const RESUME_TOKEN_HEADER: &str = "x-resume-token";
/// Header that marks the stored response of an earlier call with the same idempotency key.
pub(super) const REPLAYED_HEADER: &str = "x-idempotent-replayed";

/// A response of the HTTP API.
pub(super) type ApiResponse = Response<ResponseBody>;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a Failure,
    request_id: &'a str,
}

/// Builds the response for a failure.
pub(super) fn failure_response(failure: &Failure, request_id: &str) -> ApiResponse {
    let status = status_of(failure.code);
    let mut response = json_response(status, &ErrorBody { error: failure, request_id });
    if let Some(wait_ms) = failure.retry_after_ms {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(wait_ms.div_ceil(1_000)));
    }
    with_header(response, REQUEST_ID_HEADER, request_id)
}

/// Encodes a failure as the data of a server-sent event.
pub(super) fn failure_data(failure: &Failure, request_id: &str) -> String {
    serde_json::to_string(&ErrorBody { error: failure, request_id }).unwrap_or_default()
}

/// Adds a header. A value that is not visible ASCII is left out.
pub(super) fn with_header(
    mut response: ApiResponse,
    name: &'static str,
    value: &str,
) -> ApiResponse {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
    response
}

pub(super) fn status_of(code: FailureCode) -> StatusCode {
    match code {
        FailureCode::BadRequest => StatusCode::BAD_REQUEST,
        FailureCode::Unauthorized => StatusCode::UNAUTHORIZED,
        FailureCode::Forbidden => StatusCode::FORBIDDEN,
        FailureCode::NotFound => StatusCode::NOT_FOUND,
        FailureCode::Expired => StatusCode::GONE,
        FailureCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        FailureCode::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
        FailureCode::Conflict => StatusCode::CONFLICT,
        FailureCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        FailureCode::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        FailureCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        FailureCode::TargetFailed => StatusCode::BAD_GATEWAY,
        FailureCode::NoTarget | FailureCode::PlatformAway | FailureCode::NotReady => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}
