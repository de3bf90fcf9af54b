//! Response streams: which frames of a run reach the caller, how a broken stream is resumed, and
//! how long a run is retained for a caller that disconnected.

mod follower;
mod progress;
mod resume;
mod resume_token;
mod retention;
mod retention_actor;
mod run_guard;
mod takeover_notice;
#[cfg(test)]
mod tests;

pub(crate) use follower::{FrameSink, RunFollower, StreamEnd};
pub(crate) use progress::{FrameStep, RunProgress};
pub(crate) use resume::resume;
pub use resume_token::ResumeKey;
pub(crate) use resume_token::{sign_token, unix_milliseconds};
pub(crate) use retention_actor::{CountRetained, ReleaseRun, RetentionActor};
pub(crate) use run_guard::RunGuard;
