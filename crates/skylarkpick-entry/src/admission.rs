//! Admission in the entry process: who starts, waits or is refused, and which runners to avoid.

mod actor;
mod handle;
mod messages;

pub(crate) use actor::follow_targets;
pub(crate) use handle::AdmissionHandle;
pub(crate) use messages::RunEvent;
pub use messages::{AdmissionState, ModelAdmission};
