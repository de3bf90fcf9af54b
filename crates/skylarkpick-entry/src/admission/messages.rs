//! Messages of the admission actor.

use kameo::Reply;
use serde::Serialize;
use skylarkpick_interface::{ModelName, RunnerId};
use skylarkpick_schedule::{AdmissionRequest, Candidate, QueuedId, Refusal};
use std::{collections::BTreeMap, time::Duration};
use tokio::sync::oneshot;

/// Requests a permit; the reply comes when the request may start or is refused.
pub(super) struct Acquire {
    pub(super) request: AdmissionRequest,
    /// Length of the prompt; its prefill time at an idle runner is subtracted from `start_by`.
    pub(super) prompt_tokens: u64,
    pub(super) reply: oneshot::Sender<Result<QueuedId, Refusal>>,
}

/// Releases the permit of a request that has ended or whose caller has disconnected.
pub(super) struct Release(pub(super) QueuedId);

/// Takes one retry from the budget; replies whether one was left.
pub(super) struct TakeRetry;

/// Records a first attempt; retries are limited to this percentage of first attempts.
pub(super) struct RecordFirstAttempt(pub(super) u32);

/// Reads which runners of a model are at their in-flight limit.
pub(super) struct ReadSaturated(pub(super) ModelName);

/// Replaces the set of runners and their tracked state.
pub(super) struct SetTargets(pub(super) BTreeMap<RunnerId, Candidate>);

/// Reads the state for the state dump.
pub(super) struct ReadState;

/// An event of a run at a runner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RunEvent {
    /// The run was sent to the runner.
    Sent(RunnerId),
    /// The first token arrived, `wait` after the run was sent; `computed_tokens` of the prompt were
    /// not cached.
    FirstToken { runner: RunnerId, wait: Duration, computed_tokens: u64 },
    /// The run ended; `failed` when the runner is to blame.
    Ended { runner: RunnerId, failed: bool },
}

/// Queues, limits and ejected runners, for the state dump.
#[derive(Clone, Debug, Default, PartialEq, Reply, Serialize)]
pub struct AdmissionState {
    /// Running and queued requests and runner health, by model.
    pub models: BTreeMap<ModelName, ModelAdmission>,
    /// Retries left in the budget.
    pub retries_saved: f64,
}

/// Requests of one model and the health of its runners.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ModelAdmission {
    /// Requests that hold a permit.
    pub running: usize,
    /// Requests in the queue.
    pub waiting: usize,
    /// Limit on runs in flight, by runner.
    pub in_flight_limits: BTreeMap<RunnerId, f64>,
    /// Runners that are ejected after failures and receive no requests now.
    pub ejected: Vec<RunnerId>,
}
