//! Limits: client account limits, token buckets, and in-flight limits of targets.

mod account_share;
mod in_flight;
mod token_bucket;

pub use account_share::{AccountLimits, AccountShares, Demand};
pub use in_flight::{InFlightLimit, InFlightRules};
pub use token_bucket::TokenBucket;

#[cfg(test)]
mod tests;
