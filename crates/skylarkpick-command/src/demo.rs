//! Runs a small fleet in one process with callers that repeat long prompts, and checks the system's
//! guarantees during operator changes and shutdowns.

mod callers;
mod completions;
mod fleet;
mod report;
mod script;

pub(crate) use script::run;
