//! The decisions of the system: choice of targets, admission and queues, limits, retry budgets,
//! saving of cached context, transfers, rollouts of weights, which targets may go on with a stream,
//! and which parts of prompts may be why targets end.
//!
//! Two schedulers choose targets: [`Router`] for `skylarkpick-entry`, and [`Placement`] for the
//! reverse proxy `skylarkpick-forward`.
//!
//! All of it is free of I/O: the caller passes in the time and the observations.

mod admission;
mod client_bytes;
mod crashes;
mod fair_waiting;
#[cfg(test)]
mod fair_waiting_tests;
mod health;
mod limit;
mod placement;
mod queue;
mod reach;
mod retry;
mod rollout;
mod route;
mod saving;
mod streams;
mod transfer;

pub use admission::{
    Admission, AdmissionDecision, AdmissionRequest, QueueDecision, Refusal, RefusalReason,
};
pub use client_bytes::{
    BodyId, BodyLedger, BodyLimits, BodyPace, BodyUse, ConnectionId, ConnectionStage,
    ConnectionState, NoRoom, connection_limit, connections_to_end,
};
pub use crashes::{
    CrashEvidence, CrashVerdict, EVIDENCE_LIFETIME, ReportSource, evidence_keepers, part_number,
};
pub use fair_waiting::{FairWaiting, WaiterId, WaitingClass};
pub use health::{Ejection, TargetHealth, TargetState};
pub use limit::{AccountLimits, AccountShares, Demand, InFlightLimit, InFlightRules, TokenBucket};
pub use placement::{
    Assignment, CacheKind, CacheView, DesiredWeightsView, LimitChange, MemorySample,
    OutdatedPartFinder, OutdatedParts, PartDirectory, PartFingerprint, PartKey, Placement,
    PlacementDecision, PlacementPolicy, PlacementPrompt, PlacementRequest, PlannedTransfer,
    SpeedChange, SpeedLearning, SpeedSummary, TargetOutcome, TargetView, UnplacedReason,
    WaitingRequests,
};
pub use queue::{FairQueue, QueuedId, QueuedRequest};
pub use reach::{ConnectFailure, HelperAddress, Helpers, ServiceReach};
pub use retry::{RetryBudget, RetryLimits, RetryShare, SharingProcesses};
pub use rollout::{RolloutGoal, RolloutPlan, RolloutRunner, RolloutWait, plan_rollout};
pub use route::{
    Backlog, CacheMismatch, Candidate, ContextPlan, DEFAULT_RULES, Holder, ImportPlan, NoRoute,
    PrefixView, Route, RouteRequest, Router, RoutingRules, SavedCopy, StoreCandidate,
};
pub use saving::{SaveDecision, SavedEntry, SavingPolicy, SavingSettings, StoreCapacity};
pub use streams::{
    SeenVersion, SoftwareHistory, SoftwareVersions, StreamFingerprint, StreamOrigins,
    software_version_of_run, stream_keepers, stream_keepers_to_ask,
};
pub use transfer::{
    ImportOrdering, NextTransfer, Transfer, TransferId, TransferKind, TransferQueue,
};
