//! The one cost that ways to serve a request are compared by.
//!
//! `first_token_weight x (queue, transfer and prefill seconds) / target seconds
//! + recompute_weight x recomputed tokens / prompt tokens
//! + link_weight x bytes / bytes that the link may carry in a second`.

use super::{candidate::Candidate, rules::RoutingRules, types::ImportPlan};
use skylarkpick_config::Serving;
use std::time::Instant;

/// Weights and measures of the cost, from a serving configuration.
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

/// One way to serve a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Way {
    /// Tokens that need not be computed.
    pub(super) spared_tokens: u64,
    /// The import to make, if one is.
    pub(super) import: Option<ImportPlan>,
    /// Seconds until the context is there.
    pub(super) transfer_seconds: f64,
    /// Bytes that a second of the store's link carries.
    pub(super) link_bytes_per_second: f64,
}

/// Cost of serving a prompt at a runner in one way.
pub(super) fn cost(
    weights: &CostWeights,
    rules: &RoutingRules,
    candidate: &Candidate,
    prompt_tokens: u64,
    way: &Way,
    distance_seconds: f64,
    now: Instant,
) -> f64 {
    let rest_tokens = prompt_tokens.saturating_sub(way.spared_tokens) as f64;
    let prefill_seconds = rest_tokens / candidate.prefill_rate();
    let ready_seconds = candidate.queue_seconds(now).max(way.transfer_seconds);
    let seconds = ready_seconds
        + prefill_seconds
        + distance_seconds
        + rules.occupancy_weight * prefill_seconds;
    let recomputed_share = rest_tokens / prompt_tokens.max(1) as f64;
    let bytes = way.import.as_ref().filter(|plan| !plan.joined).map_or(0, |plan| plan.size_bytes);
    let budget = (way.link_bytes_per_second * weights.link_share).max(1.0);
    weights.first_token * seconds / weights.target_seconds
        + weights.recompute * recomputed_share
        + weights.link * bytes as f64 / budget
}
