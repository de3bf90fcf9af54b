//! Which runners are believed to hold which blocks.

use super::names::{NONE, NameId, Names};
use skylarkpick_interface::{CacheChange, CacheEventBatch, PrefixKey, RunnerId};
use std::collections::{BTreeMap, HashMap};

/// Runners remembered for one block; a further one takes the place of the oldest.
const HOLDERS_LIMIT: usize = 4;
/// One block in so many is remembered, beside the last block of each row.
const KEPT_BLOCK_INTERVAL: PrefixKey = 4;

/// A runner believed to hold the start of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerHolder {
    /// The runner.
    pub runner: RunnerId,
    /// Blocks held from the start of the row.
    pub blocks: usize,
    /// Whether events of the runner were lost since.
    pub doubtful: bool,
}

/// What to ask a runner for next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEventsQuery {
    /// Last event known.
    pub after: u64,
    /// Whether the whole cache is wanted, since events were lost.
    pub snapshot: bool,
}

/// What changed in a runner's cache, as one process tells another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunnerChange {
    /// Start of the runner that the events belong to.
    pub incarnation: u64,
    /// Last event before those covered.
    pub after: u64,
    /// Last event covered.
    pub last_sequence: u64,
    /// Whether `added` is all that the runner holds of the blocks that are remembered.
    pub snapshot: bool,
    /// Blocks held now.
    pub added: Vec<PrefixKey>,
    /// Blocks no longer held.
    pub evicted: Vec<PrefixKey>,
}

impl RunnerChange {
    /// The change that a batch of events makes, without blocks that nobody remembers.
    pub fn from_batch(incarnation: u64, after: u64, batch: &CacheEventBatch) -> RunnerChange {
        let mut change = RunnerChange { incarnation, after, ..RunnerChange::default() };
        if let Some(keys) = &batch.snapshot {
            change.snapshot = true;
            change.last_sequence = batch.snapshot_sequence;
            change.added = keys.iter().copied().filter(|key| is_kept(*key)).collect();
            return change;
        }
        change.last_sequence = after;
        for event in batch.events.iter().filter(|event| event.sequence > after) {
            // A hole in the row shows as a start after what the receiver knows.
            if event.sequence > change.last_sequence + 1 {
                change.after = event.sequence - 1;
            }
            change.last_sequence = event.sequence;
            let key = event.prefix_key;
            change.added.retain(|known| *known != key);
            match event.change {
                CacheChange::Added if is_kept(key) => change.added.push(key),
                CacheChange::Added => {}
                CacheChange::Evicted => change.evicted.push(key),
            }
        }
        change
    }
}

/// Which runners are believed to hold which blocks. A hint: a wrong belief costs time only.
///
/// Of a long row only some blocks are remembered: those whose key is a multiple of a small
/// number, which every process picks alike from the key itself, and the last block of each row
/// that was run. A look-up walks the row from its end to the first block remembered.
#[derive(Debug, Default)]
pub struct RunnerPrefixIndex {
    names: Names,
    feeds: HashMap<NameId, Feed>,
    holders: HashMap<FoldedKey, [NameId; HOLDERS_LIMIT]>,
}

/// How far the events of a runner were followed.
#[derive(Clone, Copy, Debug, Default)]
struct Feed {
    incarnation: u64,
    last_sequence: u64,
    doubtful: bool,
}

/// Half of a key's bits. Two keys that fold alike make a belief wrong, which costs time only.
type FoldedKey = u64;

fn fold(key: PrefixKey) -> FoldedKey {
    (key >> 64) as FoldedKey ^ key as FoldedKey
}

fn is_kept(key: PrefixKey) -> bool {
    key.is_multiple_of(KEPT_BLOCK_INTERVAL)
}

impl RunnerPrefixIndex {
    /// Notes that a runner holds a row of blocks, as its own answer showed.
    pub fn note_held_prefix(&mut self, runner: &str, keys: &[PrefixKey]) {
        let Some(id) = self.names.intern(runner) else { return };
        for key in keys.iter().filter(|key| is_kept(**key)).chain(keys.last()) {
            self.insert(id, *key);
        }
    }

    /// Corrects the belief about a row: the runner holds `blocks` of it and no more.
    pub fn correct(&mut self, runner: &str, keys: &[PrefixKey], blocks: usize) {
        let Some(id) = self.names.intern(runner) else { return };
        for key in keys.iter().skip(blocks) {
            self.remove(id, *key);
        }
        self.note_held_prefix(runner, &keys[..blocks.min(keys.len())]);
    }

    /// Notes the incarnation of a runner; a new one holds nothing that was known before.
    pub fn note_incarnation(&mut self, runner: &str, incarnation: u64) {
        let Some(id) = self.names.intern(runner) else { return };
        let feed = self.feeds.entry(id).or_default();
        if feed.incarnation == incarnation {
            return;
        }
        let known_before = feed.incarnation != 0;
        *feed = Feed { incarnation, ..Feed::default() };
        if known_before {
            self.forget(id);
        }
    }

    /// The start of a runner that is followed; 0 before any is known.
    pub fn incarnation(&self, runner: &str) -> u64 {
        let feed = self.names.find(runner).and_then(|id| self.feeds.get(&id));
        feed.map_or(0, |feed| feed.incarnation)
    }

    /// Takes a change in that another process tells of.
    pub fn apply_change(&mut self, runner: &str, change: &RunnerChange) {
        let Some(id) = self.names.intern(runner) else { return };
        let mut feed = self.feeds.get(&id).copied().unwrap_or_default();
        let is_known = change.last_sequence < feed.last_sequence
            || (change.last_sequence == feed.last_sequence && !change.snapshot);
        if feed.incarnation != change.incarnation || is_known {
            return;
        }
        if change.snapshot {
            self.forget(id);
            feed.doubtful = false;
        } else {
            feed.doubtful |= change.after > feed.last_sequence;
        }
        feed.last_sequence = change.last_sequence;
        change.evicted.iter().for_each(|key| self.remove(id, *key));
        change.added.iter().for_each(|key| self.insert(id, *key));
        self.feeds.insert(id, feed);
    }

    /// What to ask a runner for.
    pub fn next_events(&self, runner: &str) -> CacheEventsQuery {
        let feed = self.names.find(runner).and_then(|id| self.feeds.get(&id));
        feed.map_or(CacheEventsQuery { after: 0, snapshot: true }, |feed| CacheEventsQuery {
            after: feed.last_sequence,
            snapshot: feed.doubtful || feed.last_sequence == 0,
        })
    }

    /// Takes events of a runner's incarnation in, late, repeated, out of order or with holes.
    pub fn apply_events(&mut self, runner: &str, incarnation: u64, batch: &CacheEventBatch) {
        let Some(id) = self.names.intern(runner) else { return };
        let feed = self.feeds.entry(id).or_default();
        if feed.incarnation != incarnation {
            return;
        }
        let mut feed = *feed;
        if let Some(keys) = &batch.snapshot
            && batch.snapshot_sequence >= feed.last_sequence
        {
            self.forget(id);
            for key in keys.iter().filter(|key| is_kept(**key)) {
                self.insert(id, *key);
            }
            feed.last_sequence = batch.snapshot_sequence;
            feed.doubtful = false;
        }
        for event in &batch.events {
            if event.sequence <= feed.last_sequence {
                continue;
            }
            feed.doubtful |= event.sequence > feed.last_sequence + 1;
            feed.last_sequence = event.sequence;
            match event.change {
                CacheChange::Added if is_kept(event.prefix_key) => {
                    self.insert(id, event.prefix_key);
                }
                CacheChange::Added => {}
                CacheChange::Evicted => self.remove(id, event.prefix_key),
            }
        }
        self.feeds.insert(id, feed);
    }

    /// Runners that hold the longest known starts of a row, longest first; of equals, those
    /// without doubt first.
    pub fn holders(&self, keys: &[PrefixKey]) -> Vec<RunnerHolder> {
        let mut found: Vec<RunnerHolder> = Vec::new();
        for (index, key) in keys.iter().enumerate().rev() {
            let ids = self.holders.get(&fold(*key)).into_iter().flatten().filter(|id| **id != NONE);
            for id in ids {
                let runner = self.names.name(*id);
                if found.iter().all(|holder| holder.runner != runner) {
                    let doubtful = self.feeds.get(id).is_some_and(|feed| feed.doubtful);
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

    /// Blocks remembered for each runner.
    pub fn blocks_by_runner(&self) -> BTreeMap<RunnerId, u64> {
        let mut blocks = BTreeMap::new();
        for id in self.holders.values().flatten().filter(|id| **id != NONE) {
            *blocks.entry(self.names.name(*id).to_string()).or_default() += 1;
        }
        blocks
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Runners whose events were lost and whose cache is not known whole.
    pub fn doubtful_runners(&self) -> usize {
        self.feeds.values().filter(|feed| feed.doubtful).count()
    }

    /// Bytes that the table of blocks takes.
    pub fn size_bytes(&self) -> usize {
        // A slot of the table has one byte of its own beside the entry.
        let slot = size_of::<(FoldedKey, [NameId; HOLDERS_LIMIT])>() + 1;
        // The table is filled to seven eighths at most.
        self.holders.capacity() * 8 / 7 * slot
    }

    fn insert(&mut self, id: NameId, key: PrefixKey) {
        let ids = self.holders.entry(fold(key)).or_insert([NONE; HOLDERS_LIMIT]);
        if !ids.contains(&id) {
            ids.rotate_right(1);
            ids[0] = id;
        }
    }

    fn remove(&mut self, id: NameId, key: PrefixKey) {
        if let Some(ids) = self.holders.get_mut(&fold(key)) {
            clear(ids, id);
            if ids.iter().all(|id| *id == NONE) {
                self.holders.remove(&fold(key));
            }
        }
    }

    fn forget(&mut self, id: NameId) {
        self.holders.retain(|_, ids| {
            clear(ids, id);
            ids.iter().any(|id| *id != NONE)
        });
    }
}

fn clear(ids: &mut [NameId; HOLDERS_LIMIT], id: NameId) {
    for held in ids.iter_mut().filter(|held| **held == id) {
        *held = NONE;
    }
    // Free places go to the end, where the next insertion drops them.
    ids.sort_by_key(|held| *held == NONE);
}
