//! The simulated fleet that a scenario acts on.

mod configuration;
mod configuration_monitor;
mod fleet;

pub(crate) use fleet::{FleetSettings, LIST_LAG};

use crate::{
    clients::Clients,
    error::StepError,
    guarantees::{Violation, check_guarantees},
    network::Network,
    process::{ProcessControl, RunState, SteppedClock},
};
use configuration_monitor::ConfigurationMonitor;
use skylarkpick_entry::Entry;
use skylarkpick_interface::TargetConnector;
use skylarkpick_standin::{
    FakeRunner, FakeService, FakeStore, MemoryConnector, MemoryPlatform, WeightStore,
};
use std::{collections::BTreeMap, sync::Arc};
use tokio::time::Instant;

/// An entry process.
pub(crate) struct EntryProcess {
    pub(crate) entry: Entry,
    pub(crate) control: ProcessControl,
    pub(crate) clock: Arc<SteppedClock>,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    /// Number of starts of the process, including this one.
    pub(crate) start_count: u64,
}

/// The simulated fleet that a scenario acts on: entry processes over in-memory fakes of the
/// platform and the targets, with clients that send requests.
pub struct Simulation {
    pub(crate) settings: FleetSettings,
    pub(crate) platform: Arc<MemoryPlatform>,
    pub(crate) network: Arc<Network>,
    pub(crate) targets: Arc<MemoryConnector>,
    pub(crate) entries: BTreeMap<String, EntryProcess>,
    pub(crate) runners: BTreeMap<String, FakeRunner>,
    pub(crate) stores: BTreeMap<String, Arc<FakeStore>>,
    pub(crate) services: BTreeMap<String, Arc<FakeService>>,
    pub(crate) weight_store: Arc<WeightStore>,
    pub(crate) clients: Clients,
    pub(crate) configurations: ConfigurationMonitor,
    /// Runners that are leaving, with the time from which this can be known: when the runner reports
    /// it, or when the platform's VM list shows it.
    pub(crate) leaving_since: BTreeMap<String, Instant>,
    /// Requests that were in flight on an entry process when its shutdown began, by process.
    pub(crate) in_flight_at_shutdown: BTreeMap<String, Vec<String>>,
    /// Maximum number of concurrent loads of weights.
    pub(crate) loads_limit: u32,
}

impl Simulation {
    /// Returns an entry process.
    pub(crate) fn entry(&self, name: &str) -> Result<&EntryProcess, StepError> {
        self.entries.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// Returns a runner.
    pub(crate) fn runner(&self, name: &str) -> Result<&FakeRunner, StepError> {
        self.runners.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// Returns a store.
    pub(crate) fn store(&self, name: &str) -> Result<&Arc<FakeStore>, StepError> {
        self.stores.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// Returns an instance of the plain service.
    pub(crate) fn service(&self, name: &str) -> Result<&Arc<FakeService>, StepError> {
        self.services.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// Kills, pauses or resumes an entry process.
    pub(crate) fn set_run_state(&mut self, name: &str, state: RunState) -> Result<(), StepError> {
        let process = self.entry(name)?;
        process.control.set(state);
        self.network.peers.set_reachable(&process.address, state == RunState::Running);
        self.configurations.record_disturbance();
        Ok(())
    }

    /// Returns the violations of the guarantees so far.
    pub fn check_guarantees(&self) -> Vec<Violation> {
        check_guarantees(self)
    }

    /// Returns a connector for the targets of a data centre, which reach each other as the network
    /// allows.
    pub(crate) fn connector_of(&self, data_centre: &str) -> Arc<dyn TargetConnector> {
        fleet::target_connector(&self.network, &self.targets, data_centre)
    }
}
