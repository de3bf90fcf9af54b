//! Calls to targets and stores that are not requests of clients.

use crate::{
    forward::{CacheScope, PartId},
    ids::{FencingNumber, ModelName, TargetId, WeightVersion},
};
use async_trait::async_trait;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Number of a target's or store's life; another one means that it holds nothing of before.
pub type CacheEpoch = u64;

/// Order to serve other weights once the runs under way have ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// Target that the order is for.
    pub target: TargetId,
    /// Where it is.
    pub address: SocketAddr,
    /// Model.
    pub model: ModelName,
    /// Weights to serve.
    pub weight_version: WeightVersion,
    /// Name of the sender.
    pub holder: String,
    /// Number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Orders that the target has accepted before this one.
    pub orders_accepted: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// What it wants is so already.
    AlreadySo,
    /// Another order is under way, or the target has accepted others since.
    Conflict,
    /// Its fencing number is too low.
    Fenced,
    /// Another target has the address.
    OtherTarget,
    /// The target refuses it for good.
    Refused,
}

/// Why a call gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ControlError {
    /// No answer; an order may still be carried out.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Refused for the number of such calls.
    #[error("too many such calls")]
    TooMany,
    /// The answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// One change of what a cache keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// Scope that the part is kept under.
    pub scope: CacheScope,
    /// The part.
    pub part: PartId,
    /// Tokens kept now; 0 once it is gone.
    pub tokens: u64,
}

/// Changes of what a cache keeps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartChanges {
    /// Life of the cache.
    pub epoch: CacheEpoch,
    /// Where to go on from.
    pub next: u64,
    /// Whether some changes are missing.
    pub has_gap: bool,
    /// Changes, oldest first; all that is kept for a listing.
    pub changes: Vec<PartChange>,
}

/// What a target says of the orders that it takes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderState {
    /// Orders that it has accepted since its start.
    pub orders_accepted: u64,
    /// Whether one is being carried out.
    pub is_busy: bool,
    /// Weights of each model that it serves.
    pub weights: BTreeMap<ModelName, WeightVersion>,
}

/// Calls to targets and stores.
#[async_trait]
pub trait TargetControl: Send + Sync {
    /// Reads what a target says of the orders that it takes.
    ///
    /// # Errors
    /// When there is no answer.
    async fn order_state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<OrderState, ControlError>;

    /// Gives an order and waits for its acceptance.
    ///
    /// # Errors
    /// When there is no answer; the order may be carried out all the same.
    async fn order(
        &self,
        order: &WeightOrder,
        timeout: Duration,
    ) -> Result<OrderOutcome, ControlError>;

    /// Waits for changes of a cache after `since`.
    ///
    /// # Errors
    /// When there is no answer or too many ask.
    async fn part_changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> Result<PartChanges, ControlError>;

    /// Lists all that a cache keeps.
    ///
    /// # Errors
    /// When there is no answer.
    async fn part_listing(&self, address: SocketAddr) -> Result<PartChanges, ControlError>;

    /// Frees parts of a store at once, if it is still in that life. Gives whether it did.
    ///
    /// # Errors
    /// When there is no answer; the parts may be freed all the same.
    async fn free_parts(
        &self,
        address: SocketAddr,
        epoch: CacheEpoch,
        parts: &[(CacheScope, PartId)],
    ) -> Result<bool, ControlError>;
}
