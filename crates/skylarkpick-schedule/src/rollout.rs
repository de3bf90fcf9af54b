//! Roll-outs: which runners to order to load the wanted weights next.

mod plan;
#[cfg(test)]
mod tests;
mod types;

pub use plan::plan_rollout;
pub use types::{RolloutGoal, RolloutPlan, RolloutRunner, RolloutWait};
