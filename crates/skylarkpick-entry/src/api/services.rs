//! `ANY /v1/services/NAME/PATH`: forwards a call to a plain service.

use super::response::{ApiResponse, CONFIGURATION_VERSION_HEADER, REPLAYED_HEADER, with_header};
use crate::{
    entry::Entry,
    failure::{Failure, FailureCode},
    request::CallRequest,
};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE, request::Parts};
use skylarkpick_http::{REQUEST_ID_HEADER, empty_response, full_body};
use std::time::Duration;

/// Prefix of the paths of plain services.
pub(super) const PATH_PREFIX: &str = "/v1/services/";

/// Forwards a call to a plain service and returns the service's response.
pub(super) async fn call(
    entry: &Entry,
    account: &str,
    request_id: &str,
    head: &Parts,
    content: &[u8],
) -> Result<ApiResponse, Failure> {
    let (service, path) = service_and_path(head.uri.path())?;
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
            idempotency_key: header_text(&head.headers, "idempotency-key")?,
            deadline: deadline(&head.headers)?,
        })
        .await?;
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = empty_response(status);
    if let Ok(content_type) = HeaderValue::from_str(&reply.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    *response.body_mut() = full_body(reply.body);
    let response = with_header(response, REQUEST_ID_HEADER, request_id);
    let response = match reply.replayed {
        true => with_header(response, REPLAYED_HEADER, "true"),
        false => response,
    };
    let version = entry.active_configuration().version.to_string();
    Ok(with_header(response, CONFIGURATION_VERSION_HEADER, &version))
}

/// Splits the path of a call into the service's name and the path at the service.
///
/// Rejects paths that have another spelling: a service may treat the other spelling as the same
/// path, and the rules for calls that must not run twice would not match it.
pub(super) fn service_and_path(path: &str) -> Result<(String, String), Failure> {
    let rest = path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let segments: Vec<&str> = rest.split('/').collect();
    let (last, before) = segments.split_last().unwrap_or((&"", &[]));
    let has_other_spelling = before.iter().any(|segment| segment.is_empty())
        || [".", ".."].iter().any(|dots| last == dots || before.contains(dots))
        || rest.contains(['%', ';', '\\']);
    if has_other_spelling {
        let message = "the path contains empty or dotted segments, `%`, `;` or `\\`";
        return Err(Failure::not_run(FailureCode::BadRequest, message));
    }
    Ok((service.to_string(), format!("/{rest}")))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(value) = header_text(headers, "x-deadline-ms")? else { return Ok(None) };
    let deadline_ms = value.parse().map_err(|_| {
        let message = format!("`x-deadline-ms` is {value:?}; expected a whole number");
        Failure::not_run(FailureCode::BadRequest, message)
    })?;
    Ok(Some(Duration::from_millis(deadline_ms)))
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| {
        Failure::not_run(FailureCode::BadRequest, format!("`{name}` is not visible ASCII text"))
    })?;
    Ok(Some(value.to_string()))
}
