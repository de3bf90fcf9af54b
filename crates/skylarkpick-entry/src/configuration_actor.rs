//! Keeps the configuration in force: installs only higher versions.

use crate::in_force::InForce;
use kameo::prelude::*;
use skylarkpick_config::{CONFIGURATION_KEY, ConfigurationRecord, validate};
use skylarkpick_interface::{ObjectStore, ObjectVersion};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Installs configurations, each higher than the one before.
#[derive(Actor)]
pub(crate) struct ConfigurationActor {
    in_force: watch::Sender<Arc<InForce>>,
}

/// A configuration that was read somewhere.
pub(crate) struct Install(pub(crate) ConfigurationRecord);

impl ConfigurationActor {
    pub(crate) fn open(in_force: watch::Sender<Arc<InForce>>) -> ConfigurationActor {
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
        let installed = InForce::open(record.version, record.configuration);
        self.in_force.send_replace(Arc::new(installed));
        true
    }
}

/// Follows the configuration object in the platform and offers what it finds.
pub(crate) async fn follow_platform(
    platform: Arc<dyn ObjectStore>,
    actor: ActorRef<ConfigurationActor>,
    poll: Duration,
) {
    let mut seen: ObjectVersion = 0;
    loop {
        match platform.watch(CONFIGURATION_KEY, seen, poll).await {
            Ok(Some(object)) => {
                seen = object.version;
                offer(&actor, &object.value).await;
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(poll).await,
        }
    }
}

async fn offer(actor: &ActorRef<ConfigurationActor>, value: &[u8]) {
    match serde_json::from_slice(value) {
        Ok(record) => {
            // A stopped actor means that the process ends.
            let _ = actor.ask(Install(record)).await;
        }
        Err(error) => {
            spdlog::error!("the stored configuration cannot be read", kv: { error: });
        }
    }
}
