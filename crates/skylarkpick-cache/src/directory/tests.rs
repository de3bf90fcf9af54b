//! The directory against plain models of what it may believe.

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

/// A runner's cache as it is, with every event that it ever gave.
#[derive(Default)]
struct PlainRunner {
    incarnation: u64,
    cache: BTreeSet<PrefixKey>,
    events: Vec<CacheEvent>,
    batches: Vec<(u64, CacheEventBatch)>,
}

impl PlainRunner {
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

    fn batch(&self, asked: CacheEventsQuery) -> CacheEventBatch {
        CacheEventBatch {
            events: self
                .events
                .iter()
                .filter(|event| event.sequence > asked.after)
                .cloned()
                .collect(),
            snapshot: asked.snapshot.then(|| self.cache.iter().copied().collect()),
            snapshot_sequence: self.events.len() as u64,
        }
    }
}

fn believed(beliefs: &RunnerPrefixIndex, runner: &str, key: PrefixKey) -> bool {
    beliefs.holders(&[key]).iter().any(|holder| holder.runner == runner)
}

/// Keys of the models; some are remembered by the directory and some are not.
const KEYS: PrefixKey = 24;

proptest! {
    #![proptest_config(config())]

    /// Whatever was lost, repeated or late before: once a runner's events are followed to their
    /// end, what is believed of it is what it holds, for every block that is remembered at all.
    #[test]
    fn beliefs_meet_the_truth(ops in prop::collection::vec((0_usize..3, 0_u8..10, 0..KEYS), 0..120)) {
        let mut beliefs = RunnerPrefixIndex::default();
        let mut runners: Vec<PlainRunner> = (0..3)
            .map(|_| PlainRunner { incarnation: 1, ..PlainRunner::default() })
            .collect();
        let names = ["a", "b", "c"];
        for (index, kind, key) in ops {
            let (runner, name) = (&mut runners[index], names[index]);
            match kind {
                0..=3 => runner.change(key, true),
                4 | 5 => runner.change(key, false),
                6 => {
                    let mut batch = runner.batch(beliefs.next_events(name));
                    beliefs.note_incarnation(name, runner.incarnation);
                    beliefs.apply_events(name, runner.incarnation, &batch);
                    batch.events.reverse();
                    runner.batches.push((runner.incarnation, batch));
                }
                7 => {
                    // One event is lost on the way.
                    let mut batch = runner.batch(beliefs.next_events(name));
                    if !batch.events.is_empty() {
                        batch.events.remove(key as usize % batch.events.len());
                    }
                    batch.snapshot = None;
                    beliefs.note_incarnation(name, runner.incarnation);
                    beliefs.apply_events(name, runner.incarnation, &batch);
                }
                8 => {
                    // An old batch comes again, out of order.
                    let old = runner.batches.get(key as usize % runner.batches.len().max(1)).cloned();
                    if let Some((incarnation, batch)) = old {
                        beliefs.apply_events(name, incarnation, &batch);
                    }
                }
                _ => runner.restart(),
            }
        }
        for (runner, name) in runners.iter().zip(names) {
            beliefs.note_incarnation(name, runner.incarnation);
            // Two reads: the first may uncover a gap, the second brings the snapshot.
            for _ in 0..2 {
                let batch = runner.batch(beliefs.next_events(name));
                beliefs.apply_events(name, runner.incarnation, &batch);
            }
            for key in (0..KEYS).filter(|key| key % 4 == 0) {
                prop_assert_eq!(believed(&beliefs, name, key), runner.cache.contains(&key), "{} {}", name, key);
            }
        }
    }

    /// News of saves in any order, repeated: a copy is offered if and only if the newest that
    /// was ever heard of it says sealed.
    #[test]
    fn copies_follow_the_newest_news(
        news in prop::collection::vec((0_usize..2, 0..4_u128, 1_u64..5, 0_usize..4), 0..60)
    ) {
        let mut beliefs = StorePrefixIndex::default();
        let stores = ["s", "t"];
        let states = [Writing, Sealed, Retiring, Freed];
        let mut newest: BTreeMap<(usize, PrefixKey), (u64, usize)> = BTreeMap::new();
        stores.iter().for_each(|store| { beliefs.note_incarnation(store, 1); });
        for (store, key, generation, step) in news {
            let known = newest.entry((store, key)).or_insert((0, 0));
            let is_newer = (generation, step) > *known;
            *known = (*known).max((generation, step));
            let heard = beliefs.apply_manifest(stores[store], 1, &manifest(key, generation, states[step]));
            prop_assert_eq!(heard == StatusUpdate::Applied, is_newer);
        }
        for ((store, key), (generation, step)) in newest {
            let copies = beliefs.copies(&[key]);
            let offered = copies.iter().find(|copy| copy.store == stores[store]);
            let expected = (step == 1).then_some(generation);
            prop_assert_eq!(offered.map(|copy| copy.generation), expected);
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
fn a_gap_marks_a_runner_until_a_snapshot() {
    let mut beliefs = RunnerPrefixIndex::default();
    beliefs.note_incarnation("a", 1);
    beliefs.apply_events("a", 1, &batch(vec![event(1, 4)]));
    assert_eq!(beliefs.next_events("a"), CacheEventsQuery { after: 1, snapshot: false });
    beliefs.apply_events("a", 1, &batch(vec![event(3, 8)]));
    assert_eq!(beliefs.next_events("a"), CacheEventsQuery { after: 3, snapshot: true });
    assert!(beliefs.holders(&[4, 8])[0].doubtful);
    assert_eq!(beliefs.doubtful_runners(), 1);
    let late = CacheEventBatch { snapshot: Some(vec![12]), snapshot_sequence: 2, ..batch(vec![]) };
    beliefs.apply_events("a", 1, &late);
    assert!(beliefs.next_events("a").snapshot, "a snapshot of before the gap mends nothing");
    let whole = CacheEventBatch { snapshot: Some(vec![8]), snapshot_sequence: 3, ..batch(vec![]) };
    beliefs.apply_events("a", 1, &whole);
    assert_eq!(beliefs.next_events("a"), CacheEventsQuery { after: 3, snapshot: false });
    assert!(!believed(&beliefs, "a", 4) && believed(&beliefs, "a", 8));
}

#[test]
fn a_restart_drops_what_was_believed() {
    let mut beliefs = RunnerPrefixIndex::default();
    beliefs.note_incarnation("a", 1);
    beliefs.note_held_prefix("a", &[1, 2, 3]);
    beliefs.note_held_prefix("b", &[1, 2, 3]);
    beliefs.note_incarnation("a", 2);
    assert!(!believed(&beliefs, "a", 3) && believed(&beliefs, "b", 3));
    beliefs.apply_events("a", 1, &batch(vec![event(1, 4)]));
    assert!(!believed(&beliefs, "a", 4), "an event of the start before");

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
    assert_eq!(stores.len(), 1, "a refusal of an older save says nothing of this one");
    stores.forget_copy("s", 7, 1);
    assert!(stores.is_empty() && stores.account_bytes("cubesat") == 0);
}

#[test]
fn a_row_is_found_by_the_blocks_that_are_remembered() {
    struct Case {
        name: &'static str,
        held: Vec<PrefixKey>,
        asked: Vec<PrefixKey>,
        blocks: Option<usize>,
    }
    let cases = [
        Case {
            name: "the same row",
            held: vec![1, 4, 2, 3],
            asked: vec![1, 4, 2, 3],
            blocks: Some(4),
        },
        Case {
            name: "a longer one",
            held: vec![1, 4, 3],
            asked: vec![1, 4, 3, 5, 6],
            blocks: Some(3),
        },
        Case { name: "one that parts", held: vec![1, 4, 3], asked: vec![1, 4, 5], blocks: Some(2) },
        Case { name: "too short a start", held: vec![1, 2, 3], asked: vec![1, 2, 5], blocks: None },
        Case { name: "nothing in common", held: vec![1, 4], asked: vec![5, 8], blocks: None },
    ];
    for case in cases {
        let mut beliefs = RunnerPrefixIndex::default();
        beliefs.note_held_prefix("a", &case.held);
        let found = beliefs.holders(&case.asked).first().map(|holder| holder.blocks);
        assert_eq!(found, case.blocks, "{}", case.name);
    }
}

#[test]
fn an_answer_corrects_the_belief() {
    let mut beliefs = RunnerPrefixIndex::default();
    let keys = [4, 8, 12, 16];
    beliefs.note_held_prefix("a", &keys);
    beliefs.correct("a", &keys, 2);
    assert_eq!(beliefs.holders(&keys)[0].blocks, 2);
    beliefs.correct("a", &keys, 0);
    assert!(beliefs.holders(&keys).is_empty() && beliefs.is_empty());
}

#[test]
fn at_most_four_runners_are_remembered_for_a_block() {
    let mut beliefs = RunnerPrefixIndex::default();
    for runner in ["a", "b", "c", "d", "e"] {
        beliefs.note_held_prefix(runner, &[4]);
    }
    let holders: Vec<String> =
        beliefs.holders(&[4]).into_iter().map(|holder| holder.runner).collect();
    assert_eq!(holders, ["b", "c", "d", "e"]);
}

/// The share of one process at the planned size has to leave most of its 64 MB to the rest.
#[test]
fn a_share_of_the_planned_prefixes_fits() {
    // 1.3 million prefixes in 5 data centres of 72 processes, two holders each; a prefix of
    // 32,768 tokens has 128 blocks, of which a quarter and the last are remembered.
    const ENTRIES: usize = 1_300_000 / 5 / 72 * 2 * 33;
    const BUDGET_BYTES: usize = 24 << 20;
    let mut beliefs = RunnerPrefixIndex::default();
    for index in 0..ENTRIES as PrefixKey {
        beliefs.note_held_prefix("runner-1", &[index * 4]);
    }
    assert_eq!(beliefs.len(), ENTRIES);
    println!("{} bytes an entry", beliefs.size_bytes() / ENTRIES);
    assert!(beliefs.size_bytes() <= BUDGET_BYTES, "{} bytes", beliefs.size_bytes());
}

#[test]
fn a_peer_that_missed_a_change_doubts_until_a_snapshot() {
    let evicted = CacheEvent { change: Evicted, ..event(3, 4) };
    let rows = [
        batch(vec![event(1, 4), event(2, 5)]),
        batch(vec![evicted.clone(), event(4, 8)]),
        batch(vec![event(6, 12)]),
    ];
    let changes = [
        RunnerChange::from_batch(1, 0, &rows[0]),
        RunnerChange::from_batch(1, 2, &rows[1]),
        RunnerChange::from_batch(1, 4, &rows[2]),
    ];
    let sequences = changes.clone().map(|change| (change.after, change.last_sequence));
    assert_eq!(sequences, [(0, 2), (2, 4), (5, 6)]);
    struct Case {
        name: &'static str,
        told: Vec<usize>,
        doubtful: usize,
        held: Vec<PrefixKey>,
    }
    let cases = [
        Case { name: "all", told: vec![0, 1], doubtful: 0, held: vec![8] },
        Case { name: "repeated and late", told: vec![0, 1, 0, 1], doubtful: 0, held: vec![8] },
        Case { name: "one missed", told: vec![0, 2], doubtful: 1, held: vec![4, 12] },
        Case { name: "a hole at the runner", told: vec![0, 1, 2], doubtful: 1, held: vec![8, 12] },
    ];
    for case in cases {
        let mut beliefs = RunnerPrefixIndex::default();
        beliefs.note_incarnation("a", 1);
        case.told.iter().for_each(|index| beliefs.apply_change("a", &changes[*index]));
        assert_eq!(beliefs.doubtful_runners(), case.doubtful, "{}", case.name);
        let held: Vec<_> = (0..KEYS).filter(|key| believed(&beliefs, "a", *key)).collect();
        assert_eq!(held, case.held, "{}", case.name);
        let whole =
            CacheEventBatch { snapshot: Some(vec![5, 16]), snapshot_sequence: 7, ..batch(vec![]) };
        beliefs.apply_change("a", &RunnerChange::from_batch(1, 6, &whole));
        assert!(believed(&beliefs, "a", 16) && !believed(&beliefs, "a", 8), "{}", case.name);
        assert_eq!(beliefs.doubtful_runners(), 0, "{}", case.name);
        beliefs.apply_change("a", &RunnerChange { incarnation: 2, ..changes[1].clone() });
        assert!(!believed(&beliefs, "a", 8), "{}: another start of the runner", case.name);
    }
}
