//! Requests that are passed on byte for byte, and what their heads say.

use crate::ids::{AccountId, ModelName, TargetId, WeightVersion};
use http::{HeaderMap, request, response};
use std::{net::SocketAddr, time::Duration};

/// Caller's id of one try; no two tries share it.
pub type ClientAttemptId = String;
/// Number of an event in a stream; grows by one from event to event.
pub type EventId = u64;
/// Names a part of a prompt.
pub type PartId = String;
/// Text under which context is kept; requests of different scopes share nothing.
pub type CacheScope = String;

/// One part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Name of the part; the same text has the same name.
    pub id: PartId,
    /// Length of the part.
    pub tokens: u64,
}

/// What a request says of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptDescription {
    /// Model to run.
    pub model: ModelName,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Longest answer.
    pub answer_tokens_limit: u64,
    /// Parts from the start; the last one belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

/// Head of a request, as the client sent it.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Id of this try.
    pub attempt_id: ClientAttemptId,
    /// Time that the client will wait.
    pub deadline: Option<Duration>,
    /// Key that acts for a client account.
    pub key: Option<String>,
    /// Host that the request names.
    pub host: String,
    /// The prompt, where there is one.
    pub prompt: Option<PromptDescription>,
    /// Last event that the client has.
    pub resume_after: Option<EventId>,
    /// Headers to pass on. Those that only the system may set, the key, and those that concern
    /// one connection are not among them.
    pub headers: HeaderMap,
}

/// Why a head is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HeadError {
    /// No id of the try.
    #[error("the request has no id")]
    NoAttemptId,
    /// A header cannot be read.
    #[error("header {0} cannot be read")]
    Unreadable(String),
}

/// Where context of a part is fetched from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchSource {
    /// Target or store that keeps it.
    pub address: SocketAddr,
}

/// What the system adds to a request for one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Time left.
    pub deadline: Duration,
    /// Target that alone may run it.
    pub target: TargetId,
    /// Client account that the request is for.
    pub account: Option<AccountId>,
    /// Rank, 0 first.
    pub rank: Option<u8>,
    /// Weights that it may run on.
    pub weight_version: Option<WeightVersion>,
    /// Text under which its context is kept.
    pub cache_scope: Option<CacheScope>,
    /// For each part, where its context is fetched from.
    pub fetch: Vec<Option<FetchSource>>,
    /// For each part, the store that its context is saved to.
    pub save: Vec<Option<SocketAddr>>,
    /// Event after which a resumed stream goes on.
    pub resume_after: Option<EventId>,
}

/// Load that a target tells with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once at most.
    pub slots: u32,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Request that the answer belongs to.
    pub attempt_id: Option<ClientAttemptId>,
    /// Whether the target says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the target signed the answer.
    pub is_signed: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// Weights of the run, or of the target that refused.
    pub weight_version: Option<WeightVersion>,
    /// Target that answered, where it says so.
    pub target: Option<TargetId>,
    /// Time that the connection may stay unused.
    pub idle_limit: Option<Duration>,
    /// Whether the target closes the connection.
    pub closes: bool,
}

/// Reads and writes the heads of requests and answers in the platform's manner.
pub trait Dialect: Send + Sync {
    /// Reads the head of a client's request.
    ///
    /// # Errors
    /// When the head cannot be read; the request is refused.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Headers of the request to one target.
    fn write_request(&self, head: &RequestHead, marks: &RequestMetadata) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn read_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Headers that tell a client when to come back.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration);

    /// Headers of an answer that go to the client.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Names the request that an answer of the system's own belongs to.
    fn write_attempt_id(&self, headers: &mut HeaderMap, attempt_id: &str);
}
