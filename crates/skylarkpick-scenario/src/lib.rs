//! The scenario language, its runner, and the independent judge.
//!
//! A scenario is a text file of steps, read by the `datadriven` library. Each step acts on a
//! small fleet of entry processes over in-memory stand-ins, on tokio's paused time, and prints a
//! result that is compared with the one written in the file. The judge reads what targets ran,
//! what callers got and what the platform holds, and names the promises that were broken.

mod arguments;
mod callers;
mod error;
mod files;
mod judge;
mod names;
mod network;
mod process;
mod simulation;
mod steps;
mod views;

pub use error::StepError;
pub use files::{FileOutcome, ScenarioError, find_files, run_file};
pub use judge::{Guarantee, Violation};
pub use simulation::Simulation;
pub use steps::{Step, all_steps};
