//! The actors that make up an entry process.
//!
//! [`Entry::spawn`] starts them on trait objects alone, so that tests and embedders choose the
//! outside systems. [`ApiServer`] puts the callers' and operators' HTTP before an entry.

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
mod in_force;
mod parts;
mod peers;
mod planner;
mod request;
mod router_actor;
mod service_call;
mod state_dump;
mod streams;

pub use admission::{AdmissionState, ModelAdmission};
pub use api::ApiServer;
pub use completion::AnswerStream;
pub use context::ContextState;
pub use entry::Entry;
pub use failure::{Failure, FailureCode, Ran};
pub use in_force::InForce;
pub use parts::EntryParts;
pub use peers::{
    ConfigurationStatus, DirectoryShard, PeerProcess, Peers, PeersState, PeersView, ProcessStatus,
};
pub use planner::{LeaseState, PlannerState};
pub use request::{AnswerEvent, CallReply, CallRequest, CompletionRequest};
pub use state_dump::{RunnerState, StateDump};
pub use streams::ResumeKey;
