//! Decides which frames of a run reach the caller, so that each token arrives once and in order.

use skylarkpick_interface::{
    AttemptId, FinishReason, FrameBody, RequestId, RunFrame, RunId, WeightVersion,
};

/// Progress of one attempt's response. Pure state machine: it does no I/O.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RunProgress {
    pub(crate) run_id: RunId,
    pub(crate) request_id: RequestId,
    pub(crate) attempt_id: AttemptId,
    /// Weight version that the run must use.
    pub(crate) weight_version: WeightVersion,
    /// Position of the next token in the response, counted over all attempts.
    pub(crate) next_offset: u64,
    /// Whether the run has confirmed the expected weight version.
    pub(crate) started: bool,
    /// Whether the run has ended; later frames are ignored.
    pub(crate) ended: bool,
}

/// What to do with a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FrameStep {
    /// The frame belongs to another run, request or attempt, repeats an earlier frame, or follows
    /// the end of the run.
    Ignored,
    /// The run started with the expected weight version.
    Started { cached_tokens: u64 },
    /// The next token.
    Token { offset: u64, text: String },
    /// The response is complete.
    Finished { reason: FinishReason, answer_tokens: u64 },
    /// The run uses another weight version: none of its tokens may reach the caller.
    WrongWeights(WeightVersion),
    /// Frames are missing: the stream has to be reopened at the next token.
    Gap,
    /// The runner ended the run before the response was complete.
    RunFailed(String),
}

impl RunProgress {
    /// Applies a frame.
    pub(crate) fn step(&mut self, frame: RunFrame) -> FrameStep {
        if self.ended || !self.belongs_to_run(&frame) {
            return FrameStep::Ignored;
        }
        match frame.body {
            FrameBody::Started { weight_version, cached_tokens } => {
                self.start(weight_version, cached_tokens)
            }
            FrameBody::Token { offset, text } => self.token(offset, text),
            FrameBody::Finished { reason, answer_tokens } => self.finish(reason, answer_tokens),
            FrameBody::Failed { message } => {
                self.ended = true;
                FrameStep::RunFailed(message)
            }
        }
    }

    fn belongs_to_run(&self, frame: &RunFrame) -> bool {
        frame.run_id == self.run_id
            && frame.request_id == self.request_id
            && frame.attempt_id == self.attempt_id
    }

    fn start(&mut self, weight_version: WeightVersion, cached_tokens: u64) -> FrameStep {
        if weight_version != self.weight_version {
            self.ended = true;
            return FrameStep::WrongWeights(weight_version);
        }
        if self.started {
            return FrameStep::Ignored;
        }
        self.started = true;
        FrameStep::Started { cached_tokens }
    }

    fn token(&mut self, offset: u64, text: String) -> FrameStep {
        if offset < self.next_offset {
            return FrameStep::Ignored;
        }
        if offset > self.next_offset || !self.started {
            return FrameStep::Gap;
        }
        self.next_offset += 1;
        FrameStep::Token { offset, text }
    }

    fn finish(&mut self, reason: FinishReason, answer_tokens: u64) -> FrameStep {
        if reason == FinishReason::Cancelled {
            self.ended = true;
            return FrameStep::RunFailed("the run was cancelled".to_string());
        }
        if answer_tokens != self.next_offset || !self.started {
            return FrameStep::Gap;
        }
        self.ended = true;
        FrameStep::Finished { reason, answer_tokens }
    }
}
