//! A bounded prefix cache with least-recently-used eviction, as runners have.

use skylarkpick_interface::{CacheChange, CacheEvent, PrefixKey};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tokio::time::Instant;

/// Events that a runner stores; a reader of older ones finds a gap in the sequence numbers.
const EVENT_HISTORY_LIMIT: usize = 4_096;

/// A bounded prefix cache with least-recently-used eviction.
pub struct PrefixCache {
    blocks_limit: usize,
    uses: u64,
    /// Number of the last use and content mark of each block.
    blocks: HashMap<PrefixKey, (u64, u64)>,
    /// Blocks by the number of their last use.
    by_use: BTreeMap<u64, PrefixKey>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Opens an empty cache with a capacity of `blocks_limit` blocks.
    pub fn open(blocks_limit: usize) -> PrefixCache {
        PrefixCache {
            blocks_limit,
            uses: 0,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns how many blocks of a prompt are cached, counted from its start to the first miss.
    pub fn cached_blocks(&self, keys: &[PrefixKey]) -> usize {
        keys.iter().take_while(|key| self.blocks.contains_key(key)).count()
    }

    /// Returns the content mark with which a block was inserted. Runners use the weight version
    /// that computed the block, and 0 for a corrupt block.
    pub fn content_mark(&self, key: PrefixKey) -> Option<u64> {
        self.blocks.get(&key).map(|(_, mark)| *mark)
    }

    /// Inserts the blocks of a prompt, or marks them as used. The last block is used first, so that
    /// a prompt is evicted from its end. A block that is cached already keeps its content mark.
    pub fn insert(&mut self, keys: &[PrefixKey], mark: u64) {
        for key in keys.iter().rev() {
            self.uses += 1;
            match self.blocks.insert(*key, (self.uses, mark)) {
                Some((previous_use, previous_mark)) => {
                    self.by_use.remove(&previous_use);
                    self.blocks.insert(*key, (self.uses, previous_mark));
                }
                None => self.record(*key, CacheChange::Added),
            }
            self.by_use.insert(self.uses, *key);
        }
        while self.blocks.len() > self.blocks_limit {
            self.evict_oldest();
        }
    }

    /// Evicts all blocks, as a runner does when it loads weights.
    pub fn clear(&mut self) {
        while !self.by_use.is_empty() {
            self.evict_oldest();
        }
    }

    /// Returns the events with sequence numbers above `after` that were recorded by `before`.
    pub fn events(&self, after: u64, before: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at <= before)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Drops an event, so that a reader finds a gap in the sequence numbers.
    pub fn drop_event(&mut self, sequence: u64) {
        self.events.retain(|(_, event)| event.sequence != sequence);
    }

    /// Returns all cached blocks, with the sequence number of the last event.
    pub fn snapshot(&self) -> (Vec<PrefixKey>, u64) {
        (self.by_use.values().copied().collect(), self.sequence)
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first() {
            self.blocks.remove(&key);
            self.record(key, CacheChange::Evicted);
        }
    }

    fn record(&mut self, prefix_key: PrefixKey, change: CacheChange) {
        self.sequence += 1;
        let event = CacheEvent { sequence: self.sequence, prefix_key, change };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_HISTORY_LIMIT {
            self.events.pop_front();
        }
    }
}
