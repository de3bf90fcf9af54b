//! The dump of a process's state, without secrets.

use crate::context::ContextState;
use crate::{admission::AdmissionState, peers::PeersState, planner::PlannerState};
use serde::Serialize;
use skylarkpick_interface::{
    ConfigurationVersion, DataCentreId, EntryId, LoadReport, ModelName, RunnerId, WeightVersion,
};
use skylarkpick_schedule::Candidate;

/// State of an entry process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StateDump {
    /// Name of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Version in force.
    pub configuration_version: ConfigurationVersion,
    /// Whether it should get new requests.
    pub is_ready: bool,
    /// Requests that have no answer yet.
    pub requests_under_way: u64,
    /// What is believed of caches and stores, and what is moved.
    pub context: ContextState,
    /// Runs that wait for a caller to come back.
    pub runs_retained: usize,
    /// Other entry processes, and who does what among them.
    pub peers: PeersState,
    /// The roll-out planner of the data centre, and the lease that it works under.
    pub planner: PlannerState,
    /// What is known of the runners.
    pub runners: Vec<RunnerState>,
    /// Queues, limits and ejected runners.
    pub admission: AdmissionState,
}

/// What is known of a runner.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunnerState {
    /// Name of the runner.
    pub name: RunnerId,
    /// Model that it serves.
    pub model: ModelName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Weights that it serves, once known.
    pub weight_version: Option<WeightVersion>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Runs sent to it and not yet ended.
    pub in_flight: u32,
    /// Its last load report.
    pub load: LoadReport,
}

impl From<(RunnerId, Candidate)> for RunnerState {
    fn from((name, candidate): (RunnerId, Candidate)) -> RunnerState {
        RunnerState {
            name,
            model: candidate.model,
            data_centre: candidate.data_centre,
            weight_version: candidate.weight_version,
            leaving: candidate.leaving,
            in_flight: candidate.in_flight,
            load: candidate.load,
        }
    }
}
