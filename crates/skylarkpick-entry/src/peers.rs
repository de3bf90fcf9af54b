//! The entry process among its peers: membership, configuration spread, leaving, runner loads.

mod configuration;
mod directory_shard;
mod handle;
mod inbox;
mod list;
mod membership_actor;
mod status;
mod targets;
mod view;

#[cfg(test)]
mod tests;

pub use directory_shard::DirectoryShard;
pub use handle::Peers;
pub(crate) use handle::Reporter;
pub use status::{ConfigurationStatus, PeersState, ProcessStatus};
pub use view::{PeerProcess, PeersView};
