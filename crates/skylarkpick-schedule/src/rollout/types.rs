//! Inputs and outputs of rollout planning.

use serde::Serialize;
use skylarkpick_interface::{ModelName, RunnerId, WeightVersion};
use std::collections::BTreeMap;

/// Tracked state of a runner in the planner's data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutRunner {
    /// Name of the runner.
    pub name: RunnerId,
    /// Model that the runner serves now.
    pub model: ModelName,
    /// Weights that new runs start on, or `None` if the runner is unreachable.
    pub weight_version: Option<WeightVersion>,
    /// Whether the runner is loading weights, or an order to do so is in progress.
    pub is_loading: bool,
    /// Whether orders don't reach the runner at the moment: it did not respond to the last one, or asked
    /// for a pause. It leaves its place among the loads to others.
    pub is_unavailable: bool,
    /// Whether the runner is leaving. Such runners are not counted, and ordered only if their weights have
    /// expired.
    pub is_leaving: bool,
    /// Runs at the runner, including those that wait.
    pub runs: u32,
    /// Runs that the runner executes at once.
    pub slots: u32,
    /// Cached blocks that requests have reused, or are expected to reuse.
    pub hot_blocks: u64,
}

/// Desired state of a model's runners in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutGoal {
    /// Model to serve.
    pub model: ModelName,
    /// Desired weights.
    pub weight_version: WeightVersion,
    /// Weights that new requests may run on, including the desired ones.
    pub usable_weight_versions: Vec<WeightVersion>,
    /// Weights on which no run may start any more. Runners that serve them are ordered at once,
    /// whatever the limits: only an order rejects the requests that still wait there.
    pub expired_weight_versions: Vec<WeightVersion>,
    /// Concurrent loads that are allowed among all runners that share the weight store.
    pub loads_limit: u32,
    /// Share of the runners that must keep serving.
    pub serving_share_floor: f64,
}

/// Why a runner that should load the desired weights is not ordered to now.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutWait {
    /// The runner is loading already, or an order to do so is in progress.
    Loading,
    /// The runner is unreachable.
    Unreachable,
    /// Orders don't reach the runner at the moment.
    Unavailable,
    /// The limit of concurrent loads is reached.
    LoadsLimit,
    /// Fewer runners than `serving_share_floor` would keep serving.
    ServingShare,
    /// The remaining runners couldn't carry the current load.
    Load,
}

/// Runners to order now, and those that have to wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutPlan {
    /// Runners to order now, in this order.
    pub order: Vec<RunnerId>,
    /// Runners that don't serve the desired weights yet and have to wait.
    pub waiting: BTreeMap<RunnerId, RolloutWait>,
}
