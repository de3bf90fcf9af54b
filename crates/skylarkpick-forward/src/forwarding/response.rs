//! Error responses that this process generates itself, and the body type of all responses.

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Response, StatusCode, Version, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use skylarkpick_interface::Dialect;
use std::time::Duration;
use tokio::time::Instant;

/// Body of a response to a client.
pub(crate) type ClientBody = UnsyncBoxBody<Bytes, IncompleteResponse>;

/// Error of a response body that ends early. The connection is closed, so that the client doesn't
/// take the response for complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the response is incomplete")]
pub(crate) struct IncompleteResponse;

/// Deadline of a response that is forwarded while it arrives, as an extension of the response. The body
/// ends itself at its deadline only while the client reads it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseDeadline(pub(crate) Instant);

/// Lets a response end with its connection, so that its client learns no more from the end than the
/// target said. The body must not know its size.
pub(crate) fn end_with_connection<B>(response: &mut Response<B>) {
    // Only responses of this version are sent without chunks.
    *response.version_mut() = Version::HTTP_10;
    close_connection(response.headers_mut());
}

/// Returns whether a response of this version to a request of that version may end with its
/// connection.
pub(crate) fn may_end_with_connection(request: Version, response: Version) -> bool {
    request == Version::HTTP_10 || response == Version::HTTP_10
}

/// Minimum retry delay that is sent to a rejected client.
const RETRY_FLOOR: Duration = Duration::from_millis(150);
/// Maximum retry delay for an expected wait of zero.
const RETRY_CEILING: Duration = Duration::from_millis(600);

/// Why a request has no response of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GatewayError {
    /// The request is invalid or not permitted. It has not run.
    Rejected {
        /// Status of the error response.
        status: StatusCode,
        /// Whether the connection must be closed, since the start of the next request on it is not
        /// known.
        closes: bool,
    },
    /// The request has not run and will not run; the client may retry.
    RetryLater {
        /// Expected wait until a target has capacity.
        wait: Duration,
    },
    /// The request has not run and will not run: no target of its service is reached.
    CutOff {
        /// Time until a target may be reached.
        wait: Duration,
    },
    /// The request has not run and will not run here: its targets are brittle, and this process may
    /// not send it to them. Another one may.
    NoPlace {
        /// Expected wait until it may.
        wait: Duration,
    },
    /// The request has not run and will not run: its body has no room in the process.
    NoRoom {
        /// Expected wait until it may.
        wait: Duration,
    },
    /// The request may have run, but there is no valid response.
    NoResponse,
    /// The request's deadline has passed; it may have run.
    TimedOut,
}

/// Returns a body with this content.
pub(crate) fn full_body(content: Bytes) -> ClientBody {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with this content that does not know its size.
pub(crate) fn unsized_body(content: Bytes) -> ClientBody {
    let frame = Ok(Frame::data(content));
    BodyExt::boxed_unsync(StreamBody::new(stream::iter([frame])))
}

impl GatewayError {
    /// Returns the status of the error response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            GatewayError::Rejected { status, .. } => *status,
            GatewayError::RetryLater { .. }
            | GatewayError::CutOff { .. }
            | GatewayError::NoPlace { .. }
            | GatewayError::NoRoom { .. } => StatusCode::SERVICE_UNAVAILABLE,
            GatewayError::NoResponse => StatusCode::BAD_GATEWAY,
            GatewayError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the error response. `jitter` is a random number in [0, 1) that spreads the retries
    /// of clients that were rejected together.
    pub(crate) fn response(
        &self,
        dialect: &dyn Dialect,
        attempt_id: &str,
        jitter: f64,
    ) -> Response<ClientBody> {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if !attempt_id.is_empty() {
            dialect.write_attempt_id(headers, attempt_id);
        }
        match self {
            GatewayError::RetryLater { wait }
            | GatewayError::CutOff { wait }
            | GatewayError::NoPlace { wait } => {
                dialect.write_retry_after(headers, retry_delay(*wait, jitter));
            }
            GatewayError::NoRoom { wait } => {
                dialect.write_retry_after(headers, retry_delay(*wait, jitter));
                // The rest of the body would have to be read first.
                close_connection(headers);
            }
            GatewayError::Rejected { closes: true, .. } => close_connection(headers),
            _ => {}
        }
        response
    }
}

/// Adds the header `connection: close`, so that the client opens another connection for its next
/// request.
pub(crate) fn close_connection(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

/// Returns the retry delay: the expected wait plus jitter of up to the same length, both with lower
/// bounds.
fn retry_delay(wait: Duration, jitter: f64) -> Duration {
    let min_delay = wait.max(RETRY_FLOOR);
    let jitter_range = wait.max(RETRY_CEILING - RETRY_FLOOR);
    min_delay + jitter_range.mul_f64(jitter)
}
