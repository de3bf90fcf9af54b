//! Installs configurations, and only ones with a higher version than the active one.

use crate::active_configuration::ActiveConfiguration;
use kameo::prelude::*;
use skylarkpick_config::{ConfigurationRecord, validate};
use std::sync::Arc;
use tokio::sync::watch;

/// The only writer of the active configuration.
#[derive(Actor)]
pub(crate) struct ConfigurationActor {
    active: watch::Sender<Arc<ActiveConfiguration>>,
}

/// Installs a configuration that was read from the platform or a peer, if it is newer and valid;
/// replies whether it was installed.
pub(crate) struct Install(pub(crate) ConfigurationRecord);

impl ConfigurationActor {
    pub(crate) fn open(active: watch::Sender<Arc<ActiveConfiguration>>) -> ConfigurationActor {
        ConfigurationActor { active }
    }
}

impl Message<Install> for ConfigurationActor {
    type Reply = bool;

    async fn handle(
        &mut self,
        Install(record): Install,
        _context: &mut Context<Self, Self::Reply>,
    ) -> bool {
        if record.version <= self.active.borrow().version {
            return false;
        }
        let errors = validate(&record.configuration);
        if !errors.is_empty() {
            spdlog::error!("rejected an invalid configuration", kv: {
                version = record.version,
            });
            return false;
        }
        let installed = ActiveConfiguration::open(record.version, record.configuration);
        self.active.send_replace(Arc::new(installed));
        true
    }
}
