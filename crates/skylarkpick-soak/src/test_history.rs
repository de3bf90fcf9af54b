//! Calls and arrivals of histories in tests.

use crate::{
    clients::MAIN_KEY,
    history::{Call, CallKind},
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival, ClientRequest, ClientResponse};
use std::time::Duration;
use tokio::time::Instant;

/// Returns a call of the main key at process 0 that got its whole answer 30 ms later.
pub(crate) fn served_call(attempt_id: &str, path: &str, sent_at: Instant) -> Call {
    let request = ClientRequest {
        attempt_id: attempt_id.to_string(),
        method: "POST".to_string(),
        path: path.to_string(),
        key: MAIN_KEY.to_string(),
        deadline: Duration::from_secs(5),
        resumes: None,
        last_event_id: None,
        parts: Vec::new(),
        body: "body".to_string(),
    };
    let response = ClientResponse {
        status: Some(200),
        body: attempt_id.to_string(),
        is_complete: true,
        is_end_marked: true,
        retry_after: None,
    };
    Call {
        process: 0,
        kind: CallKind::Read,
        request,
        sent_at,
        ended_at: sent_at + Duration::from_millis(30),
        response,
        disconnects_early: false,
    }
}

/// Returns the arrival of a call at a target that answered it wholly.
pub(crate) fn arrival(call: &Call, target: &str) -> Arrival {
    Arrival {
        attempt_id: call.request.attempt_id.clone(),
        target: target.to_string(),
        software_version: "b7".to_string(),
        last_event_id: None,
        account: Some("acme".to_string()),
        at: call.sent_at,
        has_run: true,
        marks_end: true,
        end: AnswerEnd::Whole,
        started_at_ms: 1,
        pause: None,
        is_leaving: false,
        method: call.request.method.clone(),
        path: call.request.path.clone(),
        body_digest: 0,
        parts: call.request.parts.clone(),
        has_crashed: false,
        failure: None,
        limit: None,
        is_turned_away: false,
        has_fallen: false,
    }
}
