//! Context that is cached at runners and saved in stores: who holds what, imports before runs,
//! exports after them.

mod actor;
mod beliefs;
mod export;
mod follow;
mod import;
mod keeper;
mod saving;
mod seen;
mod spread;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use beliefs::Beliefs;
pub(crate) use keeper::ContextKeeper;
pub(crate) use saving::Used;
pub use state::ContextState;
