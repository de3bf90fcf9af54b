//! Parts of prompts that were answered completely.

use skylarkpick_interface::PartNumber;
use std::collections::HashMap;

/// Number of parts in one of the two generations, at some 32 bytes each.
const GENERATION_SIZE: usize = 4_096;

/// Time of the last whole response by part, for the parts that were used last.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    current: HashMap<PartNumber, u64>,
    previous: HashMap<PartNumber, u64>,
}

impl AnsweredParts {
    pub(super) fn note(&mut self, part: PartNumber, at_ms: u64) {
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let known = self.current.entry(part).or_default();
        *known = at_ms.max(*known);
    }

    pub(super) fn last_ms(&self, part: PartNumber) -> Option<u64> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}
