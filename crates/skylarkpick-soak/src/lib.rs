//! A randomized soak of real processes with faults from outside them, and its judge.

mod callers;
mod history;
mod judge;
mod plan;
mod process;
mod proxy;
mod run;

pub use judge::Finding;
pub use run::{SoakReport, SoakSettings, run_seed};

#[cfg(test)]
mod tests;
