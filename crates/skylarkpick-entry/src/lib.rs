//! The actors that make up an entry process.
//!
//! [`Entry::spawn`] starts them on trait objects alone, so that tests and embedders choose the
//! outside systems. [`ApiServer`] puts the callers' and operators' HTTP before an entry.

mod active_configuration;
mod admission;
mod api;
mod attempt_log;
mod attempts;
mod claimed_call;
mod completion;
mod configuration_actor;
mod context;
mod entry;
mod failure;
mod parts;
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
pub use failure::{Failure, FailureCode, Ran};
pub use parts::EntryParts;
pub use peers::{
    ConfigurationStatus, DirectoryShard, PeerProcess, Peers, PeersState, PeersView, ProcessStatus,
};
pub use planner::{LeaseState, PlannerState};
pub use request::{CallRequest, CallResponse, CompletionEvent, CompletionRequest};
pub use state_dump::{RunnerState, StateDump};
pub use streams::ResumeKey;
