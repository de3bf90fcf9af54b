//! `ANY /v1/services/NAME/PATH`: a call to a plain service.

use super::response::{Answer, CONFIGURATION_VERSION_HEADER, REPLAYED_HEADER, with_header};
use crate::{
    entry::Entry,
    failure::{Failure, FailureCode},
    request::CallRequest,
};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE, request::Parts};
use skylarkpick_http::{REQUEST_ID_HEADER, empty_response, full_body};
use std::time::Duration;

/// Where the paths of plain services start.
pub(super) const PATH: &str = "/v1/services/";

/// Answers a call to a plain service.
pub(super) async fn call(
    entry: &Entry,
    account: &str,
    request_id: &str,
    head: &Parts,
    content: &[u8],
) -> Result<Answer, Failure> {
    let (service, path) = target(head.uri.path())?;
    let path = match head.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let reply = entry
        .call(CallRequest {
            request_id: request_id.to_string(),
            account: account.to_string(),
            service,
            method: head.method.to_string(),
            path,
            body: content.to_vec(),
            idempotency_key: text(&head.headers, "idempotency-key")?,
            deadline: deadline(&head.headers)?,
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
    let version = entry.active_configuration().version.to_string();
    Ok(with_header(answer, CONFIGURATION_VERSION_HEADER, &version))
}

/// Service and path of a call.
///
/// Refuses paths that can be spelt otherwise: a service may take another spelling for the same
/// path, and the rules on calls that must not run twice would not see it.
pub(super) fn target(path: &str) -> Result<(String, String), Failure> {
    let rest = path.strip_prefix(PATH).unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let segments: Vec<&str> = rest.split('/').collect();
    let (last, before) = segments.split_last().unwrap_or((&"", &[]));
    let is_odd = before.iter().any(|segment| segment.is_empty())
        || [".", ".."].iter().any(|dots| last == dots || before.contains(dots))
        || rest.contains(['%', ';', '\\']);
    if is_odd {
        let message = "the path holds empty or dotted segments, `%`, `;` or `\\`";
        return Err(Failure::not_run(FailureCode::BadRequest, message));
    }
    Ok((service.to_string(), format!("/{rest}")))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(value) = text(headers, "x-deadline-ms")? else { return Ok(None) };
    let deadline_ms = value.parse().map_err(|_| {
        let message = format!("`x-deadline-ms` cannot be {value:?}; expected a whole number");
        Failure::not_run(FailureCode::BadRequest, message)
    })?;
    Ok(Some(Duration::from_millis(deadline_ms)))
}

fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| {
        Failure::not_run(FailureCode::BadRequest, format!("`{name}` is not plain text"))
    })?;
    Ok(Some(value.to_string()))
}
