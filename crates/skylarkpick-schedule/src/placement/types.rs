//! What placement is asked and what it answers.

use skylarkpick_interface::{
    AccountId, CacheScope, DataCentreId, FetchSource, ModelName, PromptPart, ServiceName, TargetId,
    WeightVersion,
};
use std::{net::SocketAddr, time::Duration};

/// A request that wants a target.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Data centre of the process that asks.
    pub data_centre: DataCentreId,
    /// The prompt, where there is one.
    pub prompt: Option<PlacementPrompt>,
    /// Targets that failed the request before.
    pub avoid: Vec<TargetId>,
    /// Longest wait at a target that still makes sense.
    pub max_wait: Duration,
}

/// The prompt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPrompt {
    /// Model to run.
    pub model: ModelName,
    /// Parts from the start; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Longest answer.
    pub answer_tokens_limit: u64,
    /// Client account, where it shares no context with others.
    pub isolated_account: Option<AccountId>,
}

/// A target with all that goes along with the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The target.
    pub target: TargetId,
    /// Where it is.
    pub address: SocketAddr,
    /// Weights that the request may run on.
    pub weight_version: Option<WeightVersion>,
    /// Text under which its context is kept.
    pub cache_scope: Option<CacheScope>,
    /// For each part, where its context is fetched from.
    pub fetch: Vec<Option<FetchSource>>,
    /// For each part, the store that its context is saved to.
    pub save: Vec<Option<SocketAddr>>,
    /// Tokens that the request is believed to find at the target.
    pub held_tokens: u64,
    /// Shared tokens that it is believed to read.
    pub missing_tokens: u64,
    /// Tokens of the prompt that it is believed to read, shared ones or not.
    pub read_tokens: u64,
    /// Tokens that it takes of the target's memory while it runs.
    pub memory_tokens: u64,
    /// Wait for a place that is expected there.
    pub expected_wait: Duration,
    /// Age of the target's word on its load, if it gave any.
    pub load_age: Option<Duration>,
}

/// Why a request has no target now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnplacedReason {
    /// No target of the service is known.
    NoTarget,
    /// Every target leaves, swaps its weights or was tried.
    NoneUsable,
    /// Every target has more work than the request can wait for.
    Full {
        /// Shortest wait for a place.
        wait: Duration,
    },
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// To this place.
    Assigned(Box<Assignment>),
    /// Nowhere now.
    Unplaced(UnplacedReason),
}
