//! Starts the simulated fleet.

use super::{EntryProcess, Simulation, configuration, configuration_monitor::ConfigurationMonitor};
use crate::{
    clients::Clients,
    names,
    network::Network,
    process::{ProcessControl, SteppedClock},
    views::{ConnectorView, Link, PlatformView},
};
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, Limits, Settings};
use skylarkpick_entry::{Entry, EntryParts, ResumeKey};
use skylarkpick_interface::{ObjectStore, TargetConnector};
use skylarkpick_standin::{
    FakeRunner, FakeService, FakeStore, MemoryConnector, MemoryPeers, MemoryPlatform,
    PlatformRates, RunnerSettings, StoreSettings, WeightStore,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// One-way latency between entry processes.
const PEER_LATENCY: Duration = Duration::from_millis(1);
/// Lag of the platform's VM list.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(30);
/// Secret with which the entry processes sign resume tokens.
const RESUME_SECRET: &[u8] = b"a scenario runs in one process and ends by itself";
/// Time that a runner takes to load weights.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Size and settings of the simulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FleetSettings {
    /// Names of the data centres.
    pub(crate) data_centres: Vec<String>,
    /// Entry processes in each data centre.
    pub(crate) entries: usize,
    /// Runners in each data centre.
    pub(crate) runners: usize,
    /// Stores in each data centre.
    pub(crate) stores: usize,
    /// Instances of the plain service in each data centre.
    pub(crate) services: usize,
    /// Whether runners accept orders with an outdated fencing number.
    pub(crate) ignores_fencing: bool,
    /// Maximum number of concurrent loads of weights.
    pub(crate) loads_limit: u32,
    /// Settings of each runner.
    pub(crate) runner: RunnerSettings,
    /// Settings of each store.
    pub(crate) store: StoreSettings,
}

impl Simulation {
    /// Starts a fleet and writes its initial configuration.
    pub(crate) async fn spawn(settings: FleetSettings) -> Simulation {
        let platform = MemoryPlatform::open(LIST_LAG, PlatformRates::default());
        write_configuration(&platform, &settings).await;
        let peers = MemoryPeers::open(PEER_LATENCY);
        let network = Arc::new(Network::open(peers, data_centres_by_address(&settings)));
        let mut simulation = Simulation {
            platform,
            targets: MemoryConnector::open(),
            entries: BTreeMap::new(),
            runners: BTreeMap::new(),
            stores: BTreeMap::new(),
            services: BTreeMap::new(),
            weight_store: WeightStore::open(LOAD_TIME, settings.loads_limit),
            clients: Clients::open(),
            configurations: ConfigurationMonitor::open(),
            leaving_since: BTreeMap::new(),
            in_flight_at_shutdown: BTreeMap::new(),
            loads_limit: settings.loads_limit,
            network,
            settings,
        };
        for data_centre_index in 0..simulation.settings.data_centres.len() {
            simulation.spawn_targets(data_centre_index);
        }
        for data_centre_index in 0..simulation.settings.data_centres.len() {
            for index in 1..=simulation.settings.entries {
                simulation.spawn_entry(data_centre_index, index, 1);
            }
        }
        simulation
    }

    fn spawn_targets(&mut self, data_centre_index: usize) {
        let data_centre = self.settings.data_centres[data_centre_index].clone();
        for index in 1..=self.settings.runners {
            let address = names::address(data_centre_index, 1, index);
            let target = FakeRunner::open(
                self.settings.runner.clone(),
                self.connector_of(&data_centre),
                self.weight_store.clone(),
            );
            self.targets.put_runner(&address, Arc::new(target.clone()));
            self.runners.insert(names::runner(&data_centre, index), target);
        }
        for index in 1..=self.settings.stores {
            let address = names::address(data_centre_index, 2, index);
            let target = FakeStore::open(self.settings.store);
            self.targets.put_store(&address, target.clone());
            self.stores.insert(names::store(&data_centre, index), target);
        }
        for index in 1..=self.settings.services {
            let address = names::address(data_centre_index, 3, index);
            let target = FakeService::open();
            self.targets.put_service(&address, target.clone());
            self.services.insert(names::service(&data_centre, index), target);
        }
    }

    /// Starts an entry process for the `start_count`th time.
    pub(crate) fn spawn_entry(&mut self, data_centre_index: usize, index: usize, start_count: u64) {
        let data_centre = self.settings.data_centres[data_centre_index].clone();
        let name = names::entry(&data_centre, index);
        let address = names::address(data_centre_index, 0, index);
        let (control, clock) = (ProcessControl::start(), SteppedClock::start());
        let peers = self.network.peers.join(&address, &data_centre);
        let to_platform = Link {
            control: control.clone(),
            network: self.network.clone(),
            from: data_centre.clone(),
            to: names::PLATFORM.to_string(),
        };
        let entry = Entry::spawn(EntryParts {
            settings: self.entry_settings(&name, &data_centre, &address, start_count),
            platform: Arc::new(PlatformView { link: to_platform, platform: self.platform.clone() }),
            connector: Arc::new(ConnectorView {
                control: control.clone(),
                network: self.network.clone(),
                data_centre: data_centre.clone(),
                targets: self.targets.clone(),
            }),
            peers,
            clock: clock.clone(),
            resume_key: Some(ResumeKey::from_secret(RESUME_SECRET)),
            seed: (data_centre_index * 1_000 + index) as u64 + 1_000_000 * start_count,
        });
        let process = EntryProcess { entry, control, clock, address, data_centre, start_count };
        self.configurations.monitor(&name, &process);
        self.entries.insert(name, process);
    }

    fn entry_settings(
        &self,
        name: &str,
        data_centre: &str,
        address: &str,
        start_count: u64,
    ) -> Settings {
        let seed_peers = self
            .settings
            .data_centres
            .iter()
            .enumerate()
            .flat_map(|(data_centre_index, _)| {
                (1..=2).map(move |index| names::address(data_centre_index, 0, index))
            })
            .filter(|seed| seed != address)
            .collect();
        Settings {
            entry_id: format!("{name}-{start_count}"),
            data_centre: data_centre.to_string(),
            peer_address: address.to_string(),
            seed_peers,
            limits: Limits::default(),
            ..base_settings()
        }
    }
}

fn base_settings() -> Settings {
    Settings {
        http_address: "127.0.0.1:0".to_string(),
        platform_address: "127.0.0.1:1".to_string(),
        ..Settings::default()
    }
}

async fn write_configuration(platform: &Arc<MemoryPlatform>, settings: &FleetSettings) {
    let document = configuration::document(settings);
    let record = json!({"version": 1, "history": [], "configuration": document});
    let value = record.to_string().into_bytes();
    // The platform has no faults yet, so the write succeeds.
    let _ = platform.put(CONFIGURATION_KEY, None, value).await;
}

fn data_centres_by_address(settings: &FleetSettings) -> BTreeMap<String, String> {
    let mut data_centres = BTreeMap::new();
    for (data_centre_index, data_centre) in settings.data_centres.iter().enumerate() {
        let counts = [settings.entries, settings.runners, settings.stores, settings.services];
        for (kind, count) in counts.into_iter().enumerate() {
            for index in 1..=count {
                data_centres
                    .insert(names::address(data_centre_index, kind, index), data_centre.clone());
            }
        }
    }
    data_centres
}

/// Returns a connector for the targets of a data centre.
pub(super) fn target_connector(
    network: &Arc<Network>,
    targets: &Arc<MemoryConnector>,
    data_centre: &str,
) -> Arc<dyn TargetConnector> {
    Arc::new(ConnectorView {
        control: ProcessControl::start(),
        network: network.clone(),
        data_centre: data_centre.to_string(),
        targets: targets.clone(),
    })
}
