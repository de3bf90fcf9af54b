//! The scenario language, its interpreter, and the independent check of the guarantees.
//!
//! A scenario is a text file of steps, read by the `datadriven` library. Each step acts on a
//! small fleet of entry processes over in-memory fakes, on tokio's paused time, and prints a
//! result that is compared with the one written in the file. The check of the guarantees compares
//! what targets ran, what clients received and what the platform stores, and reports violations.

mod arguments;
mod clients;
mod error;
mod files;
mod guarantees;
mod names;
mod network;
mod process;
mod simulation;
mod steps;
mod views;

pub use error::StepError;
pub use files::{FileOutcome, ScenarioError, find_files, run_file};
pub use guarantees::{Guarantee, Violation};
pub use simulation::Simulation;
pub use steps::{Step, all_steps};
