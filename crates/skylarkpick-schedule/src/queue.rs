//! Queues that are fair among client accounts.

mod fair;

pub use fair::{FairQueue, Queued, QueuedId};

#[cfg(test)]
mod tests;
