//! Decides which prefixes are saved to which store and tier, and which saved ones give way.

mod policy;
mod returns;
mod types;
mod warmth;

pub use policy::SavingPolicy;
pub use types::{SaveDecision, SavedEntry, SavingSettings, StoreCapacity};

#[cfg(test)]
mod tests;
