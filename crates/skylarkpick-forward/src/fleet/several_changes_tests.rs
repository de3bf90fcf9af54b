//! Tests of updates that hold several changes of one record.

use super::{
    era_tests::{GRACE, changed_target, moved, removed, revision, update},
    records::FleetRecords,
    tests::target,
    weight_tests::{MODEL, first_update, named as named_weights},
};
use crate::{node_state::NodeState, peers::PeerRecords, test_support::evacuating_node_state};
use skylarkpick_interface::{
    CrashReport, FleetRecord, FleetTopic, FleetUpdate, NamedRecord, RegisteredEntry,
    RegisteredTarget, StoreRevision, TokioClock,
};
use std::{
    sync::{
        Arc, Barrier,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

/// How records arrive.
enum Step {
    /// By a watch of the platform.
    Watch(FleetUpdate),
    /// By a list of the platform.
    List(FleetUpdate),
    /// As the changes that another process knows.
    Peer(FleetUpdate),
    /// As all records that another process knows.
    PeerList(FleetUpdate),
    /// As what another process retains.
    Retained(Vec<NamedRecord>),
    /// A call to the platform fails.
    Disconnected,
    /// The platform responds again.
    Connected,
    /// The time in which missing records may reappear ends.
    Grace,
}

struct Case {
    name: &'static str,
    topic: FleetTopic,
    steps: Vec<Step>,
    /// What requests are served by in the end.
    served: &'static [&'static str],
}

fn configuration(version: u64) -> NamedRecord {
    let mut named = first_update(FleetTopic::Serving).records.remove(0);
    named.name = "main".to_string();
    if let Some(FleetRecord::Serving(document)) = &mut named.record {
        document.version = version;
    }
    named
}

fn weights(version: u64, since_ms: &[(u64, u64)]) -> NamedRecord {
    named_weights(version, since_ms, 1).records.remove(0)
}

fn unreadable(name: &str) -> NamedRecord {
    let record = FleetRecord::Unreadable("no content".to_string());
    NamedRecord { name: name.to_string(), record: Some(record) }
}

fn evacuation(data_centre: &str) -> NamedRecord {
    let record = FleetRecord::Evacuation(data_centre.to_string());
    NamedRecord { name: data_centre.to_string(), record: Some(record) }
}

fn entry(name: &str, cpu_percent: u32) -> NamedRecord {
    let entry = RegisteredEntry {
        name: name.to_string(),
        address: ([10, 1, 0, 9], 7_443).into(),
        data_centre: "mnl-a".to_string(),
        cpu_percent,
        fetches_notices: true,
        crashes: CrashReport::default(),
    };
    NamedRecord { name: name.to_string(), record: Some(FleetRecord::Entry(entry)) }
}

fn started(id: &str, started_at_ms: u64) -> NamedRecord {
    changed_target(id, |it| it.started_at_ms = started_at_ms)
}

fn leaving(id: &str, started_at_ms: u64) -> NamedRecord {
    changed_target(id, |it| {
        it.started_at_ms = started_at_ms;
        it.is_draining = true;
    })
}

fn at(number: u64, records: Vec<NamedRecord>) -> FleetUpdate {
    update(records, revision(1, number))
}

fn describe_target(target: &RegisteredTarget) -> String {
    let state = if target.is_draining { "draining" } else { "ready" };
    format!("{} of {}: {state}", target.id, target.started_at_ms)
}

/// Describes what requests are served by.
fn served(node_state: &NodeState, records: &FleetRecords, topic: FleetTopic) -> Vec<String> {
    let state = node_state.lock();
    match topic {
        FleetTopic::Serving => state.serving().iter().map(|it| it.version().to_string()).collect(),
        FleetTopic::Weights => {
            state.placement.weights.newest(MODEL).iter().map(u64::to_string).collect()
        }
        FleetTopic::Targets => {
            let targets = state.placement.targets().values();
            targets.map(|it| describe_target(&it.registration)).collect()
        }
        FleetTopic::Evacuations => state.placement.evacuated().iter().cloned().collect(),
        FleetTopic::Entries => {
            drop(state);
            let describe = |it: RegisteredEntry| format!("{}: {}", it.name, it.cpu_percent);
            records.entries().into_iter().map(describe).collect()
        }
    }
}

/// Describes the stored records in the same way.
fn stored(records: &FleetRecords, topic: FleetTopic) -> Vec<String> {
    let received = records.records_since(topic, StoreRevision::default());
    let describe = |named: NamedRecord| match named.record? {
        FleetRecord::Serving(document) => Some(document.version.to_string()),
        FleetRecord::Weights(weights) => Some(weights.weight_version.to_string()),
        FleetRecord::Target(target) => Some(describe_target(&target)),
        FleetRecord::Evacuation(data_centre) => Some(data_centre),
        FleetRecord::Entry(entry) => Some(format!("{}: {}", entry.name, entry.cpu_percent)),
        FleetRecord::Unreadable(_) => None,
    };
    received.into_iter().flat_map(|it| it.update.records).filter_map(describe).collect()
}

fn open() -> (Arc<NodeState>, FleetRecords) {
    let node_state = evacuating_node_state(Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)));
    (node_state.clone(), FleetRecords::open(node_state, "entry-1"))
}

async fn take(records: &FleetRecords, topic: FleetTopic, step: Step) {
    let peer =
        |update, is_complete| PeerRecords { update, is_complete, age_ms: 0, complete_age_ms: None };
    match step {
        Step::Watch(update) => records.update(topic, &update),
        Step::List(update) => drop(records.replace(topic, &update)),
        Step::Peer(update) => drop(records.apply_peer_records(topic, &peer(update, false))),
        Step::PeerList(update) => drop(records.apply_peer_records(topic, &peer(update, true))),
        Step::Retained(retained) => records.apply_retained(&retained),
        Step::Disconnected => records.note_disconnected(topic),
        Step::Connected => records.note_response(),
        Step::Grace => {
            tokio::time::sleep(GRACE).await;
            records.remove_expired_targets();
            records.remove_expired_entries();
            records.remove_expired_evacuations();
        }
    }
}

fn configuration_cases() -> Vec<Case> {
    let topic = FleetTopic::Serving;
    let known = || Step::List(at(10, vec![configuration(5)]));
    let after_return = |records| Step::List(moved(at(0, records), revision(2, 3)));
    vec![
        Case {
            name: "configuration: a watch that began before what a look-up has read",
            topic,
            steps: vec![
                known(),
                Step::Watch(at(12, vec![configuration(4), configuration(5), configuration(6)])),
            ],
            served: &["6"],
        },
        Case {
            name: "configuration: the same from another process",
            topic,
            steps: vec![known(), Step::Peer(at(12, vec![configuration(4), configuration(6)]))],
            served: &["6"],
        },
        Case {
            name: "configuration: a list that names it twice",
            topic,
            steps: vec![known(), Step::List(at(12, vec![configuration(4), configuration(6)]))],
            served: &["6"],
        },
        Case {
            name: "configuration: a list of another process that names it twice",
            topic,
            steps: vec![known(), Step::PeerList(at(12, vec![configuration(4), configuration(6)]))],
            served: &["6"],
        },
        Case {
            name: "configuration: newer ones alone",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![configuration(6), configuration(7)]))],
            served: &["7"],
        },
        Case {
            name: "configuration: changes after a return of the store to an older one",
            topic,
            steps: vec![
                known(),
                after_return(vec![configuration(3)]),
                Step::Watch(update(vec![configuration(4), configuration(6)], revision(2, 5))),
            ],
            served: &["6"],
        },
        Case {
            name: "configuration: retained by another process, then changes up to a newer one",
            topic,
            steps: vec![
                after_return(vec![configuration(3)]),
                Step::Retained(vec![configuration(4), configuration(5), configuration(4)]),
                Step::Watch(update(vec![configuration(4), configuration(6)], revision(2, 5))),
            ],
            served: &["6"],
        },
        Case {
            name: "configuration: removed and added again with an older version",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![removed("main"), configuration(4)]))],
            served: &["5"],
        },
        Case {
            name: "configuration: removed and added again with a newer version",
            topic,
            steps: vec![
                known(),
                Step::Watch(at(12, vec![configuration(4), removed("main"), configuration(6)])),
            ],
            served: &["6"],
        },
        Case {
            name: "configuration: changed and removed",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![configuration(6), removed("main")]))],
            served: &["6"],
        },
        Case {
            name: "configuration: missing in a list, then older",
            topic,
            steps: vec![
                known(),
                Step::List(at(12, vec![])),
                Step::Watch(at(13, vec![configuration(4)])),
            ],
            served: &["5"],
        },
        Case {
            name: "configuration: unreadable for a time, then older",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![unreadable("main"), configuration(4)]))],
            served: &["5"],
        },
        Case {
            name: "configuration: unreadable in the end",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![configuration(6), unreadable("main")]))],
            served: &["6"],
        },
    ]
}

fn weights_cases() -> Vec<Case> {
    let topic = FleetTopic::Weights;
    let known = || Step::List(at(10, vec![weights(5, &[(5, 50)])]));
    vec![
        Case {
            name: "weights: a watch that began before what a list has read",
            topic,
            steps: vec![
                known(),
                Step::Watch(at(12, vec![weights(4, &[]), weights(5, &[(5, 50)]), weights(6, &[])])),
            ],
            served: &["6"],
        },
        Case {
            name: "weights: a change without the known times, then one with them",
            topic,
            steps: vec![
                known(),
                Step::Watch(at(12, vec![weights(5, &[]), weights(6, &[(5, 50), (6, 60)])])),
            ],
            served: &["6"],
        },
        Case {
            name: "weights: the same from another process",
            topic,
            steps: vec![
                known(),
                Step::Peer(at(12, vec![weights(4, &[]), weights(6, &[(5, 50), (6, 60)])])),
            ],
            served: &["6"],
        },
        Case {
            name: "weights: removed and added again with an older version",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![removed(MODEL), weights(4, &[])]))],
            served: &["5"],
        },
        Case {
            name: "weights: changes after a return of the store to an older version",
            topic,
            steps: vec![
                known(),
                Step::List(update(vec![weights(3, &[])], revision(2, 3))),
                Step::Watch(update(
                    vec![weights(4, &[]), weights(6, &[(5, 50), (6, 60)])],
                    revision(2, 5),
                )),
            ],
            served: &["6"],
        },
    ]
}

fn target_cases() -> Vec<Case> {
    let topic = FleetTopic::Targets;
    let known = || Step::List(at(10, vec![target("i-1")]));
    vec![
        Case {
            name: "targets: removed and added again",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![removed("i-1"), started("i-1", 2)]))],
            served: &["i-1 of 2: ready"],
        },
        Case {
            name: "targets: drained, removed and added again, from another process",
            topic,
            steps: vec![
                known(),
                Step::Peer(at(12, vec![leaving("i-1", 1), removed("i-1"), started("i-1", 2)])),
            ],
            served: &["i-1 of 2: ready"],
        },
        Case {
            name: "targets: added, drained and removed",
            topic,
            steps: vec![
                known(),
                Step::Watch(at(12, vec![started("i-2", 2), leaving("i-2", 2), removed("i-2")])),
            ],
            served: &["i-1 of 1: ready"],
        },
        Case {
            name: "targets: a watch that began before what a list has read",
            topic,
            steps: vec![
                Step::List(at(10, vec![started("i-1", 2)])),
                Step::Watch(at(12, vec![leaving("i-1", 1), removed("i-1"), started("i-1", 2)])),
            ],
            served: &["i-1 of 2: ready"],
        },
        Case {
            name: "targets: unreadable for a time",
            topic,
            steps: vec![known(), Step::Watch(at(12, vec![unreadable("i-1"), started("i-1", 2)]))],
            served: &["i-1 of 2: ready"],
        },
        Case {
            name: "targets: held back in a list of a later era, then changed twice",
            topic,
            steps: vec![
                Step::List(at(10, vec![started("i-1", 2)])),
                Step::List(update(vec![started("i-1", 1)], revision(2, 3))),
                Step::Watch(update(vec![started("i-1", 2), leaving("i-1", 2)], revision(2, 5))),
            ],
            served: &["i-1 of 2: draining"],
        },
        Case {
            name: "targets: held back in a list of a later era until the time is over",
            topic,
            steps: vec![
                Step::List(at(10, vec![started("i-1", 2)])),
                Step::List(update(vec![started("i-1", 1)], revision(2, 3))),
                Step::Grace,
            ],
            served: &["i-1 of 1: ready"],
        },
        Case {
            name: "targets: missing after an outage, then in a list that names it twice",
            topic,
            steps: vec![
                known(),
                Step::Disconnected,
                Step::Connected,
                Step::Watch(at(11, vec![removed("i-1")])),
                Step::List(at(12, vec![started("i-1", 2), leaving("i-1", 2)])),
                Step::Grace,
            ],
            served: &["i-1 of 2: draining"],
        },
    ]
}

fn other_cases() -> Vec<Case> {
    let entries = FleetTopic::Entries;
    let evacuations = FleetTopic::Evacuations;
    vec![
        Case {
            name: "entries: removed and added again",
            topic: entries,
            steps: vec![
                Step::List(at(10, vec![entry("entry-2", 25)])),
                Step::Watch(at(12, vec![removed("entry-2"), entry("entry-2", 50)])),
            ],
            served: &["entry-2: 50"],
        },
        Case {
            name: "entries: missing after a return of the store, added and removed",
            topic: entries,
            steps: vec![
                Step::List(at(10, vec![entry("entry-2", 25)])),
                Step::List(update(vec![], revision(2, 3))),
                Step::Peer(update(vec![entry("entry-2", 50), removed("entry-2")], revision(2, 5))),
            ],
            served: &[],
        },
        Case {
            name: "evacuations: ended and begun again",
            topic: evacuations,
            steps: vec![
                Step::List(at(10, vec![evacuation("mnl-a")])),
                Step::Watch(at(12, vec![removed("mnl-a"), evacuation("mnl-a")])),
            ],
            served: &["mnl-a"],
        },
        Case {
            name: "evacuations: begun and ended, from another process",
            topic: evacuations,
            steps: vec![
                Step::List(at(10, vec![])),
                Step::Peer(at(12, vec![evacuation("mnl-a"), removed("mnl-a")])),
            ],
            served: &[],
        },
        Case {
            name: "evacuations: lost by a return of the store, begun and ended",
            topic: evacuations,
            steps: vec![
                Step::List(at(10, vec![evacuation("mnl-a")])),
                Step::List(update(vec![], revision(2, 3))),
                Step::Watch(update(vec![evacuation("mnl-a"), removed("mnl-a")], revision(2, 5))),
            ],
            served: &[],
        },
    ]
}

// Guards against a process that stores the last of several changes of a record and serves by another one,
// so that a key that was taken away is served until the configuration changes again.
#[tokio::test(start_paused = true)]
async fn requests_are_served_by_the_last_of_several_changes() {
    let cases = [configuration_cases(), weights_cases(), target_cases(), other_cases()];
    let mut failures = Vec::new();
    for Case { name, topic, steps, served: expected } in cases.into_iter().flatten() {
        let (node_state, records) = open();
        for step in steps {
            take(&records, topic, step).await;
        }
        let served = served(&node_state, &records, topic);
        let stored = stored(&records, topic);
        if served != expected || stored != expected {
            failures.push(format!("{name}: served {served:?}, stored {stored:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

// Guards against a target that is served although it was removed: its record was stored before the removal,
// and applied after it by another task.
#[test]
fn updates_at_the_same_time_are_applied_in_the_order_in_which_they_are_stored() {
    const ROUNDS: u64 = 100_000;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let (node_state, records) = {
        let _entered = runtime.enter();
        open()
    };
    records.replace(FleetTopic::Targets, &at(1, vec![]));
    let rounds = Barrier::new(2);
    let differing = AtomicU64::new(0);
    let apply = |number: u64, change: fn(u64) -> NamedRecord| {
        for round in 1..=ROUNDS {
            let update = at(2 * round + number, vec![change(round)]);
            rounds.wait();
            records.update(FleetTopic::Targets, &update);
            let is_leader = rounds.wait().is_leader();
            let served = served(&node_state, &records, FleetTopic::Targets);
            if is_leader && served != stored(&records, FleetTopic::Targets) {
                differing.fetch_add(1, Ordering::Relaxed);
            }
            rounds.wait();
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(|| apply(0, |round| started("i-1", round)));
        scope.spawn(|| apply(1, |_| removed("i-1")));
    });
    assert_eq!(
        differing.into_inner(),
        0,
        "rounds of {ROUNDS} after which served and stored differ"
    );
}

// Guards against an operator who can't see that a process serves by an older configuration than it knows.
#[tokio::test(start_paused = true)]
async fn the_newest_known_version_is_kept_beside_the_served_one() {
    let (node_state, records) = open();
    records.replace(FleetTopic::Serving, &at(10, vec![configuration(5)]));
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(node_state.newest_version.get(), 5);
    node_state.newest_version.note(7);
    records.update(FleetTopic::Serving, &at(11, vec![configuration(6)]));
    assert_eq!(served(&node_state, &records, FleetTopic::Serving), ["6"]);
    assert_eq!(node_state.newest_version.get(), 7);
}
