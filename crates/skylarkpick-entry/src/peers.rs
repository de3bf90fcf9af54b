//! Membership of the entry process in the fleet: gossip with its peers, distribution of the
//! configuration, detection of leaving targets, and polling of runners.

mod configuration;
mod directory_shard;
mod handle;
mod membership_actor;
mod message_handler;
mod runner_polling;
mod status;
mod view;
mod vm_list;

#[cfg(test)]
mod tests;

pub use directory_shard::DirectoryShard;
pub use handle::Peers;
pub(crate) use handle::Reporter;
pub use status::{ConfigurationStatus, PeersState, ProcessStatus};
pub use view::{PeerProcess, PeersView};
