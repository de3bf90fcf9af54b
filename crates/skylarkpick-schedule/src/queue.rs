//! Fairness among client accounts: the order of their virtual start times, and a queue that keeps it.

mod account_starts;
mod fair;

pub(crate) use account_starts::AccountStarts;
pub use fair::{FairQueue, QueuedId, QueuedRequest};

#[cfg(test)]
mod tests;
