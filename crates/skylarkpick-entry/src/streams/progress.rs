//! Decides for each frame of a run what becomes of it.

use skylarkpick_interface::{
    AttemptId, FinishReason, FrameBody, RequestId, RunFrame, RunId, WeightVersion,
};

/// How far the answer of one attempt has come. Pure: a frame in, a decision out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerProgress {
    pub(crate) run_id: RunId,
    pub(crate) request_id: RequestId,
    pub(crate) attempt_id: AttemptId,
    /// Weights that the run must use.
    pub(crate) weight_version: WeightVersion,
    /// Position of the next token of the whole answer.
    pub(crate) next_offset: u64,
    /// Whether the run is known to use the right weights.
    pub(crate) started: bool,
    /// Whether the run has ended; nothing is passed on any more.
    pub(crate) ended: bool,
}

/// What becomes of a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FrameStep {
    /// The frame is of another run, request or attempt, or was passed on before.
    Ignored,
    /// The run was taken up with the right weights.
    Started { cached_tokens: u64 },
    /// The next token.
    Token { offset: u64, text: String },
    /// The answer is whole.
    Finished { reason: FinishReason, answer_tokens: u64 },
    /// The run uses other weights: nothing of it may be passed on.
    WrongWeights(WeightVersion),
    /// Frames are missing: the stream has to be taken up again at the next token.
    Gap,
    /// The runner ended the run without a whole answer.
    RunFailed(String),
}

impl AnswerProgress {
    /// Takes a frame in.
    pub(crate) fn step(&mut self, frame: RunFrame) -> FrameStep {
        if self.ended || !self.is_own(&frame) {
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

    fn is_own(&self, frame: &RunFrame) -> bool {
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
