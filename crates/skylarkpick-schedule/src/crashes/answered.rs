//! Parts of prompts and requests that were answered completely.

use skylarkpick_interface::CrashCause;
use std::collections::HashMap;

/// Number of entries in one of the two generations of a memory, at some 32 bytes each.
const GENERATION_SIZE: usize = 4_096;

/// Times of the last whole responses.
///
/// Most requests come only once. They have a memory of their own, so that they push out neither parts
/// nor requests that come again.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredCauses {
    parts: AnswerTimes,
    requests: AnswerTimes,
    repeated_requests: AnswerTimes,
}

impl AnsweredCauses {
    pub(super) fn note(&mut self, cause: CrashCause, at_ms: u64) {
        match cause {
            CrashCause::Part(part) => self.parts.note(part, at_ms),
            CrashCause::Request(request) => {
                let last_ms = self.last_ms(cause);
                let is_repeated = last_ms.is_some_and(|last_ms| last_ms < at_ms);
                let memory = match is_repeated || self.is_repeated(cause) {
                    true => &mut self.repeated_requests,
                    false => &mut self.requests,
                };
                memory.note(request, at_ms);
            }
        }
    }

    /// Records an answer that counts for more than its time, like one to a suspected request.
    pub(super) fn note_repeated(&mut self, cause: CrashCause, at_ms: u64) {
        match cause {
            CrashCause::Part(part) => self.parts.note(part, at_ms),
            CrashCause::Request(request) => self.repeated_requests.note(request, at_ms),
        }
    }

    pub(super) fn last_ms(&self, cause: CrashCause) -> Option<u64> {
        match cause {
            CrashCause::Part(part) => self.parts.last_ms(part),
            CrashCause::Request(request) => {
                self.repeated_requests.last_ms(request).max(self.requests.last_ms(request))
            }
        }
    }

    /// Returns whether it was answered more than once, or is a part.
    pub(super) fn is_repeated(&self, cause: CrashCause) -> bool {
        match cause {
            CrashCause::Part(_) => true,
            CrashCause::Request(request) => self.repeated_requests.last_ms(request).is_some(),
        }
    }
}

/// Times by number, for the numbers that were used last.
#[derive(Clone, Debug, Default)]
struct AnswerTimes {
    current: HashMap<u64, u64>,
    previous: HashMap<u64, u64>,
}

impl AnswerTimes {
    fn note(&mut self, number: u64, at_ms: u64) {
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&number) {
            self.previous = std::mem::take(&mut self.current);
        }
        let known = self.current.entry(number).or_default();
        *known = at_ms.max(*known);
    }

    fn last_ms(&self, number: u64) -> Option<u64> {
        self.current.get(&number).or_else(|| self.previous.get(&number)).copied()
    }
}
