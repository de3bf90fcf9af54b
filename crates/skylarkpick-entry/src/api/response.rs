//! What all answers of the front share.

use crate::failure::{Failure, FailureCode};
use http::{HeaderName, HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use serde::Serialize;
use skylarkpick_http::{REQUEST_ID_HEADER, ResponseBody, json_response};

/// Header that carries the version of the configuration that a request was taken under.
pub(super) const CONFIGURATION_VERSION_HEADER: &str = "x-configuration-version";
/// Header that carries the weight version of an answer.
pub(super) const WEIGHT_VERSION_HEADER: &str = "x-weight-version";

/// Header that carries the token with which a stream is taken up again.
pub(super) const RESUME_TOKEN_HEADER: &str = "x-resume-token";
/// Header that marks the stored answer of an earlier call under the same idempotency key.
pub(super) const REPLAYED_HEADER: &str = "x-idempotent-replayed";

/// An answer of the front.
pub(super) type Answer = Response<ResponseBody>;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a Failure,
    request_id: &'a str,
}

/// Answers with a failure.
pub(super) fn failure_answer(failure: &Failure, request_id: &str) -> Answer {
    let status = status_of(failure.code);
    let mut answer = json_response(status, &ErrorBody { error: failure, request_id });
    if let Some(wait_ms) = failure.retry_after_ms {
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(wait_ms.div_ceil(1_000)));
    }
    with_header(answer, REQUEST_ID_HEADER, request_id)
}

/// A failure as the data of an event.
pub(super) fn failure_data(failure: &Failure, request_id: &str) -> String {
    serde_json::to_string(&ErrorBody { error: failure, request_id }).unwrap_or_default()
}

/// Adds a header whose value is known to be plain text.
pub(super) fn with_header(mut answer: Answer, name: &'static str, value: &str) -> Answer {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(HeaderName::from_static(name), value);
    }
    answer
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
