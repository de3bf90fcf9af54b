//! Streams of answers: which frames belong to an answer, and how a caller takes a broken stream
//! up again.

mod follower;
mod progress;
mod resume;
mod resume_token;
mod retention;
mod retention_actor;
mod run_guard;
mod taken_up;
#[cfg(test)]
mod tests;

pub(crate) use follower::{FrameSink, RunFollower, StreamEnd};
pub(crate) use progress::{AnswerProgress, FrameStep};
pub(crate) use resume::resume;
pub use resume_token::ResumeKey;
pub(crate) use resume_token::{seal_token, unix_milliseconds};
pub(crate) use retention_actor::{CountRetained, ReleaseRun, RetentionActor};
pub(crate) use run_guard::RunGuard;
