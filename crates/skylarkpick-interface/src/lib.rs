//! Traits and message types for external systems.
//!
//! The rest of the workspace accesses the platform, the targets and the clock only through these
//! traits, always as trait objects. Production uses HTTP adapters; tests use small in-memory
//! implementations.

mod clock;
mod control;
mod crash;
mod fleet;
mod forward;
mod hexadecimal;
mod ids;
mod node;
mod peers;
mod plain_service;
mod platform;
mod runner;
mod store;
mod store_revision;
mod targets;

pub use clock::{BootClock, Clock, TokioClock};
pub use control::{
    CacheEpoch, ControlError, EngineLoad, OrderOutcome, OrderState, PartChange, PartChanges,
    SignalObserver, TargetControl, WeightOrder,
};
pub use crash::{CrashCause, CrashReport, PartDepth, PartNumber, RequestNumber, TargetCrash};
pub use fleet::{
    ClientLimits, ColdStart, ContextMemory, DesiredSinceOutcome, DesiredWeights, Destination,
    FleetRecord, FleetSource, FleetTopic, FleetUpdate, NamedRecord, RegisteredEntry,
    RegisteredTarget, Repeatability, ResponseKind, ServiceKind, ServingAccount, ServingDocument,
    ServingRoute, WatchError,
};
pub use forward::{
    BrittleSignal, CacheScope, ClientAttemptId, Dialect, EventId, FetchSource, HeadError,
    LimitSignal, PartId, PromptDescription, PromptPart, ReportedLoad, RequestHead, RequestLimit,
    RequestMetadata, ResponseMetadata, StreamOrigin, TargetSignals, UnreadableHeader,
};
pub use hexadecimal::{format_prefix_key, parse_prefix_key};
pub use ids::{
    AccountId, AdapterName, AttemptId, ConfigurationVersion, DataCentreId, EntryId, FencingNumber,
    Generation, IdempotencyKey, ModelName, PrefixKey, RequestId, RunId, RunnerId, ServiceName,
    SoftwareVersion, StoreId, TargetId, WeightVersion,
};
pub use node::{ColdRequestBound, NodeLimits, NodeSettings};
pub use peers::{NoPeers, PeerError, PeerHandler, PeerLink, PeerNetwork, PeerStream};
pub use plain_service::{PlainService, ServiceCall, ServiceError, ServiceReply};
pub use platform::{
    ListedObject, ListedVm, Object, ObjectKey, ObjectStore, PlatformError, VmState, WriteError,
};
pub use runner::{
    CacheChange, CacheEvent, CacheEventBatch, ExportOrder, ExportReceipt, FinishReason, FrameBody,
    FrameStream, ImportOrder, ImportReceipt, LoadReport, Order, OrderError, OrderKind, Priority,
    RunFrame, RunRequest, Runner, RunnerStatus, StartError, TransferError,
};
pub use store::{
    Manifest, ManifestState, PinId, SavedPrefix, Store, StoreError, StoreStatus, StoreTier,
};
pub use store_revision::{StoreEra, StoreRevision};
pub use targets::TargetConnector;
