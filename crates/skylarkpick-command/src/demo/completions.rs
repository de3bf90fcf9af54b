//! Sends completion requests and verifies every token of the streamed response.

use super::fleet::{MODEL, token};
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response};
use http_body_util::{BodyExt, BodyStream, Full};
use serde_json::{Value, json};
use skylarkpick_http::{HttpClient, LineSplitter, MeteredBody};
use skylarkpick_standin::expected_token;
use std::time::{Duration, Instant};

/// Outcome of a completion request, as the caller sees it.
#[derive(Clone, Debug)]
pub(super) enum CompletionOutcome {
    /// The response contained exactly the expected tokens.
    Complete { first_token: Duration, prompt_tokens: u64, cached_tokens: u64 },
    /// The request failed and certainly did not run.
    NotRun(String),
    /// The request failed and may have run.
    Unknown(String),
    /// The response was invalid, which violates a guarantee.
    Invalid(String),
}

/// Sends a prompt and reads its streamed response.
pub(super) async fn send_completion(
    client: &HttpClient,
    address: &str,
    account: &str,
    prompt: &str,
    response_tokens: u64,
) -> CompletionOutcome {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": response_tokens, "stream": true,
    });
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {}", token(account)))
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else {
        return CompletionOutcome::Invalid("failed to build the request".to_string());
    };
    let sent_at = Instant::now();
    match client.send(request).await {
        Err(skylarkpick_http::CallError::NotConnected(reason)) => CompletionOutcome::NotRun(reason),
        Err(error) => CompletionOutcome::Unknown(error.to_string()),
        Ok(response) if !response.status().is_success() => read_error(response).await,
        Ok(response) => read_stream(response, sent_at, prompt, response_tokens).await,
    }
}

/// Reads an error response; its `ran` field reports whether the request ran.
async fn read_error(response: Response<MeteredBody>) -> CompletionOutcome {
    let content = response.into_body().collect().await.map(|body| body.to_bytes());
    let value: Value = serde_json::from_slice(&content.unwrap_or_default()).unwrap_or_default();
    let message = value["error"]["message"].as_str().unwrap_or("no message").to_string();
    match value["error"]["ran"].as_str() {
        Some("not_run") => CompletionOutcome::NotRun(message),
        _ => CompletionOutcome::Unknown(message),
    }
}

/// Reads a stream of events and compares each token with the one that the stand-in generates for
/// this prompt and weight version.
async fn read_stream(
    response: Response<MeteredBody>,
    sent_at: Instant,
    prompt: &str,
    response_tokens: u64,
) -> CompletionOutcome {
    let mut lines = LineSplitter::default();
    let mut body = BodyStream::new(response.into_body());
    let mut first_token = None;
    let mut position = 0;
    let mut last_event = Value::Null;
    while let Some(frame) = body.next().await {
        let Ok(frame) = frame else {
            return CompletionOutcome::Unknown("the stream failed".to_string());
        };
        lines.push(&frame.into_data().unwrap_or_default());
        for line in lines.by_ref() {
            let Some(data) = line.strip_prefix(b"data: ") else { continue };
            if data == b"[DONE]" {
                return finish(first_token, &last_event, position, response_tokens);
            }
            last_event = serde_json::from_slice(data).unwrap_or_default();
            if last_event["error"].is_object() {
                return CompletionOutcome::Unknown(last_event["error"]["message"].to_string());
            }
            let text = last_event["choices"][0]["text"].as_str().unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            first_token.get_or_insert_with(|| sent_at.elapsed());
            let version = last_event["weight_version"].as_u64().unwrap_or_default();
            if text != expected_token(prompt, version, position) {
                return CompletionOutcome::Invalid(format!(
                    "{text:?} is not token {position} of this response"
                ));
            }
            position += 1;
        }
    }
    CompletionOutcome::Unknown("the stream ended early".to_string())
}

/// Returns the outcome of a stream that ended normally; its number of tokens must be as requested.
fn finish(
    first_token: Option<Duration>,
    last_event: &Value,
    received: u64,
    expected: u64,
) -> CompletionOutcome {
    if received != expected {
        return CompletionOutcome::Invalid(format!(
            "{received} tokens instead of {expected} in a complete response"
        ));
    }
    CompletionOutcome::Complete {
        first_token: first_token.unwrap_or_default(),
        prompt_tokens: last_event["usage"]["prompt_tokens"].as_u64().unwrap_or_default(),
        cached_tokens: last_event["usage"]["cached_tokens"].as_u64().unwrap_or_default(),
    }
}
