//! The prefix directory of the simulation, built from delayed cache events and completed saves.
//!
//! All entry processes share one directory. It can differ from the caches of the runners, as
//! cache events arrive late.

use super::event_queue::ContextId;
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::{PrefixKey, StoreTier};
use skylarkpick_schedule::{Holder, PrefixView, SavedCopy};
use std::collections::BTreeMap;

/// Maximum number of holders returned to the router.
const HOLDERS_LIMIT: usize = 16;

/// Prefixes that runners and stores are recorded to hold.
#[derive(Debug, Default)]
pub(super) struct DirectoryView {
    runner_names: Vec<String>,
    holders: BTreeMap<ContextId, BTreeMap<usize, u64>>,
    saved: BTreeMap<ContextId, Vec<SavedCopy>>,
}

/// Returns the keys of a context's blocks. A key is composed of the prefix, the weight version and
/// the position of the block, counted from 1.
pub(super) fn context_keys(context: ContextId, tokens: u64) -> Vec<PrefixKey> {
    (1..=tokens / BLOCK_TOKENS).map(|position| block_key(context, position)).collect()
}

/// Returns the key of the last block of a context.
pub(super) fn last_key(context: ContextId, tokens: u64) -> PrefixKey {
    block_key(context, (tokens / BLOCK_TOKENS).max(1))
}

fn block_key(context: ContextId, position: u64) -> PrefixKey {
    let prefix = PrefixKey::from(context.prefix as u64) << 64;
    prefix | PrefixKey::from(context.weight_version) << 32 | PrefixKey::from(position)
}

/// Returns the context that a block key belongs to.
pub(super) fn context_of(key: PrefixKey) -> ContextId {
    let weight_version = (key >> 32) as u32;
    ContextId { prefix: (key >> 64) as usize, weight_version: u64::from(weight_version) }
}

impl DirectoryView {
    pub(super) fn open(runner_names: Vec<String>) -> DirectoryView {
        DirectoryView { runner_names, ..DirectoryView::default() }
    }

    /// Records the tokens of a context that a runner holds; less than a block counts as none.
    pub(super) fn set_held_tokens(&mut self, runner: usize, context: ContextId, tokens: u64) {
        let holders = self.holders.entry(context).or_default();
        if tokens >= BLOCK_TOKENS {
            holders.insert(runner, tokens);
        } else {
            holders.remove(&runner);
        }
    }

    /// Adds or replaces the copy in a tier of a store; longer copies come first.
    pub(super) fn add_saved_copy(&mut self, context: ContextId, copy: SavedCopy) {
        let copies = self.saved.entry(context).or_default();
        copies.retain(|other| other.store != copy.store || other.tier != copy.tier);
        copies.push(copy);
        copies.sort_by(|left, right| {
            right.tokens.cmp(&left.tokens).then_with(|| left.store.cmp(&right.store))
        });
    }

    pub(super) fn remove_saved_copy(&mut self, context: ContextId, store: &str, tier: StoreTier) {
        if let Some(copies) = self.saved.get_mut(&context) {
            copies.retain(|copy| copy.store != store || copy.tier != tier);
        }
    }

    /// Removes all copies of a store, after its crash.
    pub(super) fn remove_store(&mut self, store: &str) {
        for copies in self.saved.values_mut() {
            copies.retain(|copy| copy.store != store);
        }
    }
}

impl PrefixView for DirectoryView {
    fn holders(&self, keys: &[PrefixKey]) -> Vec<Holder> {
        let Some(first) = keys.first() else { return Vec::new() };
        let Some(held) = self.holders.get(&context_of(*first)) else { return Vec::new() };
        let prompt_tokens = keys.len() as u64 * BLOCK_TOKENS;
        let mut holders: Vec<(u64, usize)> =
            held.iter().map(|(runner, tokens)| (*tokens.min(&prompt_tokens), *runner)).collect();
        holders.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
        holders.truncate(HOLDERS_LIMIT);
        let name = |runner: usize| self.runner_names[runner].clone();
        holders
            .into_iter()
            .map(|(tokens, runner)| Holder {
                runner: name(runner),
                tokens: tokens / BLOCK_TOKENS * BLOCK_TOKENS,
            })
            .collect()
    }

    fn saved_copies(&self, keys: &[PrefixKey]) -> Vec<SavedCopy> {
        let Some(first) = keys.first() else { return Vec::new() };
        let prompt_tokens = keys.len() as u64 * BLOCK_TOKENS;
        let copies = self.saved.get(&context_of(*first)).cloned().unwrap_or_default();
        copies.into_iter().filter(|copy| copy.tokens <= prompt_tokens).collect()
    }
}
