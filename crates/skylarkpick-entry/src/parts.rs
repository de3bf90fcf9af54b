//! What an entry process is made of.

use crate::streams::ResumeKey;
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
    /// Key of resume tokens, shared by the fleet; without one, only this process reads its own.
    pub resume_key: Option<ResumeKey>,
    /// Seed of every random choice in the process; each start in production takes its own.
    pub seed: u64,
}
