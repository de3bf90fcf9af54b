//! The retry budget.

mod budget;

pub use budget::RetryBudget;

#[cfg(test)]
mod tests;
