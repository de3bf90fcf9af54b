//! Retry budgets, which limit retries to a share of first attempts.
//!
//! `skylarkpick-entry` uses [`RetryBudget`], which accumulates. `skylarkpick-forward` uses
//! [`WindowRetryBudget`], which matches the limit that the platform sets for a sliding window.

mod budget;
mod window;

pub use budget::RetryBudget;
pub use window::WindowRetryBudget;

#[cfg(test)]
mod tests;
