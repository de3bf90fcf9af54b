//! Requests of callers and the events that answer them.

use crate::failure::Failure;
use skylarkpick_interface::{
    AccountId, AdapterName, ConfigurationVersion, FinishReason, IdempotencyKey, ModelName,
    Priority, RequestId, ServiceName, WeightVersion,
};
use std::time::Duration;

/// A prompt to complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompletionRequest {
    /// Name of the request.
    pub request_id: RequestId,
    /// Client account that asks.
    pub account: AccountId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter over the model.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// Length at which the answer ends.
    pub answer_tokens_limit: u64,
    /// Order among other requests.
    pub priority: Priority,
    /// Time for the whole answer, if shorter than the serving configuration's.
    pub deadline: Option<Duration>,
    /// Whether the run stays at its runner for a while when the caller closes.
    pub resumable: bool,
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRequest {
    /// Name of the request.
    pub request_id: RequestId,
    /// Client account that asks.
    pub account: AccountId,
    /// Service to call.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path at the service, with a leading slash.
    pub path: String,
    /// Body, passed on as it came.
    pub body: Vec<u8>,
    /// The caller's own key, under which the call runs at most once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time for the answer, if shorter than the service's rules.
    pub deadline: Option<Duration>,
}

/// Answer to a call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, passed on as it came.
    pub body: Vec<u8>,
    /// Whether this is the stored answer of an earlier call under the same idempotency key.
    pub replayed: bool,
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEvent {
    /// A runner took the request up; always first, unless the request fails before.
    Started {
        /// Configuration that the request was taken under.
        configuration_version: ConfigurationVersion,
        /// Weights that the answer is made with, to its end.
        weight_version: WeightVersion,
        /// Prompt tokens that the runner's cache spared.
        cached_tokens: u64,
        /// Names the stream to whoever takes it up again.
        resume_token: String,
    },
    /// Another runner goes on with the answer; the token before names the stream no more.
    Moved {
        /// Names the stream from now on.
        resume_token: String,
    },
    /// A token of the answer; each comes once, in order.
    Token {
        /// Position in the answer, from 0.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// Tokens in the whole answer.
        answer_tokens: u64,
    },
    /// The answer ends here, not whole.
    Failed(Failure),
}
