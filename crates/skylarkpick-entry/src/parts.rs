//! What an entry process is made of.

use skylarkpick_config::Settings;
use skylarkpick_interface::{Clock, ObjectStore, PeerNetwork, TargetConnector};
use std::sync::Arc;

/// Settings and outside systems of an entry process.
#[derive(Clone)]
pub struct EntryParts {
    /// Settings of the process.
    pub settings: Settings,
    /// The platform's object API.
    pub platform: Arc<dyn ObjectStore>,
    /// Makes handles to targets.
    pub connector: Arc<dyn TargetConnector>,
    /// The network to other entry processes.
    pub peers: Arc<dyn PeerNetwork>,
    /// The clock of the machine.
    pub clock: Arc<dyn Clock>,
    /// Seed of every random choice in the process; each start in production takes its own.
    pub seed: u64,
}
