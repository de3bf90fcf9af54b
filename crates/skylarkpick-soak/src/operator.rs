//! Changes that the operator makes to the configuration.

use crate::{
    clients::{MAIN_KEY, SharedClientState},
    history::{CallKind, ConfiguredKey, ConfiguredRoute},
    repeated_requests::RepeatedRequest,
    run::{Fleet, FleetState},
    setup::{key_from_now, routes},
    store_faults::CONFIGURATION,
};
use skylarkpick_platform_standin::{ObjectServer, configuration};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Routes that the operator adds, each once.
const ADDED_ROUTES: [&str; 8] =
    ["added-1", "added-2", "added-3", "added-4", "added-5", "added-6", "added-7", "added-8"];
/// Interval between two requests on a change, of which each goes to the next process.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which such requests are sent.
const PROBE_SPAN: Duration = Duration::from_secs(10);

impl Fleet {
    /// Changes routes or API keys, and sends requests on the change to all processes for some time.
    pub(crate) async fn probe_change(&self, clients: &Arc<SharedClientState>, is_route: bool) {
        let route = is_route.then(|| self.change_routes()).flatten();
        let (path, key) = match route {
            Some(route) => (format!("/{route}/probe"), MAIN_KEY.to_string()),
            None => {
                let key = self.change_keys();
                clients.set_changed_key(&key);
                ("/read/probe".to_string(), key)
            }
        };
        let probe = RepeatedRequest { kind: CallKind::Read, method: "GET", path, key, body: "" };
        self.send_in_turn(clients, &[probe], PROBE_INTERVAL, PROBE_SPAN).await;
    }

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

    /// Adds a route, or removes the one that was added last. Returns its name, or `None` if all routes
    /// have been added and removed.
    fn change_routes(&self) -> Option<&'static str> {
        let mut state = self.lock();
        let now = Instant::now();
        let routes = &mut state.changes.added_routes;
        let name = match routes.last_mut() {
            Some(last) if last.until.is_none() => {
                last.until = Some(now);
                last.name
            }
            _ => {
                let name = *ADDED_ROUTES.get(routes.len())?;
                routes.push(ConfiguredRoute { name, from: now, until: None });
                name
            }
        };
        state.write_configuration(&self.objects);
        Some(name)
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
        self.write_configuration(objects);
    }

    fn write_configuration(&mut self, objects: &ObjectServer) {
        self.configuration_version += 1;
        let configured = self.changes.keys.iter().filter(|key| key.until.is_none());
        let keys: Vec<String> = configured.map(|key| key.key.clone()).collect();
        let added = self.changes.added_routes.iter().filter(|route| route.until.is_none());
        let routes = routes(added.map(|route| route.name));
        let document = configuration(self.configuration_version, &routes, &keys);
        let (kind, name) = CONFIGURATION;
        self.write(objects, kind, name, Some(document));
    }
}
