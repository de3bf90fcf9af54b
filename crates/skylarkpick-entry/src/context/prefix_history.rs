//! Remembers recently used prefixes, so that the saving actor can choose which part of a prompt to
//! save and which copies to evict.

use skylarkpick_interface::PrefixKey;
use std::collections::{HashMap, VecDeque};
use tokio::time::Instant;

/// Blocks remembered; the first ones added are evicted first.
const BLOCKS_LIMIT: usize = 65_536;
/// Interval in blocks at which the blocks of a prompt are remembered, besides its last one.
const REMEMBERED_BLOCK_INTERVAL: usize = 8;

/// Recently used prefixes, with the time of the last use.
#[derive(Debug, Default)]
pub(super) struct PrefixHistory {
    used_at: HashMap<PrefixKey, Instant>,
    order: VecDeque<PrefixKey>,
}

impl PrefixHistory {
    /// Records a use of a prompt; returns the length in blocks of its longest start that was used
    /// before.
    pub(super) fn record(&mut self, keys: &[PrefixKey], now: Instant) -> usize {
        let reused = keys.iter().rposition(|key| self.used_at.contains_key(key));
        let blocks = reused.map_or(0, |index| index + 1);
        for (index, key) in keys.iter().enumerate() {
            let length = index + 1;
            if length.is_multiple_of(REMEMBERED_BLOCK_INTERVAL) || length == keys.len() {
                self.remember(*key, now);
            }
        }
        blocks
    }

    /// Returns the time of the last use of a prefix.
    pub(super) fn used_at(&self, key: PrefixKey) -> Option<Instant> {
        self.used_at.get(&key).copied()
    }

    fn remember(&mut self, key: PrefixKey, now: Instant) {
        if self.used_at.insert(key, now).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > BLOCKS_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.used_at.remove(&oldest);
            }
        }
    }
}
