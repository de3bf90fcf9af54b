//! The platform's records of the fleet: targets, the serving document, the models' desired weights
//! and the other entry processes.

use crate::{
    crash::CrashReport,
    ids::{
        AccountId, DataCentreId, ModelName, ServiceName, SoftwareVersion, TargetId, WeightVersion,
    },
    platform::{PlatformError, WriteError},
    store_revision::StoreRevision,
};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// A target as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisteredTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether the target is draining and about to stop.
    pub is_draining: bool,
    /// Weight version of each model that it serves.
    pub weights: BTreeMap<ModelName, WeightVersion>,
    /// Wall-clock time of its start, which distinguishes incarnations of a target of the same name.
    pub started_at_ms: u64,
    /// Version of its software. `None` in records of entry processes that don't know the field.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
    /// Time for which the target stays cold, counted from its registration. `None` if the registration
    /// doesn't say, and in records of entry processes that don't know the field.
    #[serde(default)]
    pub cold_remaining: Option<Duration>,
}

/// Requests that targets of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdStart {
    /// Time for which a target is cold after it starts.
    pub duration: Duration,
    /// Requests per second that a cold target tolerates from all entry processes together.
    pub requests_per_second: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// The request is idempotent and may run several times.
    Repeatable,
    /// The request may run at most once.
    Once,
}

/// Form of the responses of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseKind {
    /// A body that is complete only at its end.
    Body,
    /// An event stream.
    Events,
}

/// Destination of a route and its share of the route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Destination {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Share relative to those of the other destinations.
    pub weight: u32,
}

/// Destinations and rules for the requests of a host and path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingRoute {
    /// Name of the route.
    pub name: String,
    /// Host header of matching requests.
    pub host: String,
    /// Path prefix of matching requests; begins and ends with a slash.
    pub path_prefix: String,
    /// Destinations, at least one.
    pub destinations: Vec<Destination>,
    /// Whether a request may run more than once.
    pub repeatability: Repeatability,
    /// Form of the responses.
    pub shape: ResponseKind,
    /// Maximum number of runs of one request.
    pub attempts_limit: u32,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Latency objective: a later response has less value.
    pub target_latency: Duration,
    /// Longest pause between two events of a response that is still on time. `None` if the route
    /// doesn't set one, and in documents of entry processes that don't know the field.
    #[serde(default)]
    pub target_gap: Option<Duration>,
    /// Priority rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether requests without a key are accepted.
    pub is_anonymous: bool,
}

/// Size of a KV cache in an engine or a store, and properties of the network link to it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ContextMemory {
    /// Capacity in tokens.
    pub capacity_tokens: u64,
    /// Size of one token in the cache; 0 for a store, which holds tokens of any model.
    pub token_size_bytes: u64,
    /// Bandwidth of the link.
    pub link_megabits_per_second: f64,
    /// Delay of each transfer until its first byte.
    pub first_byte_delay: Duration,
    /// Maximum number of concurrent readers of cache events.
    pub event_readers_limit: u32,
}

/// Kind of a service in the serving document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Plain service: requests pass through without a KV cache.
    Plain,
    /// Model engines with a KV cache each.
    Engines(ContextMemory),
    /// KV cache store at an address of its own, outside the list of targets.
    Store {
        /// Address of the store.
        address: SocketAddr,
        /// Data centre of the store.
        data_centre: DataCentreId,
        /// Capacity and link of the store.
        memory: ContextMemory,
        /// Whether the store frees parts only on request, without an eviction policy of its own.
        is_managed: bool,
    },
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub head_size_bytes: usize,
    /// Maximum size of a request body.
    pub body_size_bytes: usize,
    /// Time within which a complete request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Client account and its API keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingAccount {
    /// Name that is sent to targets.
    pub account: AccountId,
    /// API keys of the account.
    pub keys: Vec<String>,
    /// Priority rank that overrides the route's.
    pub rank: Option<u8>,
    /// Whether the account shares no cached prompt parts with other accounts.
    pub is_isolated: bool,
}

/// The operator's complete routing configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServingDocument {
    /// Version of the document; monotonically increasing.
    pub version: u64,
    /// Routes, in the operator's order.
    pub routes: Vec<ServingRoute>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceKind>,
    /// Services whose targets start cold.
    #[serde(default)]
    pub cold_starts: BTreeMap<ServiceName, ColdStart>,
    /// Limits on client requests and connections.
    pub limits: ClientLimits,
    /// Client accounts, or `None` if requests carry no keys.
    pub accounts: Option<Vec<ServingAccount>>,
}

/// Weight version that the runners of a model should serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesiredWeights {
    /// Name of the model.
    pub model: ModelName,
    /// Desired weight version of its runners.
    pub weight_version: WeightVersion,
    /// Wall-clock time in Unix milliseconds at which versions became desired, as far as recorded.
    #[serde(default)]
    pub desired_since_ms: BTreeMap<WeightVersion, u64>,
}

/// An entry process as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegisteredEntry {
    /// Name of its VM.
    pub name: String,
    /// Address for messages of other entry processes.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// CPU share of the VM, in hundredths of a core.
    pub cpu_percent: u32,
    /// Whether it fetches notices from relays. Processes of earlier versions don't.
    #[serde(default)]
    pub fetches_notices: bool,
    /// What it tells about ends of targets. Outlasts the process, until its VM is removed.
    #[serde(default)]
    pub crashes: CrashReport,
}

/// Kind of platform records; each kind has a watch of its own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetTopic {
    /// The serving document.
    Serving,
    /// Targets.
    Targets,
    /// Desired weights of the models.
    Weights,
    /// Entry processes.
    Entries,
    /// Evacuations of data centres. Entry processes of earlier versions don't know the topic.
    Evacuations,
}

impl std::fmt::Display for FleetTopic {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(match self {
            FleetTopic::Serving => "serving",
            FleetTopic::Targets => "targets",
            FleetTopic::Weights => "weights",
            FleetTopic::Entries => "entries",
            FleetTopic::Evacuations => "evacuations",
        })
    }
}

/// Content of a platform record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetRecord {
    /// The serving document.
    Serving(Box<ServingDocument>),
    /// A target.
    Target(RegisteredTarget),
    /// Desired weights of a model.
    Weights(DesiredWeights),
    /// An entry process.
    Entry(RegisteredEntry),
    /// Evacuation of a data centre: its targets get no more requests while the record exists.
    Evacuation(DataCentreId),
    /// A record that can't be decoded, with the reason.
    Unreadable(String),
}

/// A record and its name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedRecord {
    /// Name of the record.
    pub name: String,
    /// Content of the record, or `None` if it was removed.
    pub record: Option<FleetRecord>,
}

/// All records of a topic, or those that changed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetUpdate {
    /// Records, each name once.
    pub records: Vec<NamedRecord>,
    /// Revision from which the next watch continues.
    #[serde(flatten)]
    pub revision: StoreRevision,
}

/// Why a read or watch of platform records failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WatchError {
    /// The platform has compacted the changes since the requested revision, or lost them by its
    /// return from an older copy; all records must be read again.
    #[error("changes since the revision have been compacted")]
    HistoryCompacted,
    /// The platform doesn't know this kind of records, so there are none.
    #[error("the platform has no records of this kind")]
    UnknownKind,
    /// The call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Result of recording the time since which weights are desired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DesiredSinceOutcome {
    /// The time was recorded.
    Recorded,
    /// A time had been recorded before, and stays.
    AlreadyRecorded,
}

/// Access to the platform's records of the fleet.
#[async_trait]
pub trait FleetSource: Send + Sync {
    /// Reads all records of a topic.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable.
    async fn read(&self, topic: FleetTopic) -> Result<FleetUpdate, WatchError>;

    /// Waits up to `timeout` for changes after `since`. Returns no records if there were none.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable or has compacted that part of its history.
    async fn changes(
        &self,
        topic: FleetTopic,
        since: StoreRevision,
        timeout: Duration,
    ) -> Result<FleetUpdate, WatchError>;

    /// Records the wall-clock time in Unix milliseconds since which a weight version of a model is
    /// desired. A time that is already recorded stays.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable, has no record of the model, or another
    /// process wrote the record at the same time.
    async fn record_desired_since(
        &self,
        model: &str,
        version: WeightVersion,
        since_ms: u64,
    ) -> Result<DesiredSinceOutcome, WriteError>;

    /// Registers this process, or updates its registration.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable; the registration may have taken effect.
    async fn register(&self, entry: &RegisteredEntry) -> Result<(), PlatformError>;

    /// Replaces what the registration of a process tells about ends of targets.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable, the process is not registered, or another
    /// process wrote the registration at the same time.
    async fn record_crashes(&self, name: &str, report: &CrashReport) -> Result<(), WriteError>;

    /// Removes the registration of a process that no longer runs.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable; the removal may have taken effect.
    async fn unregister(&self, name: &str) -> Result<(), PlatformError>;
}
