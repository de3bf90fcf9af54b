//! Keeps the configuration in force: installs only higher versions.

use crate::active_configuration::ActiveConfiguration;
use kameo::prelude::*;
use skylarkpick_config::{ConfigurationRecord, validate};
use std::sync::Arc;
use tokio::sync::watch;

/// Installs configurations, each higher than the one before.
#[derive(Actor)]
pub(crate) struct ConfigurationActor {
    in_force: watch::Sender<Arc<ActiveConfiguration>>,
}

/// A configuration that was read somewhere.
pub(crate) struct Install(pub(crate) ConfigurationRecord);

impl ConfigurationActor {
    pub(crate) fn open(in_force: watch::Sender<Arc<ActiveConfiguration>>) -> ConfigurationActor {
        ConfigurationActor { in_force }
    }
}

impl Message<Install> for ConfigurationActor {
    type Reply = bool;

    async fn handle(
        &mut self,
        Install(record): Install,
        _context: &mut Context<Self, Self::Reply>,
    ) -> bool {
        if record.version <= self.in_force.borrow().version {
            return false;
        }
        let faults = validate(&record.configuration);
        if !faults.is_empty() {
            spdlog::error!("configuration is not valid and not installed", kv: {
                version = record.version,
            });
            return false;
        }
        let installed = ActiveConfiguration::open(record.version, record.configuration);
        self.in_force.send_replace(Arc::new(installed));
        true
    }
}
