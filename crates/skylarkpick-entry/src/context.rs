//! Context that is cached at runners and saved in stores: who holds what, imports before runs,
//! exports after them.

mod actor;
mod export;
mod follow;
mod import;
mod manager;
mod prefix_index;
mod saving;
mod seen;
mod spread;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use manager::ContextManager;
pub(crate) use prefix_index::PrefixIndex;
pub(crate) use saving::Used;
pub use state::ContextState;
