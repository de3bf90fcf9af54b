//! The small fleet that a scenario acts on.

mod configuration;
mod fleet;
mod force;

pub(crate) use fleet::{FleetPlan, LIST_LAG};

use crate::{
    callers::Callers,
    error::StepError,
    judge::{Violation, judge_all},
    network::Network,
    process::{Life, LifeState, SteppedClock},
};
use skylarkpick_entry::Entry;
use skylarkpick_interface::TargetConnector;
use skylarkpick_standin::{
    FakeRunner, FakeService, FakeStore, MemoryConnector, MemoryPlatform, WeightStore,
};
use std::{collections::BTreeMap, sync::Arc};
use tokio::time::Instant;

/// One entry process of a scenario.
pub(crate) struct EntryProcess {
    pub(crate) entry: Entry,
    pub(crate) life: Life,
    pub(crate) clock: Arc<SteppedClock>,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    /// Starts of the process, this one included.
    pub(crate) starts: u64,
}

/// The small fleet that a scenario acts on.
pub struct Simulation {
    pub(crate) plan: FleetPlan,
    pub(crate) platform: Arc<MemoryPlatform>,
    pub(crate) network: Arc<Network>,
    pub(crate) targets: Arc<MemoryConnector>,
    pub(crate) entries: BTreeMap<String, EntryProcess>,
    pub(crate) runners: BTreeMap<String, FakeRunner>,
    pub(crate) stores: BTreeMap<String, Arc<FakeStore>>,
    pub(crate) services: BTreeMap<String, Arc<FakeService>>,
    pub(crate) weight_store: Arc<WeightStore>,
    pub(crate) callers: Callers,
    pub(crate) force: force::ForceWatch,
    /// Runners that began to leave, and when.
    pub(crate) left_at: BTreeMap<String, Instant>,
    /// Requests that waited at an entry process when it began to shut down.
    pub(crate) shut_down: BTreeMap<String, Vec<String>>,
    /// Most loads at once that the scenario allows.
    pub(crate) loads_limit: u32,
}

impl Simulation {
    /// An entry process that is not dead.
    pub(crate) fn entry(&self, name: &str) -> Result<&EntryProcess, StepError> {
        self.entries.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// A runner.
    pub(crate) fn runner(&self, name: &str) -> Result<&FakeRunner, StepError> {
        self.runners.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// A store.
    pub(crate) fn store(&self, name: &str) -> Result<&Arc<FakeStore>, StepError> {
        self.stores.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// A plain service's instance.
    pub(crate) fn service(&self, name: &str) -> Result<&Arc<FakeService>, StepError> {
        self.services.get(name).ok_or_else(|| StepError::UnknownName(name.to_string()))
    }

    /// Kills, pauses or resumes an entry process.
    pub(crate) fn set_life(&mut self, name: &str, state: LifeState) -> Result<(), StepError> {
        let process = self.entry(name)?;
        process.life.set(state);
        self.network.peers.set_reachable(&process.address, state == LifeState::Running);
        self.force.note_disturbance();
        Ok(())
    }

    /// Promises that are broken by what is known now.
    pub fn judge(&self) -> Vec<Violation> {
        judge_all(self)
    }

    /// Targets as the targets themselves reach them.
    pub(crate) fn connector_of(&self, data_centre: &str) -> Arc<dyn TargetConnector> {
        fleet::target_connector(&self.network, &self.targets, data_centre)
    }
}
