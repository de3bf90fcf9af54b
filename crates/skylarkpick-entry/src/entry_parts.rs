//! Settings and dependencies of an entry process.

use crate::streams::ResumeKey;
use skylarkpick_config::Settings;
use skylarkpick_interface::{Clock, ObjectStore, PeerNetwork, TargetConnector};
use std::sync::Arc;

/// Settings of an entry process and the external systems that it uses.
#[derive(Clone)]
pub struct EntryParts {
    /// Settings of the process.
    pub settings: Settings,
    /// The platform's object API.
    pub platform: Arc<dyn ObjectStore>,
    /// Creates handles to targets from their addresses.
    pub connector: Arc<dyn TargetConnector>,
    /// The network to other entry processes.
    pub peers: Arc<dyn PeerNetwork>,
    /// The clock of the machine.
    pub clock: Arc<dyn Clock>,
    /// Key of resume tokens, shared by the fleet. Without one, tokens are only valid at the process
    /// that issued them.
    pub resume_key: Option<ResumeKey>,
    /// Seed of every random choice in the process; in production each start uses a new one.
    pub seed: u64,
}
