//! What an entry process is made of.

use skylarkpick_config::Settings;
use skylarkpick_interface::{Clock, ObjectStore, TargetConnector};
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
    /// The clock of the machine.
    pub clock: Arc<dyn Clock>,
}
