//! A runner: continuous batching in outline over a limited prefix cache.

mod description;
mod engine;
mod fake;
mod run;

pub use description::{RunRecord, RunnerFaults, RunnerSettings, expected_token};
pub use fake::FakeRunner;
