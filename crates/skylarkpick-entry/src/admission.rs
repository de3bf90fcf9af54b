//! Admission in the entry process: who starts, waits or is refused, and which runners to avoid.

mod actor;
mod desk;
mod messages;

pub(crate) use actor::follow_targets;
pub(crate) use desk::Desk;
pub(crate) use messages::News;
pub use messages::{AdmissionState, ModelAdmission};
