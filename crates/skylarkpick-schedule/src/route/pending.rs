//! Prompts that runners are computing, and will hold before they serve a later request.

use skylarkpick_interface::PrefixKey;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time after which a prompt whose outcome was never observed is dropped.
const EXPIRY: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct PendingPrompt {
    runner: usize,
    keys: Vec<PrefixKey>,
    since: Instant,
}

/// Prompts that runners are computing, by the key of their first block.
#[derive(Debug, Default)]
pub(super) struct PendingPrompts {
    by_first_key: HashMap<PrefixKey, Vec<PendingPrompt>>,
}

impl PendingPrompts {
    pub(super) fn add(&mut self, runner: usize, keys: &[PrefixKey], now: Instant) {
        let Some(first) = keys.first() else { return };
        let prompts = self.by_first_key.entry(*first).or_default();
        prompts.retain(|prompt| now < prompt.since + EXPIRY);
        prompts.push(PendingPrompt { runner, keys: keys.to_vec(), since: now });
    }

    /// Removes a prompt that has been computed or won't be.
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

    /// Returns the runners that are computing a prompt with the same first block, with the leading
    /// blocks of `keys` that each will hold.
    pub(super) fn matching(&self, keys: &[PrefixKey]) -> impl Iterator<Item = (usize, usize)> {
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

/// Returns the number of leading blocks that two prompts share. Equal keys imply equal preceding
/// blocks, so a binary search finds the first difference.
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
