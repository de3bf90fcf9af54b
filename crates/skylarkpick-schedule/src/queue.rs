//! A queue of requests that is fair among client accounts.

mod fair;

pub use fair::{FairQueue, QueuedId, QueuedRequest};

#[cfg(test)]
mod tests;
