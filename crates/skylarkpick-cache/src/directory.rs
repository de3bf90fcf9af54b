//! Indexes of the prefixes that runners and stores are expected to hold.
//!
//! Entries are hints. A wrong one makes a request slower, but never leads to the reuse of blocks of
//! another prompt.

mod copies;
mod names;
mod runners;
#[cfg(test)]
mod tests;

pub use copies::{StoreCopy, StorePrefixIndex};
pub use runners::{CacheEventsQuery, RunnerChange, RunnerHolder, RunnerPrefixIndex};
