//! Retry budgets, which limit retries to a share of first attempts.

mod budget;
mod window;

pub use budget::RetryBudget;
pub use window::WindowRetryBudget;

#[cfg(test)]
mod tests;
