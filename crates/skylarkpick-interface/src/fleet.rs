//! What the platform's own records say of the fleet: targets, the serving document, named weights
//! and the other entry processes.

use crate::{
    ids::{AccountId, DataCentreId, ModelName, ServiceName, TargetId, WeightVersion},
    platform::PlatformError,
};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Number of the platform's last change that a reader has taken in; only grows.
pub type FleetRevision = u64;

/// A target as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisteredTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Weights of each model that it serves.
    pub weights: BTreeMap<ModelName, WeightVersion>,
    /// Wall-clock time of its start, which tells two lives under one name apart.
    pub started_at_ms: u64,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// More than once.
    Repeatable,
    /// At most once.
    Once,
}

/// How an answer comes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseKind {
    /// A body.
    Body,
    /// A row of events.
    Events,
}

/// A destination of a route with its share of the requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Destination {
    /// Service that requests go to.
    pub service: ServiceName,
    /// Share against the other destinations' shares.
    pub weight: u32,
}

/// Where requests of a host and path go, and under which rules.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingRoute {
    /// Name of the route.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Destinations, at least one.
    pub destinations: Vec<Destination>,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// How an answer comes.
    pub shape: ResponseKind,
    /// Targets that one request may run at.
    pub attempts_limit: u32,
    /// Longest time to an answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank among other routes, 0 first.
    pub rank: u8,
    /// Whether a request needs no key.
    pub is_anonymous: bool,
}

/// Memory for context of an engine or a store, and the link to it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ContextMemory {
    /// Tokens that fit.
    pub capacity_tokens: u64,
    /// Size of a token's context; 0 for a store, which keeps any model's.
    pub token_size_bytes: u64,
    /// Speed of the link.
    pub link_megabits_per_second: f64,
    /// Delay that each transfer adds.
    pub first_byte_delay: Duration,
    /// Readers of cache events that are served at once.
    pub event_readers_limit: u32,
}

/// What a service of the serving document is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Calls that are passed through.
    Plain,
    /// Model engines.
    Engines(ContextMemory),
    /// A store of context at an address of its own, outside the list of targets.
    Store {
        /// Where it is reached.
        address: SocketAddr,
        /// Data centre that it stands in.
        data_centre: DataCentreId,
        /// What it holds.
        memory: ContextMemory,
        /// Whether nothing is dropped unless the system says so.
        is_managed: bool,
    },
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Largest head of a request.
    pub head_size_bytes: usize,
    /// Largest body of a request.
    pub body_size_bytes: usize,
    /// Time for a whole head.
    pub head_timeout: Duration,
    /// Time that a connection may stay unused.
    pub idle_timeout: Duration,
}

/// A client account with the keys that act for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingAccount {
    /// Name that targets are told.
    pub account: AccountId,
    /// Keys that act for it.
    pub keys: Vec<String>,
    /// Rank that goes before a route's.
    pub rank: Option<u8>,
    /// Whether it shares no context with other accounts.
    pub is_isolated: bool,
}

/// The operator's newest rules in full.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServingDocument {
    /// Number of the document; only grows.
    pub version: u64,
    /// Routes, in the operator's order.
    pub routes: Vec<ServingRoute>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceKind>,
    /// Limits on what a client may send.
    pub limits: ClientLimits,
    /// Client accounts, or `None` where requests carry no keys.
    pub accounts: Option<Vec<ServingAccount>>,
}

/// The newest weights of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesiredWeights {
    /// Model.
    pub model: ModelName,
    /// Version that its runners are to be brought to.
    pub weight_version: WeightVersion,
}

/// Another entry process as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisteredEntry {
    /// Name of its VM.
    pub name: String,
    /// Where it takes messages of other entry processes.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Hundredths of a core that its VM has.
    pub cpu_percent: u32,
}

/// What a feed tells of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetTopic {
    /// The serving document.
    Serving,
    /// Targets.
    Targets,
    /// Named weights.
    Weights,
    /// Other entry processes.
    Entries,
}

impl std::fmt::Display for FleetTopic {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(match self {
            FleetTopic::Serving => "serving",
            FleetTopic::Targets => "targets",
            FleetTopic::Weights => "weights",
            FleetTopic::Entries => "entries",
        })
    }
}

/// One record of a feed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetRecord {
    /// The serving document.
    Serving(Box<ServingDocument>),
    /// A target.
    Target(RegisteredTarget),
    /// Named weights.
    Weights(DesiredWeights),
    /// An entry process.
    Entry(RegisteredEntry),
    /// A record that cannot be read, with the reason. It names nothing to use.
    Unreadable(String),
}

/// A record under its name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedRecord {
    /// Name of the record.
    pub name: String,
    /// Its content, or `None` once it was removed.
    pub record: Option<FleetRecord>,
}

/// Records of a feed: all of them, or those that changed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetUpdate {
    /// Records, each name once.
    pub records: Vec<NamedRecord>,
    /// Where to go on from.
    pub revision: FleetRevision,
}

/// Why a feed gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WatchError {
    /// Changes since that revision are no longer kept: read all of it again.
    #[error("changes since the revision are no longer kept")]
    HistoryCompacted,
    /// The platform gave nothing.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// The platform's own records.
#[async_trait]
pub trait FleetSource: Send + Sync {
    /// Reads all records of a topic.
    ///
    /// # Errors
    /// When the platform is away.
    async fn read(&self, topic: FleetTopic) -> Result<FleetUpdate, WatchError>;

    /// Waits for changes after `since`, at most for `timeout`; no records when there were none.
    ///
    /// # Errors
    /// When the platform is away or has dropped that part of its history.
    async fn changes(
        &self,
        topic: FleetTopic,
        since: FleetRevision,
        timeout: Duration,
    ) -> Result<FleetUpdate, WatchError>;

    /// Registers this process, or updates what it said before.
    ///
    /// # Errors
    /// When the platform is away; the registration may have taken effect.
    async fn register(&self, entry: &RegisteredEntry) -> Result<(), PlatformError>;

    /// Removes the registration of a process that is gone.
    ///
    /// # Errors
    /// When the platform is away; the registration may be gone all the same.
    async fn unregister(&self, name: &str) -> Result<(), PlatformError>;
}
