//! Control calls to targets and stores: weight orders, cache events and freeing of stored parts.

use crate::{
    forward::{CacheScope, PartId, TargetSignals},
    ids::{FencingNumber, ModelName, TargetId, WeightVersion},
};
use async_trait::async_trait;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Identifies an incarnation of a target's or store's cache. When it changes, everything that was
/// cached before is lost.
pub type CacheEpoch = u64;

/// Order to a target to switch to other weights once its current runs have ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// Target that receives the order.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Start of the target for which the order was decided, as in its registration.
    pub started_at_ms: u64,
    /// Model whose weights are replaced.
    pub model: ModelName,
    /// Weights to serve.
    pub weight_version: WeightVersion,
    /// Name of the sender, which holds the planner's lease.
    pub holder: String,
    /// Fencing number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Number of orders that the target had accepted when the sender read its state. The target
    /// rejects the order if it has accepted others since.
    pub orders_accepted: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The target is carrying the order out.
    Accepted,
    /// The target already serves the requested weights.
    AlreadySo,
    /// Another order is in progress, or the target has accepted others since its state was read.
    Conflict,
    /// The target has seen a larger fencing number.
    Fenced,
    /// Another target has the address.
    OtherTarget,
    /// The target rejects the order permanently.
    Refused,
}

/// Error of a control call.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ControlError {
    /// No response arrived; an order may still be carried out.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The target already serves its maximum number of such calls.
    #[error("too many concurrent calls")]
    TooMany,
    /// The target asked for a pause, of which this time is left.
    #[error("the target asked for a pause, of which {0:?} is left")]
    Paused(Duration),
    /// The response cannot be decoded.
    #[error("invalid response: {0}")]
    Unreadable(String),
}

/// Receives what targets and stores ask for in their responses to control calls.
pub trait SignalObserver: Send + Sync {
    /// Takes the signals of a response from an address.
    fn observe_signals(&self, address: SocketAddr, signals: &TargetSignals);
}

/// Change of one cached prompt part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// Scope that the part is cached under.
    pub scope: CacheScope,
    /// ID of the part.
    pub part: PartId,
    /// Tokens of the part that are cached now; 0 after eviction.
    pub tokens: u64,
}

/// Changes of a cache's contents, or a listing of all of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartChanges {
    /// Incarnation of the cache.
    pub epoch: CacheEpoch,
    /// Position from which the next call continues.
    pub next: u64,
    /// Whether some changes before these are no longer available.
    pub has_gap: bool,
    /// Changes, oldest first; in a listing, every cached part.
    pub changes: Vec<PartChange>,
}

/// State of a target with regard to orders.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderState {
    /// Number of orders accepted since the target started.
    pub orders_accepted: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Weight version of each model that it serves.
    pub weights: BTreeMap<ModelName, WeightVersion>,
    /// Wall-clock time of its start, as in its registration; `None` if it doesn't report one.
    pub started_at_ms: Option<u64>,
}

/// Load of an engine and its memory, as it reported them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineLoad {
    /// Requests that wait for memory or a slot.
    pub waiting: u32,
    /// Tokens in memory that belong to running requests and are not evicted.
    pub used_tokens: u64,
}

/// Client for control calls to targets and stores.
#[async_trait]
pub trait TargetControl: Send + Sync {
    /// Sets who receives the signals of responses. A client that decodes none ignores it.
    fn set_signal_observer(&self, _observer: Arc<dyn SignalObserver>) {}

    /// Reads the order state of a target.
    ///
    /// # Errors
    /// Returns an error if there is no valid response.
    async fn order_state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<OrderState, ControlError>;

    /// Reads the load of an engine.
    ///
    /// # Errors
    /// Returns an error if there is no valid response.
    async fn engine_load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineLoad, ControlError>;

    /// Sends an order and waits until the target has accepted or rejected it.
    ///
    /// # Errors
    /// Returns an error if there is no valid response; the order may be carried out nevertheless.
    async fn order(
        &self,
        order: &WeightOrder,
        timeout: Duration,
    ) -> Result<OrderOutcome, ControlError>;

    /// Waits up to `wait` for changes of a cache after position `since`.
    ///
    /// # Errors
    /// Returns an error if there is no valid response or the cache already serves too many readers.
    async fn part_changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> Result<PartChanges, ControlError>;

    /// Lists every part in a cache.
    ///
    /// # Errors
    /// Returns an error if there is no valid response.
    async fn part_listing(&self, address: SocketAddr) -> Result<PartChanges, ControlError>;

    /// Frees parts of a store immediately if its cache epoch is still `epoch`. Returns whether they
    /// were freed.
    ///
    /// # Errors
    /// Returns an error if there is no valid response; the parts may be freed nevertheless.
    async fn free_parts(
        &self,
        address: SocketAddr,
        epoch: CacheEpoch,
        parts: &[(CacheScope, PartId)],
    ) -> Result<bool, ControlError>;
}
