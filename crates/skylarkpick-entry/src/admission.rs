//! Admission control: queues requests per model, refuses those that are over a limit or cannot
//! meet their deadline, and ejects runners that fail.

mod actor;
mod handle;
mod messages;

pub(crate) use actor::refresh_targets;
pub(crate) use handle::AdmissionHandle;
pub(crate) use messages::RunEvent;
pub use messages::{AdmissionState, ModelAdmission};
