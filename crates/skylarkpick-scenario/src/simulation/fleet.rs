//! Starts a scenario's fleet.

use super::{EntryProcess, Simulation, configuration, force::ForceWatch};
use crate::{
    callers::Callers,
    names,
    network::Network,
    process::{Life, SteppedClock},
    views::{ConnectorView, PlatformView, Way},
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

/// One-way time between entry processes.
const PEER_LATENCY: Duration = Duration::from_millis(1);
/// Lag of the platform's list of VMs.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(30);
/// Secret that the entry processes of a scenario seal resume tokens with.
const RESUME_SECRET: &[u8] = b"a scenario runs in one process and ends by itself";
/// Time for a runner to load weights.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Sizes of a scenario's fleet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FleetPlan {
    /// Data centres by name.
    pub(crate) centres: Vec<String>,
    /// Entry processes in each data centre.
    pub(crate) entries: usize,
    /// Runners in each data centre.
    pub(crate) runners: usize,
    /// Stores in each data centre.
    pub(crate) stores: usize,
    /// Instances of the plain service in each data centre.
    pub(crate) services: usize,
    /// Whether runners carry out orders under an old fencing number.
    pub(crate) ignores_fencing: bool,
    /// Weights that may be loaded at once.
    pub(crate) loads_limit: u32,
    /// Each runner.
    pub(crate) runner: RunnerSettings,
    /// Each store.
    pub(crate) store: StoreSettings,
}

impl Simulation {
    /// Starts a fleet and writes its first configuration.
    pub(crate) async fn spawn(plan: FleetPlan) -> Simulation {
        let platform = MemoryPlatform::open(LIST_LAG, PlatformRates::default());
        write_configuration(&platform, &plan).await;
        let peers = MemoryPeers::open(PEER_LATENCY);
        let network = Arc::new(Network::open(peers, centres_by_address(&plan)));
        let mut simulation = Simulation {
            platform,
            targets: MemoryConnector::open(),
            entries: BTreeMap::new(),
            runners: BTreeMap::new(),
            stores: BTreeMap::new(),
            services: BTreeMap::new(),
            weight_store: WeightStore::open(LOAD_TIME, plan.loads_limit),
            callers: Callers::open(),
            force: ForceWatch::open(),
            left_at: BTreeMap::new(),
            shut_down: BTreeMap::new(),
            loads_limit: plan.loads_limit,
            network,
            plan,
        };
        for centre_index in 0..simulation.plan.centres.len() {
            simulation.spawn_targets(centre_index);
        }
        for centre_index in 0..simulation.plan.centres.len() {
            for index in 1..=simulation.plan.entries {
                simulation.spawn_entry(centre_index, index, 1);
            }
        }
        simulation
    }

    fn spawn_targets(&mut self, centre_index: usize) {
        let centre = self.plan.centres[centre_index].clone();
        for index in 1..=self.plan.runners {
            let address = names::address(centre_index, 1, index);
            let target = FakeRunner::open(
                self.plan.runner.clone(),
                self.connector_of(&centre),
                self.weight_store.clone(),
            );
            self.targets.put_runner(&address, Arc::new(target.clone()));
            self.runners.insert(names::runner(&centre, index), target);
        }
        for index in 1..=self.plan.stores {
            let address = names::address(centre_index, 2, index);
            let target = FakeStore::open(self.plan.store);
            self.targets.put_store(&address, target.clone());
            self.stores.insert(names::store(&centre, index), target);
        }
        for index in 1..=self.plan.services {
            let address = names::address(centre_index, 3, index);
            let target = FakeService::open();
            self.targets.put_service(&address, target.clone());
            self.services.insert(names::service(&centre, index), target);
        }
    }

    /// Starts an entry process, anew if it ran before.
    pub(crate) fn spawn_entry(&mut self, centre_index: usize, index: usize, starts: u64) {
        let centre = self.plan.centres[centre_index].clone();
        let name = names::entry(&centre, index);
        let address = names::address(centre_index, 0, index);
        let (life, clock) = (Life::begin(), SteppedClock::start());
        let peers = self.network.peers.join(&address, &centre);
        let to_platform = Way {
            life: life.clone(),
            network: self.network.clone(),
            from: centre.clone(),
            to: names::PLATFORM.to_string(),
        };
        let entry = Entry::spawn(EntryParts {
            settings: self.settings(&name, &centre, &address, starts),
            platform: Arc::new(PlatformView { way: to_platform, platform: self.platform.clone() }),
            connector: Arc::new(ConnectorView {
                life: life.clone(),
                network: self.network.clone(),
                data_centre: centre.clone(),
                targets: self.targets.clone(),
            }),
            peers,
            clock: clock.clone(),
            resume_key: Some(ResumeKey::from_secret(RESUME_SECRET)),
            seed: (centre_index * 1_000 + index) as u64 + 1_000_000 * starts,
        });
        let process = EntryProcess { entry, life, clock, address, data_centre: centre, starts };
        self.force.watch(&name, &process);
        self.entries.insert(name, process);
    }

    fn settings(&self, name: &str, centre: &str, address: &str, starts: u64) -> Settings {
        let seed_peers = self
            .plan
            .centres
            .iter()
            .enumerate()
            .flat_map(|(centre, _)| (1..=2).map(move |index| names::address(centre, 0, index)))
            .filter(|seed| seed != address)
            .collect();
        Settings {
            entry_id: format!("{name}-{starts}"),
            data_centre: centre.to_string(),
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

async fn write_configuration(platform: &Arc<MemoryPlatform>, plan: &FleetPlan) {
    let document = configuration::document(plan);
    let record = json!({"version": 1, "history": [], "configuration": document});
    let value = record.to_string().into_bytes();
    // A platform without faults takes the first write.
    let _ = platform.put(CONFIGURATION_KEY, None, value).await;
}

fn centres_by_address(plan: &FleetPlan) -> BTreeMap<String, String> {
    let mut centres = BTreeMap::new();
    for (centre_index, centre) in plan.centres.iter().enumerate() {
        let counts = [plan.entries, plan.runners, plan.stores, plan.services];
        for (kind, count) in counts.into_iter().enumerate() {
            for index in 1..=count {
                centres.insert(names::address(centre_index, kind, index), centre.clone());
            }
        }
    }
    centres
}

/// Targets as the targets of a data centre reach them.
pub(super) fn target_connector(
    network: &Arc<Network>,
    targets: &Arc<MemoryConnector>,
    data_centre: &str,
) -> Arc<dyn TargetConnector> {
    Arc::new(ConnectorView {
        life: Life::begin(),
        network: network.clone(),
        data_centre: data_centre.to_string(),
        targets: targets.clone(),
    })
}
