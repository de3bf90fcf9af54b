//! What failures and waits say of each target: ejection, return, and in-flight limits.

mod ejection;
mod targets;

pub use ejection::Ejection;
pub use targets::{TargetHealth, TargetState};

#[cfg(test)]
mod tests;
