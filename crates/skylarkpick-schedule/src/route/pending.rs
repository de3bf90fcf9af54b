//! Prompts that runners compute now, and so will hold before a later request is served there.

use skylarkpick_interface::PrefixKey;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time after which a prompt that nobody reported is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct PendingPrompt {
    runner: usize,
    keys: Vec<PrefixKey>,
    since: Instant,
}

/// Prompts that runners compute now, by their first block.
#[derive(Debug, Default)]
pub(super) struct PendingPrompts {
    by_first_key: HashMap<PrefixKey, Vec<PendingPrompt>>,
}

impl PendingPrompts {
    pub(super) fn add(&mut self, runner: usize, keys: &[PrefixKey], now: Instant) {
        let Some(first) = keys.first() else { return };
        let prompts = self.by_first_key.entry(*first).or_default();
        prompts.retain(|prompt| now < prompt.since + FORGOTTEN_AFTER);
        prompts.push(PendingPrompt { runner, keys: keys.to_vec(), since: now });
    }

    /// Forgets one prompt, because it is computed or will not be.
    pub(super) fn remove(&mut self, runner: usize, keys: &[PrefixKey]) {
        let Some(first) = keys.first() else { return };
        let Some(prompts) = self.by_first_key.get_mut(first) else { return };
        let same = |prompt: &PendingPrompt| prompt.runner == runner && prompt.keys == keys;
        if let Some(index) = prompts.iter().position(same) {
            prompts.swap_remove(index);
        }
        if prompts.is_empty() {
            self.by_first_key.remove(first);
        }
    }

    /// Runners that compute the start of a row now, with the blocks that they will hold of it.
    pub(super) fn of(&self, keys: &[PrefixKey]) -> impl Iterator<Item = (usize, usize)> {
        let prompts = keys.first().and_then(|first| self.by_first_key.get(first));
        prompts
            .into_iter()
            .flatten()
            .map(|prompt| (prompt.runner, common_blocks(&prompt.keys, keys)))
    }

    pub(super) fn clear(&mut self) {
        self.by_first_key.clear();
    }
}

/// Leading blocks that two rows share. Equal keys mean equal blocks before them, so that a
/// binary search finds the place at which they part.
fn common_blocks(left: &[PrefixKey], right: &[PrefixKey]) -> usize {
    let length = left.len().min(right.len());
    let (mut shared, mut beyond) = (0, length);
    while shared < beyond {
        let middle = shared + (beyond - shared) / 2;
        if left[middle] == right[middle] {
            shared = middle + 1;
        } else {
            beyond = middle;
        }
    }
    shared
}
