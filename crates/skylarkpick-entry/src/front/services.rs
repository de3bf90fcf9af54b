//! `ANY /v1/services/NAME/PATH`: a call to a plain service.

use super::answer::{Answer, CONFIGURATION_VERSION_HEADER, REPLAYED_HEADER, with_header};
use crate::{entry::Entry, failure::Failure, request::CallRequest};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use skylarkpick_http::{REQUEST_ID_HEADER, empty_response, full_body};
use std::time::Duration;

/// Answers a call to a plain service.
pub(super) async fn call(
    entry: &Entry,
    account: &str,
    request_id: &str,
    (method, path, headers): (&Method, &str, &HeaderMap),
    content: &[u8],
) -> Result<Answer, Failure> {
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let reply = entry
        .call(CallRequest {
            request_id: request_id.to_string(),
            account: account.to_string(),
            service: service.to_string(),
            method: method.to_string(),
            path: format!("/{rest}"),
            body: content.to_vec(),
            idempotency_key: text(headers, "idempotency-key"),
            deadline: text(headers, "x-deadline-ms")
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
        })
        .await?;
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = empty_response(status);
    if let Ok(content_type) = HeaderValue::from_str(&reply.content_type) {
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    *answer.body_mut() = full_body(reply.body);
    let answer = with_header(answer, REQUEST_ID_HEADER, request_id);
    let answer = match reply.replayed {
        true => with_header(answer, REPLAYED_HEADER, "true"),
        false => answer,
    };
    let version = entry.in_force().version.to_string();
    Ok(with_header(answer, CONFIGURATION_VERSION_HEADER, &version))
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}
