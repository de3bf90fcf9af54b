//! The settings and faults of a simulated runner, and its record of each run.

use skylarkpick_interface::{
    AccountId, AttemptId, FinishReason, ModelName, RequestId, RunId, WeightVersion,
};
use std::time::Duration;
use tokio::time::Instant;

/// Capacity and speed of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerSettings {
    /// Model that the runner serves initially.
    pub model: ModelName,
    /// Weight version that the runner serves initially.
    pub weight_version: WeightVersion,
    /// Runs that are computed concurrently; others queue.
    pub slots: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Prefill speed.
    pub prefill_tokens_per_second: f64,
    /// Time between two tokens of a run while decoding.
    pub token_interval: Duration,
    /// KV cache size per token.
    pub context_bytes_per_token: u64,
    /// Age of the load that a load report shows.
    pub load_lag: Duration,
    /// Delay after which a cache event can be read.
    pub event_lag: Duration,
    /// Whether orders with a fencing number lower than an earlier one are rejected.
    pub checks_fencing: bool,
}

impl Default for RunnerSettings {
    fn default() -> RunnerSettings {
        RunnerSettings {
            model: "model".to_string(),
            weight_version: 1,
            slots: 16,
            cache_blocks: 512,
            block_tokens: 256,
            prefill_tokens_per_second: 20_000.0,
            token_interval: Duration::from_millis(20),
            context_bytes_per_token: 131_072,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(300),
            checks_fencing: true,
        }
    }
}

/// Faults of a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerFaults {
    /// The runner is unreachable; it loses its runs and its cache, and streams break.
    pub dead: bool,
    /// The runner neither computes nor responds until the fault ends.
    pub frozen: bool,
    /// Streams break, while their runs continue and can be resumed.
    pub breaks_streams: bool,
    /// Number of upcoming cache events that are dropped before they are read.
    pub lost_events: u32,
    /// Each stream carries frames of another request, one before each token.
    pub injects_foreign_frames: bool,
}

/// What a runner did for a run, for checks that do not depend on the system under test.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Id of the run.
    pub run_id: RunId,
    /// Request that the run serves.
    pub request_id: RequestId,
    /// Attempt of the request.
    pub attempt_id: AttemptId,
    /// Client account of the request.
    pub account: AccountId,
    /// Weight version that computed the run.
    pub weight_version: WeightVersion,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// All prompt tokens of the run.
    pub prompt_tokens: u64,
    /// Whether all cached blocks that the run used were intact and of its weight version.
    pub used_valid_context: bool,
    /// Why the run ended; `None` while it is in progress.
    pub finished: Option<FinishReason>,
    /// When the runner accepted the run.
    pub started_at: Instant,
}

/// Returns the token that a run of `prompt` generates at `offset` with a weight version.
///
/// ```
/// let text = skylarkpick_standin::expected_token("prompt", 1, 0);
/// assert_ne!(text, skylarkpick_standin::expected_token("prompt", 2, 0));
/// ```
pub fn expected_token(prompt: &str, weight_version: WeightVersion, offset: u64) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}.{weight_version}.{offset} ", &hash.as_str()[..6])
}
