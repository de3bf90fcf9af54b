//! Sends a completion request on either of two paths, through the entry process or directly to the
//! runner, and measures the time to first token.

use super::fleet::{ACCOUNT, MODEL, TOKEN};
use anyhow::{Context, bail};
use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http_body_util::{BodyStream, Full};
use serde_json::json;
use skylarkpick_http::{HttpClient, LineSplitter};
use skylarkpick_interface::{FrameBody, Priority, RunRequest, Runner};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Tokens of each response.
const RESPONSE_TOKENS: u64 = 4;

/// Path of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Path {
    /// Directly to the runner.
    Direct,
    /// Through the entry process.
    Entry,
}

/// Client that sends requests on either path.
#[derive(Clone)]
pub(super) struct LoadClient {
    client: HttpClient,
    entry_uri: String,
    runner: Arc<dyn Runner>,
}

impl LoadClient {
    pub(super) fn open(entry_address: &str, runner: Arc<dyn Runner>) -> LoadClient {
        let entry_uri = format!("http://{entry_address}/v1/completions");
        LoadClient { client: HttpClient::open(), entry_uri, runner }
    }

    /// Sends a prompt, reads the complete response, and returns the time to first token.
    pub(super) async fn send(
        &self,
        path: Path,
        number: u64,
        prompt: String,
    ) -> anyhow::Result<Duration> {
        match path {
            Path::Direct => self.send_to_runner(number, prompt).await,
            Path::Entry => self.send_to_entry(prompt).await,
        }
    }

    async fn send_to_entry(&self, prompt: String) -> anyhow::Result<Duration> {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": RESPONSE_TOKENS, "stream": true,
        });
        let sent_at = Instant::now();
        let request = Request::builder()
            .method("POST")
            .uri(&self.entry_uri)
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::new(Bytes::from(body.to_string())))?;
        let response = self.client.send(request).await?;
        if !response.status().is_success() {
            bail!("unexpected status {}", response.status());
        }
        let mut lines = LineSplitter::default();
        let mut body = BodyStream::new(response.into_body());
        let mut first_token = None;
        while let Some(frame) = body.next().await {
            lines.push(&frame?.into_data().unwrap_or_default());
            for line in lines.by_ref() {
                // Only token events have an id; the event before them identifies the stream.
                if line.starts_with(b"id: ") {
                    first_token.get_or_insert_with(|| sent_at.elapsed());
                }
                if line.as_ref() == b"data: [DONE]" {
                    return first_token.context("the response contains no token");
                }
            }
        }
        bail!("the stream ended early")
    }

    async fn send_to_runner(&self, number: u64, prompt: String) -> anyhow::Result<Duration> {
        let run_id = format!("direct-{number}");
        let sent_at = Instant::now();
        let mut frames = self
            .runner
            .start(RunRequest {
                run_id: run_id.clone(),
                request_id: run_id,
                attempt_id: 1,
                account: ACCOUNT.to_string(),
                model: MODEL.to_string(),
                adapter: None,
                expected_weight_version: 1,
                prompt_tokens: skylarkpick_cache::estimate_tokens(&prompt),
                prompt,
                prefix_keys: Vec::new(),
                answer_tokens_limit: RESPONSE_TOKENS,
                delivered: Vec::new(),
                priority: Priority::default(),
            })
            .await?;
        let mut first_token = None;
        while let Some(frame) = frames.next().await {
            match frame?.body {
                FrameBody::Token { .. } => {
                    first_token.get_or_insert_with(|| sent_at.elapsed());
                }
                FrameBody::Finished { .. } => {
                    return first_token.context("the response contains no token");
                }
                _ => {}
            }
        }
        bail!("the stream ended early")
    }
}
