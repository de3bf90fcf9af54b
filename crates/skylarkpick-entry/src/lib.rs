//! The actors that make up an entry process.
//!
//! [`Entry::spawn`] starts them on trait objects alone, so that tests and embedders choose the
//! outside systems. [`Front`] puts the callers' and operators' HTTP before an entry.

mod active_configuration;
mod admission;
mod attempt_log;
mod attempts;
mod claimed_call;
mod completion;
mod configuration_actor;
mod context;
mod entry;
mod failure;
mod front;
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
pub use completion::CompletionStream;
pub use context::ContextState;
pub use entry::Entry;
pub use failure::{Failure, FailureCode, Ran};
pub use front::Front;
pub use parts::EntryParts;
pub use peers::{
    ConfigurationStatus, DirectoryPart, PeerProcess, Peers, PeersState, PeersView, ProcessStatus,
};
pub use planner::{LeaseState, PlannerState};
pub use request::{CallRequest, CallResponse, CompletionEvent, CompletionRequest};
pub use state_dump::{RunnerState, StateDump};
pub use streams::ResumeKey;
