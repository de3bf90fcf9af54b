//! `POST /v1/completions`: a prompt, answered whole or as server-sent events.

use super::{
    answer::{
        Answer, CONFIGURATION_VERSION_HEADER, WEIGHT_VERSION_HEADER, failure_answer, failure_data,
        with_header,
    },
    json::read_json,
    wire::{Choice, CompletionAnswer, CompletionBody, Usage},
};
use crate::{
    completion::AnswerStream,
    entry::Entry,
    failure::{Failure, FailureCode},
    request::{AnswerEvent, CompletionRequest},
};
use bytes::Bytes;
use futures::{Stream, StreamExt};
use http::{HeaderValue, StatusCode, header::CONTENT_TYPE};
use skylarkpick_cache::estimate_tokens;
use skylarkpick_http::{REQUEST_ID_HEADER, empty_response, json_response, stream_body};
use skylarkpick_interface::{ConfigurationVersion, FinishReason, WeightVersion};
use std::time::Duration;

/// Answers a completion request.
pub(super) async fn complete(
    entry: &Entry,
    account: &str,
    request_id: &str,
    content: &[u8],
) -> Result<Answer, Failure> {
    let body: CompletionBody = read_json(content)?;
    let prompt = body.text().ok_or_else(|| {
        Failure::not_run(FailureCode::BadRequest, "give either `prompt` or `messages`")
    })?;
    if body.max_tokens == 0 {
        return Err(Failure::not_run(FailureCode::BadRequest, "`max_tokens` is 0"));
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
    })?;
    let writer = Writer {
        request_id: request_id.to_string(),
        model: body.model,
        prompt_tokens,
        configuration_version: 0,
        weight_version: 0,
        cached_tokens: 0,
    };
    if body.stream { writer.stream(events).await } else { writer.whole(events).await }
}

/// Writes the events of one answer.
struct Writer {
    request_id: String,
    model: String,
    prompt_tokens: u64,
    configuration_version: ConfigurationVersion,
    weight_version: WeightVersion,
    cached_tokens: u64,
}

impl Writer {
    /// Waits for the first event, so that an early failure gets its own status.
    async fn begin(&mut self, events: &mut AnswerStream) -> Result<(), Failure> {
        match events.next().await {
            Some(AnswerEvent::Started { configuration_version, weight_version, cached_tokens }) => {
                self.configuration_version = configuration_version;
                self.weight_version = weight_version;
                self.cached_tokens = cached_tokens;
                Ok(())
            }
            Some(AnswerEvent::Failed(failure)) => Err(failure),
            _ => Err(ended_early()),
        }
    }

    async fn whole(mut self, mut events: AnswerStream) -> Result<Answer, Failure> {
        self.begin(&mut events).await?;
        let mut text = String::new();
        while let Some(event) = events.next().await {
            match event {
                AnswerEvent::Token { text: piece, .. } => text.push_str(&piece),
                AnswerEvent::Finished { reason, answer_tokens } => {
                    let answer = self.answer(text, Some(reason), Some(self.usage(answer_tokens)));
                    return Ok(self.with_headers(json_response(StatusCode::OK, &answer)));
                }
                AnswerEvent::Failed(failure) => return Err(failure),
                AnswerEvent::Started { .. } => {}
            }
        }
        Err(ended_early())
    }

    async fn stream(mut self, mut events: AnswerStream) -> Result<Answer, Failure> {
        self.begin(&mut events).await?;
        let mut answer = self.with_headers(empty_response(StatusCode::OK));
        let content_type = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
        *answer.body_mut() = stream_body(self.pieces(events));
        Ok(answer)
    }

    fn pieces(self, events: AnswerStream) -> impl Stream<Item = Bytes> + Send + Sync + 'static {
        events.map(move |event| Bytes::from(self.piece(event)))
    }

    fn piece(&self, event: AnswerEvent) -> String {
        match event {
            AnswerEvent::Started { .. } => String::new(),
            AnswerEvent::Token { offset, text } => {
                format!("id: {offset}\ndata: {}\n\n", self.data(text, None, None))
            }
            AnswerEvent::Finished { reason, answer_tokens } => {
                let usage = Some(self.usage(answer_tokens));
                let data = self.data(String::new(), Some(reason), usage);
                format!("data: {data}\n\ndata: [DONE]\n\n")
            }
            AnswerEvent::Failed(failure) => {
                format!("event: error\ndata: {}\n\n", failure_data(&failure, &self.request_id))
            }
        }
    }

    fn data(&self, text: String, reason: Option<FinishReason>, usage: Option<Usage>) -> String {
        serde_json::to_string(&self.answer(text, reason, usage)).unwrap_or_default()
    }

    fn answer(
        &self,
        text: String,
        finish_reason: Option<FinishReason>,
        usage: Option<Usage>,
    ) -> CompletionAnswer {
        CompletionAnswer {
            id: self.request_id.clone(),
            object: "text_completion".to_string(),
            model: self.model.clone(),
            choices: vec![Choice { index: 0, text, finish_reason }],
            usage,
            configuration_version: self.configuration_version,
            weight_version: self.weight_version,
        }
    }

    fn usage(&self, completion_tokens: u64) -> Usage {
        let (prompt_tokens, cached_tokens) = (self.prompt_tokens, self.cached_tokens);
        Usage { prompt_tokens, completion_tokens, cached_tokens }
    }

    fn with_headers(&self, answer: Answer) -> Answer {
        let answer = with_header(answer, REQUEST_ID_HEADER, &self.request_id);
        let version = self.configuration_version.to_string();
        let answer = with_header(answer, CONFIGURATION_VERSION_HEADER, &version);
        with_header(answer, WEIGHT_VERSION_HEADER, &self.weight_version.to_string())
    }
}

fn ended_early() -> Failure {
    Failure::unknown(FailureCode::TargetFailed, "the answer ended early")
}

/// Answers with the failure of a request.
pub(super) fn refuse(failure: &Failure, request_id: &str) -> Answer {
    failure_answer(failure, request_id)
}
