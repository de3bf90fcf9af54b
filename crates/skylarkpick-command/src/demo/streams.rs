//! Reads answers as a caller does.

use super::fleet::{MODEL, token};
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};
use skylarkpick_http::{HttpClient, LineSplitter};
use skylarkpick_standin::expected_token;
use std::time::{Duration, Instant};

/// What a caller got.
#[derive(Clone, Debug)]
pub(super) enum Received {
    /// Every token of its own answer.
    Whole { first_token: Duration, prompt_tokens: u64, cached_tokens: u64 },
    /// A refusal that says that the request did not run.
    NotRun(String),
    /// An end after which nobody knows whether the request ran.
    Unknown(String),
    /// Something that must not happen.
    Wrong(String),
}

/// Sends a prompt and reads the stream that answers it.
pub(super) async fn ask(
    client: &HttpClient,
    address: &str,
    account: &str,
    prompt: &str,
    answer_tokens: u64,
) -> Received {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": answer_tokens, "stream": true,
    });
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {}", token(account)))
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return Received::Wrong("no request".to_string()) };
    let sent_at = Instant::now();
    match client.send(request).await {
        Err(skylarkpick_http::CallError::NotConnected(why)) => Received::NotRun(why),
        Err(error) => Received::Unknown(error.to_string()),
        Ok(answer) if !answer.status().is_success() => refusal(answer).await,
        Ok(answer) => read(answer, sent_at, prompt, answer_tokens).await,
    }
}

async fn refusal(answer: Response<Incoming>) -> Received {
    let content = answer.into_body().collect().await.map(|body| body.to_bytes());
    let value: Value = serde_json::from_slice(&content.unwrap_or_default()).unwrap_or_default();
    let message = value["error"]["message"].as_str().unwrap_or("no message").to_string();
    match value["error"]["ran"].as_str() {
        Some("not_run") => Received::NotRun(message),
        _ => Received::Unknown(message),
    }
}

async fn read(
    answer: Response<Incoming>,
    sent_at: Instant,
    prompt: &str,
    answer_tokens: u64,
) -> Received {
    let mut lines = LineSplitter::default();
    let mut body = BodyStream::new(answer.into_body());
    let mut first_token = None;
    let mut next = 0;
    let mut last = Value::Null;
    while let Some(frame) = body.next().await {
        let Ok(frame) = frame else { return Received::Unknown("the stream broke".to_string()) };
        lines.push(&frame.into_data().unwrap_or_default());
        for line in lines.by_ref() {
            let Some(data) = line.strip_prefix(b"data: ") else { continue };
            if data == b"[DONE]" {
                return finish(first_token, &last, next, answer_tokens);
            }
            last = serde_json::from_slice(data).unwrap_or_default();
            if last["error"].is_object() {
                return Received::Unknown(last["error"]["message"].to_string());
            }
            let text = last["choices"][0]["text"].as_str().unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            first_token.get_or_insert_with(|| sent_at.elapsed());
            let version = last["weight_version"].as_u64().unwrap_or_default();
            if text != expected_token(prompt, version, next) {
                return Received::Wrong(format!("{text:?} is not token {next} of this answer"));
            }
            next += 1;
        }
    }
    Received::Unknown("the stream ended early".to_string())
}

fn finish(first_token: Option<Duration>, last: &Value, next: u64, expected: u64) -> Received {
    if next != expected {
        return Received::Wrong(format!("{next} tokens of {expected} in a whole answer"));
    }
    Received::Whole {
        first_token: first_token.unwrap_or_default(),
        prompt_tokens: last["usage"]["prompt_tokens"].as_u64().unwrap_or_default(),
        cached_tokens: last["usage"]["cached_tokens"].as_u64().unwrap_or_default(),
    }
}
