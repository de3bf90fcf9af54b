//! Follows the frame stream of one run and reconnects to the runner when the stream breaks.

use super::progress::{FrameStep, RunProgress};
use async_trait::async_trait;
use futures::StreamExt;
use skylarkpick_interface::{AccountId, FrameStream, Runner, WeightVersion};
use std::sync::Arc;

/// Consecutive reconnects that bring no new token before the stream counts as broken.
const RECONNECTS_LIMIT: u32 = 2;

/// How the frame stream of a run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The response is complete.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The run uses another weight version than the one it was started for.
    WrongWeights(WeightVersion),
    /// The runner ended the run before the response was complete.
    RunFailed(String),
    /// The stream broke and could not be reopened.
    Broken(String),
}

/// Delivers the frames of a run to its caller.
#[async_trait]
pub(crate) trait FrameSink: Send {
    /// Delivers a start, a token or the end, and returns false once the caller has disconnected.
    /// Waits while the caller reads slowly, which applies backpressure to the run.
    async fn send(&mut self, step: FrameStep) -> bool;
}

/// Follows the frame stream of one run.
pub(crate) struct RunFollower {
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) account: AccountId,
    pub(crate) progress: RunProgress,
}

impl RunFollower {
    /// Delivers the frames of the run to `sink` until the stream ends, and reconnects to the runner
    /// when it breaks.
    pub(crate) async fn follow(
        &mut self,
        mut frames: FrameStream,
        sink: &mut dyn FrameSink,
    ) -> StreamEnd {
        let mut reconnects = 0;
        loop {
            let before = self.progress.next_offset;
            let cause = match self.deliver_all(&mut frames, sink).await {
                StreamEnd::Broken(cause) => cause,
                end => return end,
            };
            if self.progress.next_offset > before {
                reconnects = 0;
            }
            if !self.progress.started || reconnects == RECONNECTS_LIMIT {
                return StreamEnd::Broken(cause);
            }
            reconnects += 1;
            frames = match self.reopen().await {
                Ok(frames) => frames,
                Err(error) => return StreamEnd::Broken(format!("{cause}; {error}")),
            };
        }
    }

    /// Reopens the frame stream at the next token that the caller lacks.
    pub(crate) async fn reopen(&self) -> Result<FrameStream, skylarkpick_interface::StartError> {
        let progress = &self.progress;
        self.runner.resume(&progress.run_id, &self.account, progress.next_offset).await
    }

    async fn deliver_all(
        &mut self,
        frames: &mut FrameStream,
        sink: &mut dyn FrameSink,
    ) -> StreamEnd {
        loop {
            let frame = match frames.next().await {
                None => return StreamEnd::Broken("the stream ended early".to_string()),
                Some(Err(error)) => return StreamEnd::Broken(error.to_string()),
                Some(Ok(frame)) => frame,
            };
            let step = self.progress.step(frame);
            match step {
                FrameStep::Ignored => {}
                FrameStep::WrongWeights(version) => return StreamEnd::WrongWeights(version),
                FrameStep::Gap => return StreamEnd::Broken("tokens are missing".to_string()),
                FrameStep::RunFailed(cause) => return StreamEnd::RunFailed(cause),
                FrameStep::Started { .. } | FrameStep::Token { .. } => {
                    if !sink.send(step).await {
                        return StreamEnd::CallerDisconnected;
                    }
                }
                FrameStep::Finished { .. } => {
                    // Every token was delivered, so the response is complete even if the caller
                    // disconnected before the end.
                    sink.send(step).await;
                    return StreamEnd::Complete;
                }
            }
        }
    }
}
