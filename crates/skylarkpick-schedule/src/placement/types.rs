//! Requests to placement and its decisions.

use skylarkpick_interface::{
    AccountId, CacheScope, DataCentreId, FetchSource, ModelName, PromptPart, ServiceName,
    SoftwareVersion, TargetId, WeightVersion,
};
use std::{net::SocketAddr, time::Duration};

/// A request that needs a target.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Data centre of the entry process that forwards the request.
    pub data_centre: DataCentreId,
    /// The prompt; `None` for a call to a plain service.
    pub prompt: Option<PlacementPrompt>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether the request continues a run whose target failed. It doesn't wait for capacity, since
    /// its client would see a pause in the response.
    pub is_continuation: bool,
    /// The only software version whose targets may take the request, if a target on that version has
    /// begun its stream.
    pub software_version: Option<SoftwareVersion>,
    /// Targets that already failed this request.
    pub avoid: Vec<TargetId>,
    /// Longest acceptable wait for a slot at a target.
    pub max_wait: Duration,
}

/// The prompt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPrompt {
    /// Model to run.
    pub model: ModelName,
    /// Consecutive parts from the start of the prompt. The last one belongs to the request or its
    /// session and isn't shared with other requests.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Longest response.
    pub answer_tokens_limit: u64,
    /// Client account, if it must not share cached context with other accounts.
    pub isolated_account: Option<AccountId>,
}

/// A part of a prompt that a target is expected to fetch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedTransfer {
    /// The cache to fetch it from.
    pub source: SocketAddr,
    /// Length of the part.
    pub tokens: u64,
}

/// The target of a request, with the cache instructions that are sent along.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The target.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Start of the target's incarnation.
    pub started_at_ms: u64,
    /// Version of the target's software, if it is known.
    pub software_version: Option<SoftwareVersion>,
    /// Weights to run the request on; `None` for a plain service.
    pub weight_version: Option<WeightVersion>,
    /// Scope under which the context is cached; `None` for a plain service.
    pub cache_scope: Option<CacheScope>,
    /// For each part, the cache that its context is fetched from.
    pub fetch: Vec<Option<FetchSource>>,
    /// For each part, the store that its context is saved to.
    pub save: Vec<Option<SocketAddr>>,
    /// Prompt tokens that are expected to be in the target's cache.
    pub held_tokens: u64,
    /// Shared prompt tokens that are expected to be prefilled for lack of a cached copy.
    pub missing_tokens: u64,
    /// Prompt tokens that are expected to be prefilled, shared or not.
    pub prefill_tokens: u64,
    /// Tokens of the target's memory that the request takes while it runs.
    pub memory_tokens: u64,
    /// Parts that the target is expected to fetch, since it lacks them.
    pub transfers: Vec<PlannedTransfer>,
    /// Expected wait for a slot.
    pub expected_wait: Duration,
    /// Age of the target's last load report, if there is one.
    pub load_age: Option<Duration>,
    /// Time since the first version newer than `weight_version` became the desired one, if there is
    /// a newer one.
    pub newer_weights_age: Option<Duration>,
}

/// Why a request was not assigned to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnplacedReason {
    /// No target of the service is registered.
    NoTarget,
    /// Every target is draining or in an evacuated data centre, has already failed the request, or has
    /// no usable weights or another software version, or the prompt's service is not in the serving
    /// document.
    NoneUsable,
    /// Every target that could take the request has asked this process for a pause, or limits its
    /// requests and this process's share has no room.
    HeldOff {
        /// Time until the first of them takes a request.
        wait: Duration,
    },
    /// Every target that could take the request is brittle, and this process may have no further request
    /// under way there.
    NoPlace {
        /// Expected time until one of its requests there ends; `None` if it may have none.
        wait: Option<Duration>,
    },
    /// No target has capacity for the request, or the cheapest one makes it wait longer than its
    /// maximum wait.
    Full {
        /// Expected wait until a target has capacity.
        wait: Duration,
    },
}

impl UnplacedReason {
    /// Returns the expected time until the request may be placed, if there is an estimate.
    ///
    /// ```
    /// use skylarkpick_schedule::UnplacedReason;
    /// use std::time::Duration;
    /// let wait = Duration::from_millis(40);
    /// assert_eq!(UnplacedReason::Full { wait }.wait(), Some(wait));
    /// assert_eq!(UnplacedReason::NoTarget.wait(), None);
    /// ```
    pub fn wait(self) -> Option<Duration> {
        match self {
            UnplacedReason::Full { wait } | UnplacedReason::HeldOff { wait } => Some(wait),
            UnplacedReason::NoPlace { wait } => wait,
            UnplacedReason::NoTarget | UnplacedReason::NoneUsable => None,
        }
    }
}

/// Outcome of placing a request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// The request goes to this target.
    Assigned(Box<Assignment>),
    /// No target can take the request now.
    Unplaced(UnplacedReason),
}
