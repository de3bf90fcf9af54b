//! Which prefixes were used before.

use skylarkpick_interface::PrefixKey;
use std::collections::{HashMap, VecDeque};
use tokio::time::Instant;

/// Blocks remembered; the oldest are forgotten first.
const BLOCKS_LIMIT: usize = 65_536;
/// One block in so many is remembered, counted from the start of the row, beside the last.
const REMEMBERED_BLOCK_INTERVAL: usize = 8;

/// Which prefixes were used before, and when last.
#[derive(Debug, Default)]
pub(super) struct SeenPrefixes {
    used_at: HashMap<PrefixKey, Instant>,
    order: VecDeque<PrefixKey>,
}

impl SeenPrefixes {
    /// Notes a use of a row; gives the blocks of its longest start that was used before.
    pub(super) fn note(&mut self, keys: &[PrefixKey], now: Instant) -> usize {
        let returned = keys.iter().rposition(|key| self.used_at.contains_key(key));
        let blocks = returned.map_or(0, |index| index + 1);
        for (index, key) in keys.iter().enumerate() {
            let place = index + 1;
            if place.is_multiple_of(REMEMBERED_BLOCK_INTERVAL) || place == keys.len() {
                self.remember(*key, now);
            }
        }
        blocks
    }

    /// When a prefix was used last.
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
