//! Decides which prefixes are saved to which store and tier, and which saved copies are evicted.

mod policy;
mod reuse;
mod runner_caches;
mod types;

pub use policy::SavingPolicy;
pub use types::{SaveDecision, SavedEntry, SavingSettings, StoreCapacity};

#[cfg(test)]
mod tests;
