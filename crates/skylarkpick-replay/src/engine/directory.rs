//! The directory as replay keeps it: what the late cache events and the manifests say.

use super::agenda::ContextId;
use skylarkpick_cache::BLOCK_TOKENS;
use skylarkpick_interface::{PrefixKey, StoreTier};
use skylarkpick_schedule::{Holder, PrefixView, SavedCopy};
use std::collections::BTreeMap;

/// Holders that are given to the router at most.
const HOLDERS_LIMIT: usize = 16;

/// What is believed of runners and stores.
#[derive(Debug, Default)]
pub(super) struct Beliefs {
    runner_names: Vec<String>,
    holders: BTreeMap<ContextId, BTreeMap<usize, u64>>,
    saved: BTreeMap<ContextId, Vec<SavedCopy>>,
}

/// Keys of a context's blocks: the prefix, the weight version and the place in the row.
pub(super) fn context_keys(context: ContextId, tokens: u64) -> Vec<PrefixKey> {
    (1..=tokens / BLOCK_TOKENS).map(|place| block_key(context, place)).collect()
}

/// Key of the last block of a context.
pub(super) fn last_key(context: ContextId, tokens: u64) -> PrefixKey {
    block_key(context, (tokens / BLOCK_TOKENS).max(1))
}

fn block_key(context: ContextId, place: u64) -> PrefixKey {
    let prefix = PrefixKey::from(context.prefix as u64) << 64;
    prefix | PrefixKey::from(context.weight_version) << 32 | PrefixKey::from(place)
}

pub(super) fn context_of(key: PrefixKey) -> ContextId {
    let weight_version = (key >> 32) as u32;
    ContextId { prefix: (key >> 64) as usize, weight_version: u64::from(weight_version) }
}

impl Beliefs {
    pub(super) fn open(runner_names: Vec<String>) -> Beliefs {
        Beliefs { runner_names, ..Beliefs::default() }
    }

    pub(super) fn set_held(&mut self, runner: usize, context: ContextId, tokens: u64) {
        let holders = self.holders.entry(context).or_default();
        if tokens >= BLOCK_TOKENS {
            holders.insert(runner, tokens);
        } else {
            holders.remove(&runner);
        }
    }

    pub(super) fn add_saved(&mut self, context: ContextId, copy: SavedCopy) {
        let copies = self.saved.entry(context).or_default();
        copies.retain(|known| known.store != copy.store || known.tier != copy.tier);
        copies.push(copy);
        copies.sort_by(|left, right| {
            right.tokens.cmp(&left.tokens).then_with(|| left.store.cmp(&right.store))
        });
    }

    pub(super) fn remove_saved(&mut self, context: ContextId, store: &str, tier: StoreTier) {
        if let Some(copies) = self.saved.get_mut(&context) {
            copies.retain(|copy| copy.store != store || copy.tier != tier);
        }
    }

    pub(super) fn remove_store(&mut self, store: &str) {
        for copies in self.saved.values_mut() {
            copies.retain(|copy| copy.store != store);
        }
    }
}

impl PrefixView for Beliefs {
    fn holders(&self, keys: &[PrefixKey]) -> Vec<Holder> {
        let Some(first) = keys.first() else { return Vec::new() };
        let Some(held) = self.holders.get(&context_of(*first)) else { return Vec::new() };
        let row_tokens = keys.len() as u64 * BLOCK_TOKENS;
        let mut holders: Vec<(u64, usize)> =
            held.iter().map(|(runner, tokens)| (*tokens.min(&row_tokens), *runner)).collect();
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
        let row_tokens = keys.len() as u64 * BLOCK_TOKENS;
        let copies = self.saved.get(&context_of(*first)).cloned().unwrap_or_default();
        copies.into_iter().filter(|copy| copy.tokens <= row_tokens).collect()
    }
}
