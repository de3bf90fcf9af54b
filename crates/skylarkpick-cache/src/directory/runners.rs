//! Index of the blocks that runners are expected to hold, built from their cache events.

use super::names::{NO_NAME, NameId, Names};
use skylarkpick_interface::{CacheChange, CacheEventBatch, PrefixKey, RunnerId};
use std::collections::{BTreeMap, HashMap};

/// Runners indexed for one block. A further runner replaces the oldest one.
const HOLDERS_LIMIT: usize = 4;
/// One in this many blocks is indexed, in addition to the last block of each prefix.
const INDEXED_BLOCK_INTERVAL: PrefixKey = 4;

/// A runner that is expected to hold a prefix of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerHolder {
    /// The runner.
    pub runner: RunnerId,
    /// Leading blocks of the prompt that the runner holds.
    pub blocks: usize,
    /// Whether cache events of the runner were lost since its last snapshot.
    pub doubtful: bool,
}

/// Query for the next cache events of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEventsQuery {
    /// Sequence number of the last known event.
    pub after: u64,
    /// Whether a snapshot of the whole cache is needed, because events were lost or none is known.
    pub snapshot: bool,
}

/// Change of a runner's cache, as one process sends it to others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunnerChange {
    /// Incarnation of the runner that the events belong to.
    pub incarnation: u64,
    /// Sequence number of the last event before the change.
    pub after: u64,
    /// Sequence number of the last event in the change.
    pub last_sequence: u64,
    /// Whether `added` contains all indexed blocks that the runner holds.
    pub snapshot: bool,
    /// Blocks that the runner holds now.
    pub added: Vec<PrefixKey>,
    /// Blocks that the runner no longer holds.
    pub evicted: Vec<PrefixKey>,
}

impl RunnerChange {
    /// Returns the change that a batch of events makes, restricted to the blocks that are indexed.
    pub fn from_batch(incarnation: u64, after: u64, batch: &CacheEventBatch) -> RunnerChange {
        let mut change = RunnerChange { incarnation, after, ..RunnerChange::default() };
        if let Some(keys) = &batch.snapshot {
            change.snapshot = true;
            change.last_sequence = batch.snapshot_sequence;
            change.added = keys.iter().copied().filter(|key| is_indexed(*key)).collect();
            return change;
        }
        change.last_sequence = after;
        for event in batch.events.iter().filter(|event| event.sequence > after) {
            // A gap in the events makes the change start after the last event that the receiver
            // knows, which lets the receiver detect the gap.
            if event.sequence > change.last_sequence + 1 {
                change.after = event.sequence - 1;
            }
            change.last_sequence = event.sequence;
            let key = event.prefix_key;
            change.added.retain(|known| *known != key);
            match event.change {
                CacheChange::Added if is_indexed(key) => change.added.push(key),
                CacheChange::Added => {}
                CacheChange::Evicted => change.evicted.push(key),
            }
        }
        change
    }
}

/// Index of the blocks that runners are expected to hold. Entries are hints: a wrong one only costs
/// time.
///
/// Only some blocks are indexed: those whose key is a multiple of a small number, which is the same
/// choice in every process, and the last block of each prefix that was run. A lookup goes through
/// the blocks of a prompt from the end, up to the first indexed one.
#[derive(Debug, Default)]
pub struct RunnerPrefixIndex {
    names: Names,
    positions: HashMap<NameId, EventPosition>,
    holders: HashMap<FoldedKey, [NameId; HOLDERS_LIMIT]>,
}

/// Position in the cache events of a runner up to which they were applied.
#[derive(Clone, Copy, Debug, Default)]
struct EventPosition {
    incarnation: u64,
    last_sequence: u64,
    doubtful: bool,
}

/// A key folded to half its bits. A collision of two keys makes an entry wrong, which only costs
/// time.
type FoldedKey = u64;

fn fold(key: PrefixKey) -> FoldedKey {
    (key >> 64) as FoldedKey ^ key as FoldedKey
}

fn is_indexed(key: PrefixKey) -> bool {
    key.is_multiple_of(INDEXED_BLOCK_INTERVAL)
}

impl RunnerPrefixIndex {
    /// Records that a runner holds a prefix, as its own response showed.
    pub fn note_held_prefix(&mut self, runner: &str, keys: &[PrefixKey]) {
        let Some(id) = self.names.intern(runner) else { return };
        for key in keys.iter().filter(|key| is_indexed(**key)).chain(keys.last()) {
            self.insert(id, *key);
        }
    }

    /// Corrects the entries of a prefix: the runner holds its first `blocks` blocks and no more.
    pub fn correct(&mut self, runner: &str, keys: &[PrefixKey], blocks: usize) {
        let Some(id) = self.names.intern(runner) else { return };
        for key in keys.iter().skip(blocks) {
            self.remove(id, *key);
        }
        self.note_held_prefix(runner, &keys[..blocks.min(keys.len())]);
    }

    /// Records the incarnation of a runner. A new one drops all entries of the runner.
    pub fn note_incarnation(&mut self, runner: &str, incarnation: u64) {
        let Some(id) = self.names.intern(runner) else { return };
        let position = self.positions.entry(id).or_default();
        if position.incarnation == incarnation {
            return;
        }
        let is_restart = position.incarnation != 0;
        *position = EventPosition { incarnation, ..EventPosition::default() };
        if is_restart {
            self.drop_entries(id);
        }
    }

    /// Returns the incarnation of a runner whose events are applied, or 0 before any is known.
    pub fn incarnation(&self, runner: &str) -> u64 {
        let position = self.names.find(runner).and_then(|id| self.positions.get(&id));
        position.map_or(0, |position| position.incarnation)
    }

    /// Applies a change that another process sent.
    pub fn apply_change(&mut self, runner: &str, change: &RunnerChange) {
        let Some(id) = self.names.intern(runner) else { return };
        let mut position = self.positions.get(&id).copied().unwrap_or_default();
        let is_known = change.last_sequence < position.last_sequence
            || (change.last_sequence == position.last_sequence && !change.snapshot);
        if position.incarnation != change.incarnation || is_known {
            return;
        }
        if change.snapshot {
            self.drop_entries(id);
            position.doubtful = false;
        } else {
            position.doubtful |= change.after > position.last_sequence;
        }
        position.last_sequence = change.last_sequence;
        change.evicted.iter().for_each(|key| self.remove(id, *key));
        change.added.iter().for_each(|key| self.insert(id, *key));
        self.positions.insert(id, position);
    }

    /// Returns the query for the next events of a runner.
    pub fn next_events(&self, runner: &str) -> CacheEventsQuery {
        let position = self.names.find(runner).and_then(|id| self.positions.get(&id));
        position.map_or(CacheEventsQuery { after: 0, snapshot: true }, |position| {
            CacheEventsQuery {
                after: position.last_sequence,
                snapshot: position.doubtful || position.last_sequence == 0,
            }
        })
    }

    /// Applies events of an incarnation of a runner. Tolerates late, repeated and reordered batches
    /// and gaps.
    pub fn apply_events(&mut self, runner: &str, incarnation: u64, batch: &CacheEventBatch) {
        let Some(id) = self.names.intern(runner) else { return };
        let position = self.positions.entry(id).or_default();
        if position.incarnation != incarnation {
            return;
        }
        let mut position = *position;
        if let Some(keys) = &batch.snapshot
            && batch.snapshot_sequence >= position.last_sequence
        {
            self.drop_entries(id);
            for key in keys.iter().filter(|key| is_indexed(**key)) {
                self.insert(id, *key);
            }
            position.last_sequence = batch.snapshot_sequence;
            position.doubtful = false;
        }
        for event in &batch.events {
            if event.sequence <= position.last_sequence {
                continue;
            }
            position.doubtful |= event.sequence > position.last_sequence + 1;
            position.last_sequence = event.sequence;
            match event.change {
                CacheChange::Added if is_indexed(event.prefix_key) => {
                    self.insert(id, event.prefix_key);
                }
                CacheChange::Added => {}
                CacheChange::Evicted => self.remove(id, event.prefix_key),
            }
        }
        self.positions.insert(id, position);
    }

    /// Returns the runners that hold the longest known prefixes of a prompt, longest first. Among
    /// equals, those without lost events come first.
    pub fn holders(&self, keys: &[PrefixKey]) -> Vec<RunnerHolder> {
        let mut found: Vec<RunnerHolder> = Vec::new();
        for (index, key) in keys.iter().enumerate().rev() {
            let ids =
                self.holders.get(&fold(*key)).into_iter().flatten().filter(|id| **id != NO_NAME);
            for id in ids {
                let runner = self.names.name(*id);
                if found.iter().all(|holder| holder.runner != runner) {
                    let doubtful = self.positions.get(id).is_some_and(|position| position.doubtful);
                    let runner = runner.to_string();
                    found.push(RunnerHolder { runner, blocks: index + 1, doubtful });
                }
            }
            if found.len() >= HOLDERS_LIMIT {
                break;
            }
        }
        found.sort_by(|left, right| {
            (right.blocks, left.doubtful, &left.runner).cmp(&(
                left.blocks,
                right.doubtful,
                &right.runner,
            ))
        });
        found
    }

    /// Returns the number of blocks indexed for each runner.
    pub fn blocks_by_runner(&self) -> BTreeMap<RunnerId, u64> {
        let mut blocks = BTreeMap::new();
        for id in self.holders.values().flatten().filter(|id| **id != NO_NAME) {
            *blocks.entry(self.names.name(*id).to_string()).or_default() += 1;
        }
        blocks
    }

    /// Returns the number of indexed blocks.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no block is indexed.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the number of runners with lost events and no snapshot since.
    pub fn doubtful_runners(&self) -> usize {
        self.positions.values().filter(|position| position.doubtful).count()
    }

    /// Returns the memory that the table of blocks takes.
    pub fn size_bytes(&self) -> usize {
        // Each slot of the hash table has one control byte in addition to the entry.
        let slot = size_of::<(FoldedKey, [NameId; HOLDERS_LIMIT])>() + 1;
        // The load factor of the hash table is at most seven eighths.
        self.holders.capacity() * 8 / 7 * slot
    }

    fn insert(&mut self, id: NameId, key: PrefixKey) {
        let ids = self.holders.entry(fold(key)).or_insert([NO_NAME; HOLDERS_LIMIT]);
        if !ids.contains(&id) {
            ids.rotate_right(1);
            ids[0] = id;
        }
    }

    fn remove(&mut self, id: NameId, key: PrefixKey) {
        if let Some(ids) = self.holders.get_mut(&fold(key)) {
            clear(ids, id);
            if ids.iter().all(|id| *id == NO_NAME) {
                self.holders.remove(&fold(key));
            }
        }
    }

    fn drop_entries(&mut self, id: NameId) {
        self.holders.retain(|_, ids| {
            clear(ids, id);
            ids.iter().any(|id| *id != NO_NAME)
        });
    }
}

fn clear(ids: &mut [NameId; HOLDERS_LIMIT], id: NameId) {
    for held in ids.iter_mut().filter(|held| **held == id) {
        *held = NO_NAME;
    }
    // Free slots go to the end, where the next insertion overwrites them.
    ids.sort_by_key(|held| *held == NO_NAME);
}
