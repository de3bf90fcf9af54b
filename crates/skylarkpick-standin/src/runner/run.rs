//! A run: its request and the output that it has produced so far.

use skylarkpick_interface::{FrameBody, RunFrame, RunRequest};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

pub(super) struct Run {
    pub(super) request: RunRequest,
    /// Index of the run's record in the ledger of the runner.
    pub(super) record_index: usize,
    pub(super) progress: Mutex<Progress>,
    pub(super) changed: Notify,
}

#[derive(Default)]
pub(super) struct Progress {
    pub(super) started: Option<FrameBody>,
    /// Offset of the first token that this run generates; a resumed request has earlier ones.
    pub(super) first_offset: u64,
    pub(super) tokens: Vec<String>,
    pub(super) end: Option<FrameBody>,
    pub(super) cancelled: bool,
}

impl Run {
    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn update(&self, change: impl FnOnce(&mut Progress)) {
        change(&mut self.lock());
        self.changed.notify_waiters();
    }

    pub(super) fn frame(&self, body: FrameBody) -> RunFrame {
        RunFrame {
            run_id: self.request.run_id.clone(),
            request_id: self.request.request_id.clone(),
            attempt_id: self.request.attempt_id,
            body,
        }
    }
}

impl Progress {
    /// Returns the frame at a position, once there is one: position 0 is the start frame, the
    /// tokens follow, and the last one is the end frame.
    pub(super) fn frame(&self, position: u64) -> Option<FrameBody> {
        if position == 0 {
            return self.started.clone();
        }
        let index = position - 1;
        match self.tokens.get(index as usize) {
            Some(text) => {
                let offset = self.first_offset + index;
                Some(FrameBody::Token { offset, text: text.clone() })
            }
            None => self.end.clone(),
        }
    }
}
