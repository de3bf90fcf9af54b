//! Retry budgets, which limit retries to a share of first attempts.
//!
//! `skylarkpick-entry` uses [`RetryBudget`], which accumulates. `skylarkpick-forward` uses
//! [`RetryShare`], which keeps the limit that the platform sets for all processes together.

mod budget;
mod processes;
mod share;

pub use budget::RetryBudget;
pub use processes::SharingProcesses;
pub use share::{RetryLimits, RetryShare};

#[cfg(test)]
mod tests;
