//! The cost by which the router compares options to serve a request:
//!
//! `first_token_weight x (queue, transfer and prefill seconds) / target seconds
//! + recompute_weight x recomputed tokens / prompt tokens
//! + link_weight x imported bytes / budget of the store's link in bytes per second`.

use super::{candidate::Candidate, rules::RoutingRules, types::ImportPlan};
use skylarkpick_config::Serving;
use std::time::Instant;

/// Weights and scales of the cost, from a serving configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CostWeights {
    first_token: f64,
    recompute: f64,
    link: f64,
    target_seconds: f64,
    link_share: f64,
}

impl From<&Serving> for CostWeights {
    fn from(serving: &Serving) -> CostWeights {
        CostWeights {
            first_token: serving.first_token_weight,
            recompute: serving.recompute_weight,
            link: serving.link_weight,
            target_seconds: serving.first_token_target_ms.max(1) as f64 / 1_000.0,
            link_share: serving.link_share_limit.max(0.01),
        }
    }
}

/// One option to provide a runner with the context of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ServingOption {
    /// Tokens that the runner doesn't have to compute.
    pub(super) reused_tokens: u64,
    /// The import to make, if any.
    pub(super) import: Option<ImportPlan>,
    /// Time until the imported context has arrived.
    pub(super) transfer_seconds: f64,
    /// Bandwidth of the store's link.
    pub(super) link_bytes_per_second: f64,
}

/// Returns the cost of serving a prompt at a runner with one option.
pub(super) fn cost(
    weights: &CostWeights,
    rules: &RoutingRules,
    candidate: &Candidate,
    prompt_tokens: u64,
    option: &ServingOption,
    distance_seconds: f64,
    now: Instant,
) -> f64 {
    let compute_tokens = prompt_tokens.saturating_sub(option.reused_tokens) as f64;
    let prefill_seconds = compute_tokens / candidate.prefill_rate();
    let ready_seconds = candidate.queue_seconds(now).max(option.transfer_seconds);
    let seconds = ready_seconds
        + prefill_seconds
        + distance_seconds
        + rules.occupancy_weight * prefill_seconds;
    let recomputed_share = compute_tokens / prompt_tokens.max(1) as f64;
    let bytes =
        option.import.as_ref().filter(|plan| !plan.joined).map_or(0, |plan| plan.size_bytes);
    let budget = (option.link_bytes_per_second * weights.link_share).max(1.0);
    weights.first_token * seconds / weights.target_seconds
        + weights.recompute * recomputed_share
        + weights.link * bytes as f64 / budget
}
