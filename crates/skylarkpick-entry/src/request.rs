//! Requests of callers, and the responses and events sent back.

use crate::failure::Failure;
use skylarkpick_interface::{
    AccountId, AdapterName, ConfigurationVersion, FinishReason, IdempotencyKey, ModelName,
    Priority, RequestId, ServiceName, WeightVersion,
};
use std::time::Duration;

/// A prompt to complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompletionRequest {
    /// Unique id of the request.
    pub request_id: RequestId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Model to run.
    pub model: ModelName,
    /// Adapter to apply to the model.
    pub adapter: Option<AdapterName>,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum length of the response.
    pub answer_tokens_limit: u64,
    /// Priority in the admission queue and at the runner.
    pub priority: Priority,
    /// Time limit for the complete response, if shorter than that of the serving configuration.
    pub deadline: Option<Duration>,
    /// Whether the run is retained for some time after the caller disconnects, so that the stream
    /// can be resumed.
    pub resumable: bool,
}

/// A call to a plain service, one without a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRequest {
    /// Unique id of the request.
    pub request_id: RequestId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Service to call.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path at the service, with a leading slash.
    pub path: String,
    /// Body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Key chosen by the caller, under which the call runs at most once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time limit for the response, if shorter than that of the service's rules.
    pub deadline: Option<Duration>,
}

/// Response to a call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Whether this is the stored response to an earlier call with the same idempotency key.
    pub replayed: bool,
}

/// One event of a completion stream.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEvent {
    /// A runner started the run. Always the first event, unless the request fails before.
    Started {
        /// Configuration version at the time the request was accepted.
        configuration_version: ConfigurationVersion,
        /// Weight version of the whole response.
        weight_version: WeightVersion,
        /// Prompt tokens found in the runner's KV cache.
        cached_tokens: u64,
        /// Token with which the stream can be resumed.
        resume_token: String,
    },
    /// Another runner continues the response; the previous resume token is no longer valid.
    Moved {
        /// Token with which the stream can be resumed from now on.
        resume_token: String,
    },
    /// A token of the response; each is delivered once, in order.
    Token {
        /// Position in the response, from 0.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// The response is complete.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// Number of tokens in the response.
        answer_tokens: u64,
    },
    /// The response ends here and is incomplete.
    Failed(Failure),
}
