//! Queues that are fair among client accounts.

mod fair;

pub use fair::{FairQueue, QueuedId, QueuedRequest};

#[cfg(test)]
mod tests;
