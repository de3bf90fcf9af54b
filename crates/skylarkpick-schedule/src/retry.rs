//! Retry budgets.

mod budget;
mod window;

pub use budget::RetryBudget;
pub use window::WindowRetryBudget;

#[cfg(test)]
mod tests;
