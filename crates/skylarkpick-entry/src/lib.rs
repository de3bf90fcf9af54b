//! The actors that make up an entry process.
//!
//! [`Entry::spawn`] starts them on trait objects alone, so that tests and embedders choose the
//! outside systems. [`Front`] puts the callers' and operators' HTTP before an entry.

mod attempt_log;
mod attempts;
mod completion;
mod configuration_actor;
mod entry;
mod failure;
mod front;
mod in_force;
mod parts;
mod request;
mod router_actor;
mod service_call;
mod state_dump;

pub use completion::AnswerStream;
pub use entry::Entry;
pub use failure::{Failure, FailureCode, Ran};
pub use front::Front;
pub use in_force::InForce;
pub use parts::EntryParts;
pub use request::{AnswerEvent, CallRequest, CompletionRequest};
pub use state_dump::{RunnerState, StateDump};
