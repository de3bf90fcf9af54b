//! Heads of requests that are forwarded byte for byte, and of their responses.

use crate::ids::{AccountId, ModelName, ServiceName, SoftwareVersion, TargetId, WeightVersion};
use http::{HeaderMap, request, response};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// ID that the client assigns to one attempt of a request; unique to that attempt.
pub type ClientAttemptId = String;
/// Number of an event in an event stream; consecutive.
pub type EventId = u64;
/// ID of a prompt part.
pub type PartId = String;
/// Namespace of cached prompt parts; requests of different scopes share none.
pub type CacheScope = String;

/// Part of a prompt, the unit of KV cache lookups.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// ID of the part; the same text has the same ID.
    pub id: PartId,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Description of a prompt from the request head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptDescription {
    /// Model to run.
    pub model: ModelName,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub answer_tokens_limit: u64,
    /// Parts from the start of the prompt; the last one is specific to this request or its session.
    pub parts: Vec<PromptPart>,
}

/// Decoded head of a client's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// ID of this attempt.
    pub attempt_id: ClientAttemptId,
    /// Time that the client waits for a response.
    pub deadline: Option<Duration>,
    /// API key of a client account.
    pub key: Option<String>,
    /// Host header.
    pub host: String,
    /// Description of the prompt, if there is one.
    pub prompt: Option<PromptDescription>,
    /// Last event of a resumed stream that the client has received.
    pub resume_after: Option<EventId>,
    /// Attempt that brought the first event of a resumed stream.
    pub resumed_attempt: Option<ClientAttemptId>,
    /// Headers to forward. They contain neither the key, nor hop-by-hop headers, nor headers that
    /// only the system may set.
    pub headers: HeaderMap,
}

/// Run that wrote the events of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service of the stream.
    pub service: ServiceName,
    /// Target of the run.
    pub target: TargetId,
    /// Start of the target's incarnation, as registered when the run was assigned.
    pub started_at_ms: u64,
    /// Software version of the target.
    pub software_version: SoftwareVersion,
    /// Wall-clock time in Unix milliseconds at which the first piece of the run's response arrived.
    pub began_at_ms: u64,
}

/// Why a request head is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HeadError {
    /// The head has no attempt ID.
    #[error("the request has no attempt ID")]
    NoAttemptId,
    /// A header can't be parsed.
    #[error("header {0} is invalid")]
    Unreadable(String),
}

/// Cache from which a prompt part is fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchSource {
    /// Address of the target or store that holds the part.
    pub address: SocketAddr,
}

/// Metadata that is added to a request for one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Time left until the request's deadline.
    pub deadline: Duration,
    /// The only target that may run the request.
    pub target: TargetId,
    /// Client account of the request.
    pub account: Option<AccountId>,
    /// Priority rank; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Weight version that the request must run on.
    pub weight_version: Option<WeightVersion>,
    /// Scope under which the prompt parts are cached.
    pub cache_scope: Option<CacheScope>,
    /// For each part, the cache to fetch it from.
    pub fetch: Vec<Option<FetchSource>>,
    /// For each part, the store to save it to.
    pub save: Vec<Option<SocketAddr>>,
    /// Event after which a resumed stream continues.
    pub resume_after: Option<EventId>,
}

/// Load that a target reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests in the target's queue.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes on the target's machine at the moment, in percent of the usual time.
    /// `None` if the target doesn't report it.
    pub slowness_percent: Option<u32>,
}

impl ReportedLoad {
    /// Returns the requests at the target, running or waiting.
    ///
    /// ```
    /// use skylarkpick_interface::ReportedLoad;
    /// let load = ReportedLoad { running: 3, waiting: u32::MAX, ..ReportedLoad::default() };
    /// assert_eq!(load.requests(), u32::MAX);
    /// ```
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Requests that a target takes from all processes together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestLimit {
    /// Thousandths of a request per second.
    pub milli_requests_per_second: u64,
}

impl RequestLimit {
    /// Returns the limit in requests per second.
    ///
    /// ```
    /// let limit = skylarkpick_interface::RequestLimit { milli_requests_per_second: 1_500 };
    /// assert_eq!(limit.requests_per_second(), 1.5);
    /// ```
    pub fn requests_per_second(&self) -> f64 {
        self.milli_requests_per_second as f64 / 1_000.0
    }
}

/// What the head of a response says about a limit of its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitSignal {
    /// It names no limit, so that one that was named before has ended.
    #[default]
    None,
    /// It names this limit.
    Named(RequestLimit),
    /// It names one that can't be decoded; what was named before stays.
    Unreadable,
}

/// What a target says that falls over if it has to turn away more requests than it names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrittleSignal {
    /// Requests that it may turn away, in thousandths of a request per second; `None` if the value
    /// can't be decoded.
    pub milli_rejections_per_second: Option<u64>,
}

impl BrittleSignal {
    /// Returns the requests per second that the target may turn away, if its value was decoded.
    ///
    /// ```
    /// use skylarkpick_interface::BrittleSignal;
    /// let signal = BrittleSignal { milli_rejections_per_second: Some(2_500) };
    /// assert_eq!(signal.rejections_per_second(), Some(2.5));
    /// ```
    pub fn rejections_per_second(self) -> Option<f64> {
        self.milli_rejections_per_second.map(|milli| milli as f64 / 1_000.0)
    }
}

/// What a target asks of this process in the head of a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetSignals {
    /// Whether the target is about to leave.
    pub is_leaving: bool,
    /// Time for which the target wants no calls from this process, since it turned one away.
    pub pause: Option<Duration>,
    /// Requests that the target takes, if it limits them.
    pub limit: LimitSignal,
    /// Whether the target is brittle.
    pub brittle: Option<BrittleSignal>,
    /// Time for which the target stays cold, if it says so.
    pub cold_remaining: Option<Duration>,
    /// Headers that can't be decoded.
    pub unreadable: Vec<UnreadableHeader>,
}

/// Header of a response whose value can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableHeader {
    /// Name of the header.
    pub name: String,
    /// Start of its value.
    pub value: String,
}

/// Metadata from the head of a target's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Attempt that the response belongs to.
    pub attempt_id: Option<ClientAttemptId>,
    /// Whether the target reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the target signed the response.
    pub is_signed: bool,
    /// Load of the target.
    pub load: Option<ReportedLoad>,
    /// Weight version of the run, or of a target that rejected the request because of its weights.
    pub weight_version: Option<WeightVersion>,
    /// Target that responded, if it reports its name.
    pub target: Option<TargetId>,
    /// Time after which the target closes the idle connection.
    pub idle_limit: Option<Duration>,
    /// Whether the target closes the connection.
    pub closes: bool,
    /// What the target asks of this process.
    pub signals: TargetSignals,
}

/// Decodes and encodes request and response heads in the platform's header format.
pub trait Dialect: Send + Sync {
    /// Decodes the head of a client's request.
    ///
    /// # Errors
    /// Returns an error if the head is invalid; the request is rejected.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Returns the headers of the request to one target.
    fn write_request(&self, head: &RequestHead, metadata: &RequestMetadata) -> HeaderMap;

    /// Decodes the head of a target's response.
    fn read_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Adds the headers that ask a client to retry after `wait`.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration);

    /// Returns those headers of a target's response that are forwarded to the client.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the attempt ID to a response that the system itself generates.
    fn write_attempt_id(&self, headers: &mut HeaderMap, attempt_id: &str);
}
