//! The state dump of a process, without secrets.

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
    /// Id of the process.
    pub entry_id: EntryId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Version of the active configuration.
    pub configuration_version: ConfigurationVersion,
    /// Whether it is ready for new requests.
    pub is_ready: bool,
    /// Requests in flight.
    pub requests_under_way: u64,
    /// Cached and saved context, and transfers in progress.
    pub context: ContextState,
    /// Runs retained for a caller that may resume them.
    pub runs_retained: usize,
    /// The other entry processes, and the duties assigned among them.
    pub peers: PeersState,
    /// The rollout planner of the data centre, and its lease.
    pub planner: PlannerState,
    /// Tracked state of the runners.
    pub runners: Vec<RunnerState>,
    /// Queues, limits and ejected runners.
    pub admission: AdmissionState,
}

/// Tracked state of a runner.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunnerState {
    /// Name of the runner.
    pub name: RunnerId,
    /// Model that it serves.
    pub model: ModelName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Weight version that it serves, once known.
    pub weight_version: Option<WeightVersion>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Runs in flight from this process.
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
