//! Weights and switches of placement, for experiments.

use super::target_speed::SpeedLearning;
use serde::Deserialize;

/// Weights and switches of placement. The default is what serves; a settings file replaces single
/// values, so that an experiment can show what a mechanism is worth.
///
/// ```
/// use skylarkpick_schedule::PlacementPolicy;
/// let policy = PlacementPolicy { samples_memory: false, ..PlacementPolicy::default() };
/// assert!(!policy.samples_memory);
/// assert!(policy.saves_parts);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Factor on the bonuses of the targets that the last shared part of a prompt hashes to.
    pub affinity_factor: f64,
    /// Penalty for shared tokens that are prefilled instead of reused, relative to their prefill
    /// time.
    pub recompute_penalty_factor: f64,
    /// Share of the fetches from a runner that fail, since it evicted the part meanwhile.
    pub eviction_risk: f64,
    /// Share of an engine's memory that running requests may fill.
    pub occupancy_limit: f64,
    /// Penalty for an engine whose memory is full, relative to the time for which requests occupy
    /// it.
    pub occupancy_penalty_share: f64,
    /// Share of a request's latency objective for which it may wait until a target has capacity.
    pub capacity_wait_share: f64,
    /// Whether the times of targets are learned; otherwise the priors stay in use.
    pub learns_times: bool,
    /// Whether sampled memory of engines counts.
    pub samples_memory: bool,
    /// Whether shared parts are saved to stores.
    pub saves_parts: bool,
    /// Whether targets are ejected after failures.
    pub ejects_targets: bool,
    /// Whether a data centre counts as unreachable after failures of several of its targets.
    pub detects_partitions: bool,
    /// For which services the speeds of single targets are learned.
    pub target_speeds: SpeedLearning,
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy {
            affinity_factor: 1.0,
            recompute_penalty_factor: 3.6,
            eviction_risk: 0.3,
            occupancy_limit: 0.8,
            occupancy_penalty_share: 0.1,
            capacity_wait_share: 0.9,
            learns_times: true,
            samples_memory: true,
            saves_parts: true,
            ejects_targets: true,
            detects_partitions: true,
            target_speeds: SpeedLearning::Reported,
        }
    }
}
