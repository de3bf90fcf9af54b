//! Size, speed and faults of a runner, and what it records.

use skylarkpick_interface::{
    AccountId, AttemptId, FinishReason, ModelName, RequestId, RunId, WeightVersion,
};
use std::time::Duration;
use tokio::time::Instant;

/// Size and speed of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerSettings {
    /// Model served at the start.
    pub model: ModelName,
    /// Weights served at the start.
    pub weight_version: WeightVersion,
    /// Runs that fit at once.
    pub slots: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u64,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_second: f64,
    /// Time between two tokens of a run.
    pub token_interval: Duration,
    /// Bytes of cached context for each token.
    pub context_bytes_per_token: u64,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age at which cache events are handed out.
    pub event_lag: Duration,
    /// Whether an order under an old fencing number is refused.
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
    /// Cannot be reached; streams break off and runs are gone.
    pub dead: bool,
    /// Computes nothing and answers nothing until the fault ends.
    pub frozen: bool,
    /// Streams break off, but runs go on and can be resumed.
    pub breaks_streams: bool,
    /// Loses this many coming cache events.
    pub lost_events: u32,
    /// Puts a frame of another request into each stream.
    pub injects_foreign_frames: bool,
}

/// What the runner did for one run, for an independent check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Name of the run.
    pub run_id: RunId,
    /// Request that it answered.
    pub request_id: RequestId,
    /// Attempt of the request.
    pub attempt_id: AttemptId,
    /// Client account that it was for.
    pub account: AccountId,
    /// Weights that it used.
    pub weight_version: WeightVersion,
    /// Prompt tokens that the cache spared.
    pub cached_tokens: u64,
    /// Prompt tokens of the run.
    pub prompt_tokens: u64,
    /// Whether every cached block that it used was whole and of its weights.
    pub used_valid_context: bool,
    /// Why it ended, once it has.
    pub finished: Option<FinishReason>,
    /// When it was taken up.
    pub started_at: Instant,
}

/// Text of the answer's token at `offset`: what a run of this prompt must give.
///
/// ```
/// let text = skylarkpick_standin::expected_token("prompt", 1, 0);
/// assert_ne!(text, skylarkpick_standin::expected_token("prompt", 2, 0));
/// ```
pub fn expected_token(prompt: &str, weight_version: WeightVersion, offset: u64) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}.{weight_version}.{offset} ", &hash.as_str()[..6])
}
