//! `POST /v1/completions` completes a prompt, with one JSON response or server-sent events.
//! `POST` or `GET /v1/completions/resume` resumes a stream.

use super::{
    bodies::{Choice, CompletionBody, CompletionResponse, ResumeBody, Usage},
    json::read_json,
    response::{
        ApiResponse, CONFIGURATION_VERSION_HEADER, RESUME_TOKEN_HEADER, WEIGHT_VERSION_HEADER,
        failure_data, failure_response, with_header,
    },
};
use crate::{
    completion::CompletionStream,
    entry::Entry,
    failure::{Failure, FailureCode},
    request::{CompletionEvent, CompletionRequest},
};
use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};
use skylarkpick_cache::estimate_tokens;
use skylarkpick_http::{REQUEST_ID_HEADER, empty_response, json_response, stream_body};
use skylarkpick_interface::{ConfigurationVersion, FinishReason, WeightVersion};
use std::time::Duration;

/// Handles a completion request.
pub(super) async fn complete(
    entry: &Entry,
    account: &str,
    request_id: &str,
    content: &[u8],
) -> Result<ApiResponse, Failure> {
    let body: CompletionBody = read_json(content)?;
    let prompt = body.text().ok_or_else(|| {
        Failure::not_run(FailureCode::BadRequest, "set either `prompt` or `messages`")
    })?;
    if body.max_tokens == 0 {
        return Err(Failure::not_run(FailureCode::BadRequest, "`max_tokens` must be at least 1"));
    }
    let prompt_tokens = estimate_tokens(&prompt);
    let events = entry.complete(CompletionRequest {
        request_id: request_id.to_string(),
        account: account.to_string(),
        model: body.model.clone(),
        adapter: body.adapter,
        prompt,
        answer_tokens_limit: body.max_tokens,
        priority: body.priority,
        deadline: body.deadline_ms.map(Duration::from_millis),
        resumable: body.resumable,
    })?;
    let writer = ResponseWriter::open(request_id.to_string(), body.model, prompt_tokens);
    if body.stream { writer.stream(events).await } else { writer.collect(events).await }
}

/// Handles a request to resume a stream. The resume token comes from the header `x-resume-token` or
/// the body, the position of the last token received from `Last-Event-ID` or the body.
pub(super) async fn resume(
    entry: &Entry,
    account: &str,
    request_id: &str,
    headers: &HeaderMap,
    content: &[u8],
) -> Result<ApiResponse, Failure> {
    let body = match content {
        [] => ResumeBody::default(),
        content => read_json(content)?,
    };
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let token = header(RESUME_TOKEN_HEADER).map(str::to_string).or(body.resume_token);
    let token = token
        .ok_or_else(|| bad_request(&"the resume token is missing; send it as `x-resume-token`"))?;
    let last = match header("last-event-id") {
        Some(last) => {
            Some(last.parse().map_err(|_| bad_request(&"`Last-Event-ID` must be a whole number"))?)
        }
        None => body.last_event_id,
    };
    let next = last.map_or(0_u64, |last| last.saturating_add(1));
    let stream = entry.resume(account, &token, next)?;
    let (request_id, model) = stream
        .resumed()
        .map(|claims| (claims.request_id.clone(), claims.model.clone()))
        .unwrap_or_else(|| (request_id.to_string(), String::new()));
    let prompt_tokens = stream.resumed().map_or(0, |claims| claims.prompt_tokens);
    ResponseWriter::open(request_id, model, prompt_tokens).stream(stream).await
}

fn bad_request(error: &dyn std::fmt::Display) -> Failure {
    Failure::not_run(FailureCode::BadRequest, error.to_string())
}

/// Converts the events of one completion to the HTTP response.
struct ResponseWriter {
    request_id: String,
    model: String,
    prompt_tokens: u64,
    configuration_version: ConfigurationVersion,
    weight_version: WeightVersion,
    cached_tokens: u64,
    resume_token: String,
}

impl ResponseWriter {
    fn open(request_id: String, model: String, prompt_tokens: u64) -> ResponseWriter {
        ResponseWriter {
            request_id,
            model,
            prompt_tokens,
            configuration_version: 0,
            weight_version: 0,
            cached_tokens: 0,
            resume_token: String::new(),
        }
    }

    /// Waits for the first event, so that a failure before it gets its own HTTP status.
    async fn read_start(&mut self, events: &mut CompletionStream) -> Result<(), Failure> {
        match events.next().await {
            Some(CompletionEvent::Started {
                configuration_version,
                weight_version,
                cached_tokens,
                resume_token,
            }) => {
                self.configuration_version = configuration_version;
                self.weight_version = weight_version;
                self.cached_tokens = cached_tokens;
                self.resume_token = resume_token;
                Ok(())
            }
            Some(CompletionEvent::Failed(failure)) => Err(failure),
            _ => Err(ended_early()),
        }
    }

    /// Waits until the completion has finished and responds with one JSON body.
    async fn collect(mut self, mut events: CompletionStream) -> Result<ApiResponse, Failure> {
        self.read_start(&mut events).await?;
        let mut text = String::new();
        while let Some(event) = events.next().await {
            match event {
                CompletionEvent::Token { text: token, .. } => text.push_str(&token),
                CompletionEvent::Finished { reason, answer_tokens } => {
                    let response =
                        self.response(text, Some(reason), Some(self.usage(answer_tokens)));
                    return Ok(self.with_headers(json_response(StatusCode::OK, &response)));
                }
                CompletionEvent::Failed(failure) => return Err(failure),
                CompletionEvent::Started { .. } | CompletionEvent::Moved { .. } => {}
            }
        }
        Err(ended_early())
    }

    /// Responds with server-sent events.
    async fn stream(mut self, mut events: CompletionStream) -> Result<ApiResponse, Failure> {
        self.read_start(&mut events).await?;
        let response = self.with_headers(empty_response(StatusCode::OK));
        let mut response = with_header(response, RESUME_TOKEN_HEADER, &self.resume_token);
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        *response.body_mut() = stream_body(self.sse_events(events));
        Ok(response)
    }

    fn sse_events(
        self,
        events: CompletionStream,
    ) -> impl Stream<Item = Bytes> + Send + Sync + 'static {
        let first = Bytes::from(self.resume_token_event(self.resume_token.clone()));
        let rest = events.map(move |event| Bytes::from(self.sse_event(event)));
        futures::stream::iter([first]).chain(rest)
    }

    fn sse_event(&self, event: CompletionEvent) -> String {
        match event {
            CompletionEvent::Started { resume_token, .. }
            | CompletionEvent::Moved { resume_token } => self.resume_token_event(resume_token),
            CompletionEvent::Token { offset, text } => {
                format!("id: {offset}\ndata: {}\n\n", self.data(text, None, None))
            }
            CompletionEvent::Finished { reason, answer_tokens } => {
                let usage = Some(self.usage(answer_tokens));
                let data = self.data(String::new(), Some(reason), usage);
                format!("data: {data}\n\ndata: [DONE]\n\n")
            }
            CompletionEvent::Failed(failure) => {
                format!("event: error\ndata: {}\n\n", failure_data(&failure, &self.request_id))
            }
        }
    }

    /// Encodes an event without text that carries the resume token.
    fn resume_token_event(&self, resume_token: String) -> String {
        let response = self.response(String::new(), None, None);
        let response = CompletionResponse { resume_token: Some(resume_token), ..response };
        format!("data: {}\n\n", serde_json::to_string(&response).unwrap_or_default())
    }

    fn data(&self, text: String, reason: Option<FinishReason>, usage: Option<Usage>) -> String {
        serde_json::to_string(&self.response(text, reason, usage)).unwrap_or_default()
    }

    fn response(
        &self,
        text: String,
        finish_reason: Option<FinishReason>,
        usage: Option<Usage>,
    ) -> CompletionResponse {
        CompletionResponse {
            id: self.request_id.clone(),
            object: "text_completion".to_string(),
            model: self.model.clone(),
            choices: vec![Choice { index: 0, text, finish_reason }],
            usage,
            configuration_version: self.configuration_version,
            weight_version: self.weight_version,
            resume_token: None,
        }
    }

    fn usage(&self, completion_tokens: u64) -> Usage {
        let (prompt_tokens, cached_tokens) = (self.prompt_tokens, self.cached_tokens);
        Usage { prompt_tokens, completion_tokens, cached_tokens }
    }

    fn with_headers(&self, response: ApiResponse) -> ApiResponse {
        let response = with_header(response, REQUEST_ID_HEADER, &self.request_id);
        let version = self.configuration_version.to_string();
        let response = with_header(response, CONFIGURATION_VERSION_HEADER, &version);
        with_header(response, WEIGHT_VERSION_HEADER, &self.weight_version.to_string())
    }
}

fn ended_early() -> Failure {
    Failure::unknown(FailureCode::TargetFailed, "the response ended early")
}

/// Builds the response of a request that failed.
pub(super) fn respond_with_failure(failure: &Failure, request_id: &str) -> ApiResponse {
    failure_response(failure, request_id)
}
