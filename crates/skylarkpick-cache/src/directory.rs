//! Which runners are believed to hold which blocks.

use skylarkpick_interface::{PrefixKey, RunnerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Which runners are believed to hold which blocks. A hint: a wrong belief costs time only.
#[derive(Debug, Default)]
pub struct Directory {
    holders: HashMap<PrefixKey, BTreeSet<RunnerId>>,
}

impl Directory {
    /// Notes that a runner holds blocks.
    pub fn add(&mut self, runner: &str, keys: &[PrefixKey]) {
        for key in keys {
            self.holders.entry(*key).or_default().insert(runner.to_string());
        }
    }

    /// Notes that a runner no longer holds a block.
    pub fn remove(&mut self, runner: &str, key: PrefixKey) {
        if let Some(holders) = self.holders.get_mut(&key) {
            holders.remove(runner);
            if holders.is_empty() {
                self.holders.remove(&key);
            }
        }
    }

    /// Blocks of a row that a runner is believed to hold from its start.
    ///
    /// ```
    /// let mut directory = skylarkpick_cache::Directory::default();
    /// directory.add("runner-1", &[1, 2]);
    /// assert_eq!(directory.held("runner-1", &[1, 2, 3]), 2);
    /// assert_eq!(directory.held("runner-2", &[1, 2, 3]), 0);
    /// ```
    pub fn held(&self, runner: &str, keys: &[PrefixKey]) -> usize {
        keys.iter()
            .take_while(|key| self.holders.get(key).is_some_and(|holders| holders.contains(runner)))
            .count()
    }

    /// Blocks that each runner is believed to hold.
    pub fn blocks_by_runner(&self) -> BTreeMap<RunnerId, u64> {
        let mut blocks = BTreeMap::new();
        for runner in self.holders.values().flatten() {
            *blocks.entry(runner.clone()).or_default() += 1;
        }
        blocks
    }

    /// Blocks known.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
