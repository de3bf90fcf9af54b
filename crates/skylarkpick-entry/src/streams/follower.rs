//! Follows the frames of one run, taking a broken stream up again at its runner.

use super::progress::{AnswerProgress, FrameStep};
use async_trait::async_trait;
use futures::StreamExt;
use skylarkpick_interface::{AccountId, FrameStream, Runner, WeightVersion};
use std::sync::Arc;

/// Times in a row, without a new token, that a broken stream is taken up again at its runner.
const RESUMES_LIMIT: u32 = 2;

/// How the frames of a run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The answer is whole.
    Complete,
    /// Nobody takes the answer any more.
    CallerDisconnected,
    /// The run uses other weights.
    WrongWeights(WeightVersion),
    /// The runner ended the run without a whole answer.
    RunFailed(String),
    /// The stream broke and could not be taken up again.
    Broken(String),
}

/// Takes what a run gives to its caller.
#[async_trait]
pub(crate) trait FrameSink: Send {
    /// Takes a start, a token or the end; gives false once the caller has gone. Waits while the
    /// caller is slow, and the run's frames wait with it.
    async fn send(&mut self, step: FrameStep) -> bool;
}

/// Follows the frames of one run.
pub(crate) struct RunFollower {
    pub(crate) runner: Arc<dyn Runner>,
    pub(crate) account: AccountId,
    pub(crate) progress: AnswerProgress,
}

impl RunFollower {
    /// Passes the frames of the run to `sink` until it ends.
    pub(crate) async fn follow(
        &mut self,
        mut frames: FrameStream,
        sink: &mut dyn FrameSink,
    ) -> StreamEnd {
        let mut resumes = 0;
        loop {
            let before = self.progress.next_offset;
            let why = match self.pass_all(&mut frames, sink).await {
                StreamEnd::Broken(why) => why,
                end => return end,
            };
            if self.progress.next_offset > before {
                resumes = 0;
            }
            if !self.progress.started || resumes == RESUMES_LIMIT {
                return StreamEnd::Broken(why);
            }
            resumes += 1;
            frames = match self.take_up().await {
                Ok(frames) => frames,
                Err(error) => return StreamEnd::Broken(format!("{why}; {error}")),
            };
        }
    }

    /// Takes the frames up at the next token that the caller lacks.
    pub(crate) async fn take_up(&self) -> Result<FrameStream, skylarkpick_interface::StartError> {
        let progress = &self.progress;
        self.runner.resume(&progress.run_id, &self.account, progress.next_offset).await
    }

    async fn pass_all(&mut self, frames: &mut FrameStream, sink: &mut dyn FrameSink) -> StreamEnd {
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
                FrameStep::RunFailed(why) => return StreamEnd::RunFailed(why),
                FrameStep::Started { .. } | FrameStep::Token { .. } => {
                    if !sink.send(step).await {
                        return StreamEnd::CallerDisconnected;
                    }
                }
                FrameStep::Finished { .. } => {
                    // A caller that went after the last token misses nothing that can be resent.
                    sink.send(step).await;
                    return StreamEnd::Complete;
                }
            }
        }
    }
}
