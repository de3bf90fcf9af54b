//! Bodies of the callers' interface.

use serde::{Deserialize, Serialize};
use skylarkpick_interface::{
    AdapterName, ConfigurationVersion, FinishReason, ModelName, Priority, RequestId, WeightVersion,
};

/// Answer length when the caller names none.
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

/// Body of `POST /v1/completions/resume`; headers may say the same.
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
    /// The text to run: the prompt, or the messages one after the other.
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

/// One choice of an answer, or a piece of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Choice {
    pub(super) index: u32,
    pub(super) text: String,
    pub(super) finish_reason: Option<FinishReason>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u64,
    pub(super) completion_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// A whole answer, or one event of a stream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct CompletionAnswer {
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
