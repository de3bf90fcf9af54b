//! The limited prefix cache of a runner, with the least recently used block evicted first.

use skylarkpick_interface::{CacheChange, CacheEvent, PrefixKey};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tokio::time::Instant;

/// Events that a runner remembers; older ones are a gap to who asks for them.
const EVENTS_KEPT: usize = 4_096;

/// A limited prefix cache with the least recently used block evicted first.
pub struct PrefixCache {
    blocks_limit: usize,
    uses: u64,
    last_use: HashMap<PrefixKey, (u64, u64)>,
    by_use: BTreeMap<u64, PrefixKey>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Opens an empty cache for `blocks_limit` blocks.
    pub fn open(blocks_limit: usize) -> PrefixCache {
        PrefixCache {
            blocks_limit,
            uses: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Blocks of a row that are held from its start.
    pub fn held(&self, keys: &[PrefixKey]) -> usize {
        keys.iter().take_while(|key| self.last_use.contains_key(key)).count()
    }

    /// Content mark under which a block was put.
    pub fn content(&self, key: PrefixKey) -> Option<u64> {
        self.last_use.get(&key).map(|(_, content)| *content)
    }

    /// Puts or touches a row of blocks, last block first, so that a row loses its end first.
    pub fn put(&mut self, keys: &[PrefixKey], content: u64) {
        for key in keys.iter().rev() {
            self.uses += 1;
            match self.last_use.insert(*key, (self.uses, content)) {
                Some((before, kept)) => {
                    self.by_use.remove(&before);
                    self.last_use.insert(*key, (self.uses, kept));
                }
                None => self.record(*key, CacheChange::Added),
            }
            self.by_use.insert(self.uses, *key);
        }
        while self.last_use.len() > self.blocks_limit {
            self.evict_oldest();
        }
    }

    /// Evicts everything, as a load of weights does.
    pub fn clear(&mut self) {
        while !self.by_use.is_empty() {
            self.evict_oldest();
        }
    }

    /// Events after `after` that are older than `before`.
    pub fn events(&self, after: u64, before: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at <= before)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Forgets an event, so that whoever reads the row finds a hole.
    pub fn lose_event(&mut self, sequence: u64) {
        self.events.retain(|(_, event)| event.sequence != sequence);
    }

    /// Everything held, with the number of the last event.
    pub fn snapshot(&self) -> (Vec<PrefixKey>, u64) {
        (self.by_use.values().copied().collect(), self.sequence)
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first() {
            self.last_use.remove(&key);
            self.record(key, CacheChange::Evicted);
        }
    }

    fn record(&mut self, prefix_key: PrefixKey, change: CacheChange) {
        self.sequence += 1;
        let event = CacheEvent { sequence: self.sequence, prefix_key, change };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
