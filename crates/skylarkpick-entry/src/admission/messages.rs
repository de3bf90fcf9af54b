//! Messages of the admission actor.

use kameo::Reply;
use serde::Serialize;
use skylarkpick_interface::{ModelName, RunnerId};
use skylarkpick_schedule::{AdmissionRequest, Candidate, QueuedId, Refusal};
use std::{collections::BTreeMap, time::Duration};
use tokio::sync::oneshot;

/// Asks to start; the answer comes once the request starts or is refused.
pub(super) struct Enter {
    pub(super) offer: AdmissionRequest,
    /// Time that the prompt takes to compute at an idle runner, taken off `start_by`.
    pub(super) prompt_tokens: u64,
    pub(super) reply: oneshot::Sender<Result<QueuedId, Refusal>>,
}

/// Says that a request has ended, or that its caller went away.
pub(super) struct Release(pub(super) QueuedId);

/// Asks whether a retry may be made.
pub(super) struct MayRetry;

/// Says that a first attempt is made under this many retries in a hundred.
pub(super) struct FirstAttempt(pub(super) u32);

/// Asks which runners of a model should get nothing more now.
pub(super) struct ReadFull(pub(super) ModelName);

/// What is known of the runners.
pub(super) struct Targets(pub(super) BTreeMap<RunnerId, Candidate>);

/// Reads the state for a dump.
pub(super) struct ReadState;

/// What was seen of a run at a runner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum News {
    /// A run was sent.
    Began(RunnerId),
    /// Its first token came, this long after the run was sent.
    FirstToken { runner: RunnerId, waited: Duration, computed_tokens: u64 },
    /// It ended; `failed` when the runner did not do what was asked.
    Ended { runner: RunnerId, failed: bool },
}

/// Queues, limits and ejected runners, for the state dump.
#[derive(Clone, Debug, Default, PartialEq, Reply, Serialize)]
pub struct AdmissionState {
    /// Requests that run and that wait, by model.
    pub models: BTreeMap<ModelName, ModelAdmission>,
    /// Retries that may be made now.
    pub retries_saved: f64,
}

/// Requests of one model and the health of its runners.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ModelAdmission {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Runs that may be in flight, by runner.
    pub in_flight_limits: BTreeMap<RunnerId, f64>,
    /// Runners that get nothing now for their failures.
    pub ejected: Vec<RunnerId>,
}
