//! A simulated runner: a simplified continuous batch over a bounded prefix cache.

mod engine;
mod fake;
mod run;
mod types;

pub use fake::FakeRunner;
pub use types::{RunRecord, RunnerFaults, RunnerSettings, expected_token};
