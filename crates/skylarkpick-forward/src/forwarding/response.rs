//! Answers of the system's own, and the body type of all answers.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use skylarkpick_interface::Dialect;
use std::time::Duration;

/// Body of an answer to a client.
pub(crate) type ClientBody = UnsyncBoxBody<Bytes, IncompleteResponse>;

/// An answer that breaks off; its connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct IncompleteResponse;

/// Shortest time after which a refused client is asked to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(150);
/// Longest such time where nothing is known of the backlog.
const RETRY_CEILING: Duration = Duration::from_millis(600);

/// How the system itself ends a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GatewayError {
    /// The request is not one that the rules allow. It has not run.
    Rejected {
        /// Status that says why.
        status: StatusCode,
        /// Whether the connection must close, since what follows on it cannot be told apart.
        closes: bool,
    },
    /// It has not run and never will; the client may come back.
    RetryLater {
        /// Wait that is expected until there is room.
        wait: Duration,
    },
    /// It may have run and has no answer.
    NoResponse,
    /// Its time passed, and it may have run.
    TimedOut,
}

/// Whole body that is known.
pub(crate) fn full_body(content: Bytes) -> ClientBody {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}

impl GatewayError {
    /// Status of the answer.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            GatewayError::Rejected { status, .. } => *status,
            GatewayError::RetryLater { .. } => StatusCode::SERVICE_UNAVAILABLE,
            GatewayError::NoResponse => StatusCode::BAD_GATEWAY,
            GatewayError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer. `spread` from 0 to below 1 keeps refused clients from coming back together.
    pub(crate) fn response(
        &self,
        dialect: &dyn Dialect,
        attempt_id: &str,
        spread: f64,
    ) -> Response<ClientBody> {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if !attempt_id.is_empty() {
            dialect.write_attempt_id(headers, attempt_id);
        }
        match self {
            GatewayError::RetryLater { wait } => {
                dialect.write_retry_after(headers, retry_after(*wait, spread));
            }
            GatewayError::Rejected { closes: true, .. } => close_connection(headers),
            _ => {}
        }
        response
    }
}

/// Asks the client to use another connection for its next request.
pub(crate) fn close_connection(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

/// When a refused client comes back: after the wait, spread over as long again.
fn retry_after(wait: Duration, spread: f64) -> Duration {
    let from = wait.max(RETRY_FLOOR);
    let over = wait.max(RETRY_CEILING - RETRY_FLOOR);
    from + over.mul_f64(spread)
}
