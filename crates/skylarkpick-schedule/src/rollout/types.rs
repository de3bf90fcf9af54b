//! What a roll-out plan is made from and what it says.

use serde::Serialize;
use skylarkpick_interface::{ModelName, RunnerId, WeightVersion};
use std::collections::BTreeMap;

/// A runner of a model, as the planner of its data centre sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutRunner {
    /// Name of the runner.
    pub name: RunnerId,
    /// Model that it serves now.
    pub model: ModelName,
    /// Weights that new runs get, or `None` if it cannot be reached.
    pub weight_version: Option<WeightVersion>,
    /// Whether it loads weights, or has an order under way.
    pub is_loading: bool,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Runs there, waiting ones included.
    pub runs: u32,
    /// Runs that fit at once.
    pub slots: u32,
    /// Cached blocks that requests have returned to, or are believed to return to.
    pub hot_blocks: u64,
}

/// What the configuration wants of a model's runners in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutGoal {
    /// Model to serve.
    pub model: ModelName,
    /// Weights that the runners are brought to.
    pub weight_version: WeightVersion,
    /// Weights that new requests may get, the wanted ones included.
    pub usable_weight_versions: Vec<WeightVersion>,
    /// Weights that may be loaded at the same moment, over everybody who shares the weight store.
    pub loads_limit: u32,
    /// Share of the runners that must go on serving.
    pub serving_share_floor: f64,
}

/// Why a runner that should load is not ordered now.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutWait {
    /// It loads already, or its order is under way.
    Loading,
    /// It cannot be reached.
    Unreachable,
    /// As many weights are being loaded as may be.
    LoadsLimit,
    /// Fewer runners than `serving_share_floor` would go on serving.
    ServingShare,
    /// The runners that go on serving could not carry the load of the moment.
    Load,
}

/// Which runners to order now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutPlan {
    /// Runners to order now, first one first.
    pub order: Vec<RunnerId>,
    /// Runners that should load but wait.
    pub waiting: BTreeMap<RunnerId, RolloutWait>,
}
