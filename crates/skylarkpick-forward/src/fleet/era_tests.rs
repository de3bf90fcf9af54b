//! Tests of records over returns of the platform's store from older copies.

use super::{
    records::FleetRecords,
    tests::{SECOND, draining, is_draining, records, target, target_ids},
    topic_watch::{FirstSource, FleetWatcher, watch_topic},
    weight_tests::{MODEL, first_update, named, newer_age},
};
use crate::{
    node_state::NodeState,
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{SlowNetwork, TestRecords, TestSource, entry_records},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    FleetRecord, FleetTopic, FleetUpdate, NamedRecord, RegisteredTarget, StoreRevision, WatchError,
    WeightVersion,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Time after which a target that is still missing is removed, and a bit more.
pub(super) const GRACE: Duration = Duration::from_millis(2_300);

pub(super) const fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

pub(super) fn update(records: Vec<NamedRecord>, revision: StoreRevision) -> FleetUpdate {
    FleetUpdate { records, revision }
}

/// Returns the same update at another revision.
pub(super) fn moved(update: FleetUpdate, revision: StoreRevision) -> FleetUpdate {
    FleetUpdate { revision, ..update }
}

fn document(version: u64) -> NamedRecord {
    let mut named = first_update(FleetTopic::Serving).records.remove(0);
    if let Some(FleetRecord::Serving(document)) = &mut named.record {
        document.version = version;
    }
    named
}

pub(super) fn changed_target(id: &str, change: impl Fn(&mut RegisteredTarget)) -> NamedRecord {
    let mut named = target(id);
    if let Some(FleetRecord::Target(registration)) = &mut named.record {
        change(registration);
    }
    named
}

pub(super) fn removed(id: &str) -> NamedRecord {
    NamedRecord { name: id.to_string(), record: None }
}

fn serving_version(node_state: &NodeState) -> Option<u64> {
    node_state.serving().map(|serving| serving.version())
}

fn newest_weights(node_state: &NodeState) -> Option<WeightVersion> {
    node_state.lock().placement.weights.newest(MODEL)
}

fn names(records: &PeerRecords) -> Vec<&str> {
    records.update.records.iter().map(|it| it.name.as_str()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_list_of_a_later_era_counts_although_its_number_is_lower() {
    struct Case {
        name: &'static str,
        list: FleetUpdate,
        expected: &'static [&'static str],
    }
    let list = |revision| update(vec![target("i-2")], revision);
    let cases = [
        Case { name: "the same era", list: list(revision(1, 19)), expected: &["i-1"] },
        Case { name: "a later era", list: list(revision(2, 3)), expected: &["i-2"] },
        Case { name: "an earlier era", list: list(revision(0, 99)), expected: &["i-1"] },
    ];
    for case in cases {
        let (node_state, records) = records();
        let known = update(vec![target("i-1")], revision(1, 20));
        assert!(records.replace(FleetTopic::Targets, &known));
        records.replace(FleetTopic::Targets, &case.list);
        tokio::time::sleep(GRACE).await;
        records.remove_expired_targets();
        assert_eq!(target_ids(&node_state), case.expected, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn changes_continue_only_a_list_of_their_own_era() {
    for (name, at, is_applied) in [
        ("an earlier era", revision(1, 99), false),
        ("the same era", revision(2, 21), true),
        ("a later era", revision(3, 21), false),
    ] {
        let (node_state, records) = records();
        records.replace(FleetTopic::Targets, &update(vec![target("i-1")], revision(2, 20)));
        records.update(FleetTopic::Targets, &update(vec![target("i-2")], at));
        assert_eq!(target_ids(&node_state).len() == 2, is_applied, "{name}");
        let known = if is_applied { at } else { revision(2, 20) };
        assert_eq!(records.revision(FleetTopic::Targets), known, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_of_an_earlier_era_receives_all_records() {
    let (_, relay) = records();
    let both = vec![target("i-1"), target("i-2")];
    relay.replace(FleetTopic::Targets, &update(both.clone(), revision(1, 20)));
    let (node_state, follower) = records();
    let received = relay.records_since(FleetTopic::Targets, revision(0, 0)).unwrap();
    assert!(follower.apply_peer_records(FleetTopic::Targets, &received));
    // The list has the same records, so none of them changes.
    relay.replace(FleetTopic::Targets, &update(both, revision(2, 3)));
    let received = relay.records_since(FleetTopic::Targets, revision(1, 20)).unwrap();
    assert_eq!((received.is_complete, names(&received)), (true, vec!["i-1", "i-2"]));
    assert!(follower.apply_peer_records(FleetTopic::Targets, &received));
    assert_eq!(follower.revision(FleetTopic::Targets), revision(2, 3));
    tokio::time::sleep(GRACE).await;
    follower.remove_expired_targets();
    assert_eq!(target_ids(&node_state), ["i-1", "i-2"]);
    let received = relay.records_since(FleetTopic::Targets, revision(2, 3)).unwrap();
    assert_eq!((received.is_complete, received.update.records.len()), (false, 0));
}

#[tokio::test(start_paused = true)]
async fn records_of_an_earlier_era_do_not_replace_later_ones() {
    let (_, relay) = records();
    relay.replace(FleetTopic::Targets, &update(vec![target("i-1")], revision(1, 90)));
    let (node_state, follower) = records();
    follower.replace(FleetTopic::Targets, &update(vec![target("i-2")], revision(2, 3)));
    let received = relay.records_since(FleetTopic::Targets, revision(2, 3)).unwrap();
    assert!(!follower.apply_peer_records(FleetTopic::Targets, &received));
    assert_eq!(target_ids(&node_state), ["i-2"]);
}

#[tokio::test(start_paused = true)]
async fn a_version_never_goes_back_and_is_passed_on_until_it_is_written_again() {
    struct Case {
        name: &'static str,
        topic: FleetTopic,
        known: FleetUpdate,
        /// The list of the copy.
        copy: FleetUpdate,
    }
    let serving = |version, at| update(vec![document(version)], at);
    let weights = |version, at| moved(named(version, &[], 0), at);
    let cases = [
        Case {
            name: "an older document",
            topic: FleetTopic::Serving,
            known: serving(5, revision(1, 20)),
            copy: serving(3, revision(2, 4)),
        },
        Case {
            name: "no document",
            topic: FleetTopic::Serving,
            known: serving(5, revision(1, 20)),
            copy: update(vec![], revision(2, 4)),
        },
        Case {
            name: "older weights",
            topic: FleetTopic::Weights,
            known: weights(5, revision(1, 20)),
            copy: weights(3, revision(2, 4)),
        },
        Case {
            name: "no weights",
            topic: FleetTopic::Weights,
            known: weights(5, revision(1, 20)),
            copy: update(vec![], revision(2, 4)),
        },
    ];
    let version_in_force = |node_state: &NodeState, topic| match topic {
        FleetTopic::Serving => serving_version(node_state),
        _ => newest_weights(node_state),
    };
    for Case { name, topic, known, copy } in cases {
        let (node_state, records) = records();
        records.replace(topic, &known);
        records.replace(topic, &copy);
        assert_eq!(version_in_force(&node_state, topic), Some(5), "{name}");
        // The list is read again before the operator has written anything.
        records.replace(topic, &moved(copy.clone(), revision(2, 5)));
        assert_eq!(version_in_force(&node_state, topic), Some(5), "{name}, read twice");
        let (follower_state, follower) = self::records();
        let received = records.records_since(topic, revision(0, 0)).unwrap();
        follower.apply_peer_records(topic, &received);
        assert_eq!(version_in_force(&follower_state, topic), Some(5), "{name}, of a follower");
        // A process that starts now reads only the copy, and asks.
        let (starter_state, starter) = self::records();
        starter.replace(topic, &moved(copy.clone(), revision(2, 6)));
        starter.apply_retained(&records.retained(starter.serving_version()));
        assert_eq!(version_in_force(&starter_state, topic), Some(5), "{name}, of a later start");
        let received = starter.records_since(topic, revision(0, 0)).unwrap();
        assert_eq!(received.update.records.len(), 1, "{name}, passed on by a later start");
        starter.replace(topic, &moved(copy, revision(3, 1)));
        assert_eq!(version_in_force(&starter_state, topic), Some(5), "{name}, a second return");
    }
}

#[tokio::test(start_paused = true)]
async fn records_that_others_retain_replace_nothing_newer_and_nothing_unread() {
    let (node_state, records) = records();
    records.apply_retained(&[document(7)]);
    assert_eq!(serving_version(&node_state), None, "the topic has not been read");
    records.replace(FleetTopic::Serving, &update(vec![document(8)], revision(2, 4)));
    records.apply_retained(&[document(7), removed("i-1")]);
    assert_eq!(serving_version(&node_state), Some(8));
    let retained = records.retained(Some(8));
    assert!(retained.is_empty(), "the requester has it: {retained:?}");
    assert_eq!(records.retained(Some(7)).len(), 1);
    let topic = FleetTopic::Weights;
    records.replace(topic, &moved(named(3, &[], 0), revision(2, 4)));
    records.apply_retained(&named(2, &[(2, 5)], 0).records);
    let known = records.records_since(topic, revision(0, 0)).unwrap();
    assert_eq!(known.update.records, named(3, &[(2, 5)], 0).records, "but its time is kept");
}

#[tokio::test(start_paused = true)]
async fn a_target_that_the_copy_lacks_has_time_to_write_itself_again() {
    let (node_state, records) = records();
    let both = vec![target("i-1"), target("i-2")];
    records.replace(FleetTopic::Targets, &update(both, revision(1, 20)));
    // No call has failed.
    records.replace(FleetTopic::Targets, &update(vec![], revision(2, 4)));
    tokio::time::sleep(2 * SECOND).await;
    records.remove_expired_targets();
    assert_eq!(target_ids(&node_state), ["i-1", "i-2"]);
    records.update(FleetTopic::Targets, &update(vec![target("i-1")], revision(2, 5)));
    tokio::time::sleep(GRACE - 2 * SECOND).await;
    records.remove_expired_targets();
    assert_eq!(target_ids(&node_state), ["i-1"], "the other one is gone");
}

#[tokio::test(start_paused = true)]
async fn a_record_from_before_the_state_of_a_target_waits_for_the_target_itself() {
    struct Case {
        name: &'static str,
        known: NamedRecord,
        copy: NamedRecord,
        /// Whether the copy's record counts at once.
        is_applied: bool,
    }
    let at_start = |start| changed_target("i-1", |it| it.started_at_ms = start);
    let with_weights = |version| {
        changed_target("i-1", |it| it.weights = BTreeMap::from([(MODEL.to_string(), version)]))
    };
    let cases = [
        Case { name: "an earlier start", known: at_start(7), copy: at_start(6), is_applied: false },
        Case { name: "a later start", known: at_start(6), copy: at_start(7), is_applied: true },
        Case {
            name: "older weights",
            known: with_weights(3),
            copy: with_weights(2),
            is_applied: false,
        },
        Case {
            name: "newer weights",
            known: with_weights(2),
            copy: with_weights(3),
            is_applied: true,
        },
    ];
    let topic = FleetTopic::Targets;
    let is = |node_state: &NodeState, named: &NamedRecord| {
        let state = node_state.lock();
        let registration = state.placement.targets()["i-1"].registration.clone();
        Some(FleetRecord::Target(registration)) == named.record
    };
    for Case { name, known, copy, is_applied } in cases {
        let start = || {
            let (node_state, records) = records();
            records.replace(topic, &update(vec![known.clone()], revision(1, 20)));
            records.replace(topic, &update(vec![copy.clone()], revision(2, 4)));
            assert_eq!(is(&node_state, &copy), is_applied, "{name}");
            (node_state, records)
        };
        let (node_state, records) = start();
        records.replace(topic, &update(vec![copy.clone()], revision(2, 5)));
        assert_eq!(is(&node_state, &copy), is_applied, "{name}, read twice");
        tokio::time::sleep(GRACE).await;
        records.remove_expired_targets();
        assert!(is(&node_state, &copy), "{name}, not written again");
        let (node_state, records) = start();
        records.update(topic, &update(vec![copy.clone()], revision(2, 5)));
        assert!(is(&node_state, &copy), "{name}, written by the target since");
    }
}

#[tokio::test(start_paused = true)]
async fn a_draining_target_stays_draining_for_the_same_start() {
    let (node_state, records) = records();
    let topic = FleetTopic::Targets;
    records.replace(topic, &update(vec![draining("i-1")], revision(1, 20)));
    records.replace(topic, &update(vec![target("i-1")], revision(2, 4)));
    assert!(is_draining(&node_state, "i-1"));
    tokio::time::sleep(GRACE).await;
    records.remove_expired_targets();
    records.replace(topic, &update(vec![target("i-1")], revision(2, 9)));
    assert!(is_draining(&node_state, "i-1"), "although it is not written again");
    let next_start = changed_target("i-1", |it| it.started_at_ms += 1);
    records.update(topic, &update(vec![next_start], revision(2, 10)));
    assert!(!is_draining(&node_state, "i-1"), "its next start");
}

#[tokio::test(start_paused = true)]
async fn known_times_of_weights_are_recorded_again_after_their_loss() {
    struct Case {
        name: &'static str,
        /// Changes before the return; the first list names version 1.
        known: Vec<FleetUpdate>,
        /// Lists and changes after it.
        after: Vec<FleetUpdate>,
        /// Versions and times to be recorded after the return.
        expected: Vec<(WeightVersion, u64)>,
    }
    let at = |version, times: &[(WeightVersion, u64)], revision| {
        moved(named(version, times, 0), revision)
    };
    let recorded = || vec![at(2, &[], revision(1, 21)), at(2, &[(2, 900)], revision(1, 22))];
    let cases = [
        Case {
            name: "the time is lost, the name is not",
            known: recorded(),
            after: vec![at(2, &[], revision(2, 4))],
            expected: vec![(2, 900)],
        },
        Case {
            name: "lost before this process found it recorded",
            known: vec![at(2, &[], revision(1, 21))],
            after: vec![at(2, &[], revision(2, 4))],
            expected: vec![(2, 1_000)],
        },
        Case {
            name: "name and time are lost, and the name is written again",
            known: recorded(),
            after: vec![at(1, &[], revision(2, 4)), at(2, &[], revision(2, 5))],
            expected: vec![(2, 900)],
        },
        Case {
            name: "record lost, and written again",
            known: recorded(),
            after: vec![update(vec![], revision(2, 4)), at(2, &[], revision(2, 5))],
            expected: vec![(2, 900)],
        },
        Case {
            name: "nothing lost",
            known: recorded(),
            after: vec![at(2, &[(2, 900)], revision(2, 4))],
            expected: vec![],
        },
        Case {
            name: "lost twice",
            known: recorded(),
            after: vec![at(2, &[], revision(2, 4)), at(2, &[], revision(3, 4))],
            expected: vec![(2, 900), (2, 900)],
        },
        Case {
            name: "lost twice, and another process was first with a later time",
            known: recorded(),
            after: vec![
                at(2, &[], revision(2, 4)),
                at(2, &[(2, 5_000)], revision(2, 5)),
                at(2, &[], revision(3, 4)),
            ],
            expected: vec![(2, 900), (2, 900)],
        },
        Case {
            name: "no return",
            known: recorded(),
            after: vec![at(2, &[], revision(1, 23))],
            expected: vec![],
        },
    ];
    for Case { name, known, after, expected } in cases {
        let (_, records) = records();
        let topic = FleetTopic::Weights;
        records.replace(topic, &at(1, &[], revision(1, 20)));
        tokio::time::sleep(SECOND).await;
        known.iter().for_each(|change| records.update(topic, change));
        // The change itself.
        let seen = tokio::time::timeout(SECOND, records.weights_changes()).await;
        assert_eq!(seen.map(|changes| changes.len()), Ok(1), "{name}");
        let mut era = 1;
        for update in &after {
            if update.revision.era > era {
                era = update.revision.era;
                records.replace(topic, update);
            } else {
                records.update(topic, update);
            }
        }
        let lost = tokio::time::timeout(SECOND, records.weights_changes()).await;
        let lost = lost.unwrap_or_default().into_iter().map(|it| (it.version, it.since_ms));
        assert_eq!(lost.collect::<Vec<_>>(), expected, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn replaced_weights_do_not_look_younger_after_a_return_also_at_later_starts() {
    let topic = FleetTopic::Weights;
    let at = |version, times: &[(WeightVersion, u64)], revision| {
        moved(named(version, times, 0), revision)
    };
    let (node_state, records) = records();
    // Made now, so that both have the same wall clock.
    let (starter_state, starter) = self::records();
    records.replace(topic, &at(1, &[], revision(1, 20)));
    tokio::time::sleep(10 * SECOND).await;
    records.update(topic, &at(2, &[(2, 9_000)], revision(1, 21)));
    tokio::time::sleep(5 * SECOND).await;
    let age = newer_age(&node_state, 1);
    records.replace(topic, &at(2, &[], revision(2, 4)));
    assert_eq!(newer_age(&node_state, 1), age);
    // A process that starts now doesn't find the time in the record.
    starter.replace(topic, &at(2, &[], revision(2, 4)));
    starter.apply_retained(&records.retained(None));
    assert!(newer_age(&starter_state, 1) >= Some(6 * SECOND), "{:?}", newer_age(&starter_state, 1));
}

#[tokio::test(start_paused = true)]
async fn a_relay_of_an_earlier_era_is_not_current() {
    for (name, at, is_current) in [
        ("an earlier era", revision(1, 90), false),
        ("the same era", revision(2, 3), true),
        ("a later era", revision(3, 1), true),
    ] {
        let (_, records) = records();
        records.replace(FleetTopic::Targets, &update(vec![target("i-1")], revision(2, 3)));
        let response = PeerResponse::Records(PeerRecords {
            update: update(vec![target("i-1")], at),
            is_complete: true,
            age_ms: 0,
            complete_age_ms: Some(0),
        });
        let peer_client = PeerClient::default();
        let network = SlowNetwork { delay: Duration::ZERO, response: Some(response) };
        peer_client.set_network(Arc::new(network));
        let topic = FleetTopic::Targets;
        let age = peer_client.fetch_records("10.0.0.2:80", &records, topic, SECOND).await;
        assert_eq!(age.is_some(), is_current, "{name}");
    }
}

/// Platform that counts the reads of its list.
#[derive(Default)]
struct CountedSource {
    reads: AtomicU32,
}

#[async_trait]
impl TestRecords for CountedSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(update(vec![target("i-1")], revision(1, 20)))
    }
}

#[tokio::test(start_paused = true)]
async fn a_process_that_hears_of_a_later_era_reads_anew_once() {
    let (_, records) = records();
    records.replace(FleetTopic::Entries, &entry_records(3));
    let source = Arc::new(CountedSource::default());
    let watcher = Arc::new(FleetWatcher {
        source: Arc::new(TestSource(source.clone())),
        records,
        peer_client: Arc::new(PeerClient::default()),
    });
    let task = tokio::spawn(watch_topic(watcher.clone(), FleetTopic::Targets, FirstSource::Relays));
    let reads = async || {
        tokio::time::sleep(SECOND / 10).await;
        source.reads.load(Ordering::SeqCst)
    };
    assert_eq!(reads().await, 1);
    watcher.records.note_heard_era(1);
    assert_eq!(reads().await, 1, "the same era");
    watcher.records.note_heard_era(2);
    assert_eq!(reads().await, 2, "a later era, which the platform has yet to name");
    watcher.records.note_heard_era(3);
    assert_eq!(reads().await, 3, "the next one");
    task.abort();
}

#[test]
fn records_of_processes_that_name_no_era_are_of_the_lowest() {
    let message = r#"{"records":[],"revision":57}"#;
    let update: FleetUpdate = serde_json::from_str(message).unwrap();
    assert_eq!(update.revision, revision(0, 57));
    // The number keeps its field, which is all that such processes read.
    let message = serde_json::to_value(self::update(vec![], revision(2, 4))).unwrap();
    assert_eq!((&message["revision"], &message["era"]), (&4.into(), &2.into()));
}

#[tokio::test(start_paused = true)]
async fn without_eras_an_older_list_is_ignored_as_ever() {
    let (node_state, records): (Arc<NodeState>, FleetRecords) = records();
    records.replace(FleetTopic::Serving, &update(vec![document(5)], revision(0, 20)));
    let older = update(vec![document(6)], revision(0, 4));
    assert!(!records.replace(FleetTopic::Serving, &older));
    assert_eq!(serving_version(&node_state), Some(5));
}
