//! The actors of an entry process, which load-balances completion requests and service calls over
//! runners and service instances.
//!
//! [`Entry::spawn`] reaches external systems through trait objects only, so that tests and
//! embedders can substitute them. [`ApiServer`] serves the HTTP APIs for callers and operators.

mod active_configuration;
mod admission;
mod api;
mod attempt_log;
mod claimed_call;
mod completion;
mod completion_task;
mod configuration_actor;
mod context;
mod entry;
mod entry_parts;
mod failure;
mod peers;
mod planner;
mod request;
mod router_actor;
mod service_call;
mod state_dump;
mod streams;

pub use active_configuration::ActiveConfiguration;
pub use admission::{AdmissionState, ModelAdmission};
pub use api::ApiServer;
pub use completion::CompletionStream;
pub use context::ContextState;
pub use entry::Entry;
pub use entry_parts::EntryParts;
pub use failure::{Failure, FailureCode, Ran};
pub use peers::{
    ConfigurationStatus, DirectoryShard, PeerProcess, Peers, PeersState, PeersView, ProcessStatus,
};
pub use planner::{LeaseState, PlannerState};
pub use request::{CallRequest, CallResponse, CompletionEvent, CompletionRequest};
pub use state_dump::{RunnerState, StateDump};
pub use streams::ResumeKey;
