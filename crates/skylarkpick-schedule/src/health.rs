//! Health of targets: ejection after failures, and in-flight limits.

mod ejection;
mod targets;

pub use ejection::Ejection;
pub use targets::{TargetHealth, TargetState};

#[cfg(test)]
mod tests;
