//! Which runners and stores are believed to hold which prefixes. Hints: when they are wrong, a
//! request is slower, never answered from the wrong blocks.

mod copies;
mod names;
mod runners;
#[cfg(test)]
mod tests;

pub use copies::{StoreCopy, StorePrefixIndex};
pub use runners::{CacheEventsQuery, RunnerChange, RunnerHolder, RunnerPrefixIndex};
