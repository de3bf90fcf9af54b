//! Changes that the operator makes to the configuration.

use crate::{
    clients::MAIN_KEY,
    history::ConfiguredKey,
    run::{Fleet, FleetState},
    setup::{key_from_now, routes},
};
use skylarkpick_platform_standin::{ObjectServer, configuration};
use tokio::time::Instant;

impl Fleet {
    /// Adds an API key, or revokes the one that was added last. Returns the key.
    pub(crate) fn change_keys(&self) -> String {
        let mut state = self.lock();
        let newest = state.changes.keys.last().cloned();
        let revoked = newest.filter(|key| key.key != MAIN_KEY && key.until.is_none());
        let key = match &revoked {
            Some(revoked) => revoked.key.clone(),
            None => format!("key-{}", state.configuration_version),
        };
        state.change_keys(&self.objects, |keys| match (revoked, keys.last_mut()) {
            (Some(_), Some(last)) => last.until = Some(Instant::now()),
            _ => keys.push(key_from_now(&key)),
        });
        key
    }
}

impl FleetState {
    /// Changes the API keys and writes them to the platform as a new configuration.
    pub(crate) fn change_keys(
        &mut self,
        objects: &ObjectServer,
        change: impl FnOnce(&mut Vec<ConfiguredKey>),
    ) {
        change(&mut self.changes.keys);
        self.configuration_version += 1;
        let configured = self.changes.keys.iter().filter(|key| key.until.is_none());
        let keys: Vec<String> = configured.map(|key| key.key.clone()).collect();
        objects.state.put(
            "config",
            "main",
            configuration(self.configuration_version, &routes(), &keys),
        );
    }
}
