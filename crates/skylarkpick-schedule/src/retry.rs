//! Retry budgets.

mod budget;
mod window;

pub use budget::RetryBudget;
pub use window::WindowBudget;

#[cfg(test)]
mod tests;
