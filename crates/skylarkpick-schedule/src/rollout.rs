//! Rollout planning: which runners to order next to load the desired weights.

mod plan;
#[cfg(test)]
mod tests;
mod types;

pub use plan::plan_rollout;
pub use types::{RolloutGoal, RolloutPlan, RolloutRunner, RolloutWait};
