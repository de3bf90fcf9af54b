//! Request and response bodies of the completion API.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    AdapterName, ConfigurationVersion, FinishReason, ModelName, Priority, RequestId, WeightVersion,
};

/// Response length limit if the caller sets none.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(super) struct CompletionBody {
    pub(super) model: ModelName,
    #[serde(default)]
    pub(super) adapter: Option<AdapterName>,
    #[serde(default)]
    pub(super) prompt: Option<String>,
    #[serde(default)]
    pub(super) messages: Vec<ChatMessage>,
    #[serde(default = "default_answer_tokens")]
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) priority: Priority,
    #[serde(default)]
    pub(super) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(super) resumable: bool,
}

/// Body of `POST /v1/completions/resume`; headers may carry the same values.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub(super) struct ResumeBody {
    pub(super) resume_token: Option<String>,
    /// Position of the last token received.
    pub(super) last_event_id: Option<u64>,
}

fn default_answer_tokens() -> u64 {
    DEFAULT_ANSWER_TOKENS
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub(super) struct ChatMessage {
    pub(super) role: String,
    pub(super) content: String,
}

impl CompletionBody {
    /// Returns the text to complete: the prompt, or the messages joined in order.
    pub(super) fn text(&self) -> Option<String> {
        match (&self.prompt, self.messages.is_empty()) {
            (Some(prompt), true) => Some(prompt.clone()),
            (None, false) => Some(
                self.messages
                    .iter()
                    .map(|message| format!("{}: {}\n", message.role, message.content))
                    .collect(),
            ),
            _ => None,
        }
    }
}

/// One choice of a response, or one part of it in a stream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Choice {
    pub(super) index: u32,
    pub(super) text: String,
    pub(super) finish_reason: Option<FinishReason>,
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u64,
    pub(super) completion_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// A complete response, or one event of a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct CompletionResponse {
    pub(super) id: RequestId,
    pub(super) object: String,
    pub(super) model: ModelName,
    pub(super) choices: Vec<Choice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) usage: Option<Usage>,
    pub(super) configuration_version: ConfigurationVersion,
    pub(super) weight_version: WeightVersion,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) resume_token: Option<String>,
}
