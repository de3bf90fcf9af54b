//! Tests of the prefix indexes, partly against simple models of runners and stores.

use super::{CacheEventsQuery, RunnerChange, RunnerPrefixIndex, StorePrefixIndex};
use crate::saved::StatusUpdate;
use proptest::{prelude::*, test_runner::RngSeed};
use skylarkpick_interface::{
    CacheChange::{Added, Evicted},
    CacheEvent, CacheEventBatch, Manifest,
    ManifestState::{self, Freed, Retiring, Sealed, Writing},
    PrefixKey, SavedPrefix, StoreTier,
};
use std::collections::{BTreeMap, BTreeSet};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    }
}

/// Model of a runner's cache, with all events and batches that it has produced.
#[derive(Default)]
struct ModelRunner {
    incarnation: u64,
    cache: BTreeSet<PrefixKey>,
    events: Vec<CacheEvent>,
    batches: Vec<(u64, CacheEventBatch)>,
}

impl ModelRunner {
    fn change(&mut self, prefix_key: PrefixKey, added: bool) {
        let changed =
            if added { self.cache.insert(prefix_key) } else { self.cache.remove(&prefix_key) };
        if changed {
            let sequence = self.events.len() as u64 + 1;
            let change = if added { Added } else { Evicted };
            self.events.push(CacheEvent { sequence, prefix_key, change });
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.cache.clear();
        self.events.clear();
    }

    fn batch(&self, query: CacheEventsQuery) -> CacheEventBatch {
        CacheEventBatch {
            events: self
                .events
                .iter()
                .filter(|event| event.sequence > query.after)
                .cloned()
                .collect(),
            snapshot: query.snapshot.then(|| self.cache.iter().copied().collect()),
            snapshot_sequence: self.events.len() as u64,
        }
    }
}

fn is_holder(index: &RunnerPrefixIndex, runner: &str, key: PrefixKey) -> bool {
    index.holders(&[key]).iter().any(|holder| holder.runner == runner)
}

/// Number of keys in the models. Only some of them are indexed.
const KEYS: PrefixKey = 24;

proptest! {
    #![proptest_config(config())]

    /// After lost, repeated and late batches: once all events of a runner were applied, the index
    /// has exactly those indexed blocks that the runner holds.
    #[test]
    fn the_runner_index_converges_after_lost_and_reordered_events(
        ops in prop::collection::vec((0_usize..3, 0_u8..10, 0..KEYS), 0..120)
    ) {
        let mut index = RunnerPrefixIndex::default();
        let mut runners: Vec<ModelRunner> = (0..3)
            .map(|_| ModelRunner { incarnation: 1, ..ModelRunner::default() })
            .collect();
        let names = ["a", "b", "c"];
        for (position, kind, key) in ops {
            let (runner, name) = (&mut runners[position], names[position]);
            match kind {
                0..=3 => runner.change(key, true),
                4 | 5 => runner.change(key, false),
                6 => {
                    let mut batch = runner.batch(index.next_events(name));
                    index.note_incarnation(name, runner.incarnation);
                    index.apply_events(name, runner.incarnation, &batch);
                    batch.events.reverse();
                    runner.batches.push((runner.incarnation, batch));
                }
                7 => {
                    // One event is lost in transit.
                    let mut batch = runner.batch(index.next_events(name));
                    if !batch.events.is_empty() {
                        batch.events.remove(key as usize % batch.events.len());
                    }
                    batch.snapshot = None;
                    index.note_incarnation(name, runner.incarnation);
                    index.apply_events(name, runner.incarnation, &batch);
                }
                8 => {
                    // An old batch arrives again, out of order.
                    let old = runner.batches.get(key as usize % runner.batches.len().max(1)).cloned();
                    if let Some((incarnation, batch)) = old {
                        index.apply_events(name, incarnation, &batch);
                    }
                }
                _ => runner.restart(),
            }
        }
        for (runner, name) in runners.iter().zip(names) {
            index.note_incarnation(name, runner.incarnation);
            // Two queries: the first may detect a gap, and the second then gets a snapshot.
            for _ in 0..2 {
                let batch = runner.batch(index.next_events(name));
                index.apply_events(name, runner.incarnation, &batch);
            }
            for key in (0..KEYS).filter(|key| key % 4 == 0) {
                let is_held = runner.cache.contains(&key);
                prop_assert_eq!(is_holder(&index, name, key), is_held, "{} {}", name, key);
            }
        }
    }

    /// With manifests that arrive in any order and repeatedly, a copy is returned if and only if
    /// its newest manifest is sealed.
    #[test]
    fn the_store_index_follows_the_newest_manifest(
        manifests in prop::collection::vec((0_usize..2, 0..4_u128, 1_u64..5, 0_usize..4), 0..60)
    ) {
        let mut index = StorePrefixIndex::default();
        let stores = ["s", "t"];
        let states = [Writing, Sealed, Retiring, Freed];
        let mut newest: BTreeMap<(usize, PrefixKey), (u64, usize)> = BTreeMap::new();
        stores.iter().for_each(|store| { index.note_incarnation(store, 1); });
        for (store, key, generation, step) in manifests {
            let known = newest.entry((store, key)).or_insert((0, 0));
            let is_newer = (generation, step) > *known;
            *known = (*known).max((generation, step));
            let manifest = manifest(key, generation, states[step]);
            let update = index.apply_manifest(stores[store], 1, &manifest);
            prop_assert_eq!(update == StatusUpdate::Applied, is_newer);
        }
        for ((store, key), (generation, step)) in newest {
            let copies = index.copies(&[key]);
            let found = copies.iter().find(|copy| copy.store == stores[store]);
            let expected = (step == 1).then_some(generation);
            prop_assert_eq!(found.map(|copy| copy.generation), expected);
        }
    }
}

fn manifest(prefix_key: PrefixKey, generation: u64, state: ManifestState) -> Manifest {
    let prefix = SavedPrefix {
        prefix_key,
        prefix_keys: vec![prefix_key],
        account: "cubesat".to_string(),
        weight_version: 1,
        tokens: 256,
        size_bytes: 1_000,
        tier: StoreTier::Memory,
    };
    Manifest { prefix, generation, digest: "d".to_string(), state }
}

fn event(sequence: u64, prefix_key: PrefixKey) -> CacheEvent {
    CacheEvent { sequence, prefix_key, change: Added }
}

fn batch(events: Vec<CacheEvent>) -> CacheEventBatch {
    CacheEventBatch { events, ..CacheEventBatch::default() }
}

#[test]
fn a_gap_marks_a_runner_as_doubtful_until_a_snapshot() {
    let mut index = RunnerPrefixIndex::default();
    index.note_incarnation("a", 1);
    index.apply_events("a", 1, &batch(vec![event(1, 4)]));
    assert_eq!(index.next_events("a"), CacheEventsQuery { after: 1, snapshot: false });
    index.apply_events("a", 1, &batch(vec![event(3, 8)]));
    assert_eq!(index.next_events("a"), CacheEventsQuery { after: 3, snapshot: true });
    assert!(index.holders(&[4, 8])[0].doubtful);
    assert_eq!(index.doubtful_runners(), 1);
    let late = CacheEventBatch { snapshot: Some(vec![12]), snapshot_sequence: 2, ..batch(vec![]) };
    index.apply_events("a", 1, &late);
    assert!(index.next_events("a").snapshot, "a snapshot from before the gap doesn't resolve it");
    let complete =
        CacheEventBatch { snapshot: Some(vec![8]), snapshot_sequence: 3, ..batch(vec![]) };
    index.apply_events("a", 1, &complete);
    assert_eq!(index.next_events("a"), CacheEventsQuery { after: 3, snapshot: false });
    assert!(!is_holder(&index, "a", 4) && is_holder(&index, "a", 8));
}

#[test]
fn a_new_incarnation_drops_the_entries_of_the_previous_one() {
    let mut index = RunnerPrefixIndex::default();
    index.note_incarnation("a", 1);
    index.note_held_prefix("a", &[1, 2, 3]);
    index.note_held_prefix("b", &[1, 2, 3]);
    index.note_incarnation("a", 2);
    assert!(!is_holder(&index, "a", 3) && is_holder(&index, "b", 3));
    index.apply_events("a", 1, &batch(vec![event(1, 4)]));
    assert!(!is_holder(&index, "a", 4), "an event of the previous incarnation was applied");

    let mut stores = StorePrefixIndex::default();
    assert!(stores.note_incarnation("s", 1));
    assert!(!stores.note_incarnation("s", 1));
    stores.apply_manifest("s", 1, &manifest(7, 1, Sealed));
    assert_eq!(stores.account_bytes("cubesat"), 1_000);
    assert!(stores.note_incarnation("s", 2));
    assert!(stores.copies(&[7]).is_empty());
    assert_eq!(stores.apply_manifest("s", 1, &manifest(7, 1, Sealed)), StatusUpdate::Stale);
    assert_eq!(stores.apply_manifest("s", 2, &manifest(7, 1, Sealed)), StatusUpdate::Applied);
    stores.forget_copy("s", 7, 0);
    assert_eq!(stores.len(), 1, "a copy was removed because an older save can't be imported");
    stores.forget_copy("s", 7, 1);
    assert!(stores.is_empty() && stores.account_bytes("cubesat") == 0);
}

#[test]
fn finds_the_longest_prefix_by_its_indexed_blocks() {
    struct Case {
        name: &'static str,
        held: Vec<PrefixKey>,
        query: Vec<PrefixKey>,
        blocks: Option<usize>,
    }
    let cases = [
        Case {
            name: "the same prompt",
            held: vec![1, 4, 2, 3],
            query: vec![1, 4, 2, 3],
            blocks: Some(4),
        },
        Case {
            name: "a longer prompt",
            held: vec![1, 4, 3],
            query: vec![1, 4, 3, 5, 6],
            blocks: Some(3),
        },
        Case {
            name: "a prompt that diverges after an indexed block",
            held: vec![1, 4, 3],
            query: vec![1, 4, 5],
            blocks: Some(2),
        },
        Case {
            name: "a prompt that diverges before any indexed block",
            held: vec![1, 2, 3],
            query: vec![1, 2, 5],
            blocks: None,
        },
        Case { name: "nothing in common", held: vec![1, 4], query: vec![5, 8], blocks: None },
    ];
    for case in cases {
        let mut index = RunnerPrefixIndex::default();
        index.note_held_prefix("a", &case.held);
        let found = index.holders(&case.query).first().map(|holder| holder.blocks);
        assert_eq!(found, case.blocks, "{}", case.name);
    }
}

#[test]
fn a_correction_removes_blocks_that_are_not_held() {
    let mut index = RunnerPrefixIndex::default();
    let keys = [4, 8, 12, 16];
    index.note_held_prefix("a", &keys);
    index.correct("a", &keys, 2);
    assert_eq!(index.holders(&keys)[0].blocks, 2);
    index.correct("a", &keys, 0);
    assert!(index.holders(&keys).is_empty() && index.is_empty());
}

#[test]
fn indexes_at_most_four_runners_for_a_block() {
    let mut index = RunnerPrefixIndex::default();
    for runner in ["a", "b", "c", "d", "e"] {
        index.note_held_prefix(runner, &[4]);
    }
    let holders: Vec<String> =
        index.holders(&[4]).into_iter().map(|holder| holder.runner).collect();
    assert_eq!(holders, ["b", "c", "d", "e"]);
}

/// At the planned size, the index must leave most of the 64 MB of a process to the rest.
#[test]
fn the_index_of_the_planned_prefixes_fits_into_memory() {
    // 1.3 million prefixes in 5 data centres with 72 processes each, and two holders per prefix. A
    // prefix of 32,768 tokens has 128 blocks, of which a quarter and the last one are indexed.
    const ENTRIES: usize = 1_300_000 / 5 / 72 * 2 * 33;
    const BUDGET_BYTES: usize = 24 << 20;
    let mut index = RunnerPrefixIndex::default();
    for number in 0..ENTRIES as PrefixKey {
        index.note_held_prefix("runner-1", &[number * 4]);
    }
    assert_eq!(index.len(), ENTRIES);
    println!("{} bytes per entry", index.size_bytes() / ENTRIES);
    assert!(index.size_bytes() <= BUDGET_BYTES, "{} bytes", index.size_bytes());
}

#[test]
fn a_missed_change_marks_a_runner_as_doubtful_until_a_snapshot() {
    let evicted = CacheEvent { change: Evicted, ..event(3, 4) };
    let batches = [
        batch(vec![event(1, 4), event(2, 5)]),
        batch(vec![evicted.clone(), event(4, 8)]),
        batch(vec![event(6, 12)]),
    ];
    let changes = [
        RunnerChange::from_batch(1, 0, &batches[0]),
        RunnerChange::from_batch(1, 2, &batches[1]),
        RunnerChange::from_batch(1, 4, &batches[2]),
    ];
    let sequences = changes.clone().map(|change| (change.after, change.last_sequence));
    assert_eq!(sequences, [(0, 2), (2, 4), (5, 6)]);
    struct Case {
        name: &'static str,
        received: Vec<usize>,
        doubtful: usize,
        held: Vec<PrefixKey>,
    }
    let cases = [
        Case { name: "all", received: vec![0, 1], doubtful: 0, held: vec![8] },
        Case { name: "repeated and late", received: vec![0, 1, 0, 1], doubtful: 0, held: vec![8] },
        Case { name: "one missed", received: vec![0, 2], doubtful: 1, held: vec![4, 12] },
        Case {
            name: "a gap in the events of the runner",
            received: vec![0, 1, 2],
            doubtful: 1,
            held: vec![8, 12],
        },
    ];
    for case in cases {
        let mut index = RunnerPrefixIndex::default();
        index.note_incarnation("a", 1);
        case.received.iter().for_each(|number| index.apply_change("a", &changes[*number]));
        assert_eq!(index.doubtful_runners(), case.doubtful, "{}", case.name);
        let held: Vec<_> = (0..KEYS).filter(|key| is_holder(&index, "a", *key)).collect();
        assert_eq!(held, case.held, "{}", case.name);
        let complete =
            CacheEventBatch { snapshot: Some(vec![5, 16]), snapshot_sequence: 7, ..batch(vec![]) };
        index.apply_change("a", &RunnerChange::from_batch(1, 6, &complete));
        assert!(is_holder(&index, "a", 16) && !is_holder(&index, "a", 8), "{}", case.name);
        assert_eq!(index.doubtful_runners(), 0, "{}", case.name);
        index.apply_change("a", &RunnerChange { incarnation: 2, ..changes[1].clone() });
        assert!(!is_holder(&index, "a", 8), "{}: another incarnation", case.name);
    }
}
