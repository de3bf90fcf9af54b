//! Tests of targets that left or drained before a return of the platform's store from an older copy.

use super::{
    departed_targets::DepartedTargets,
    era_tests::{GRACE, changed_target, removed, revision, update},
    tests::{SECOND, draining, records, target, target_ids},
};
use crate::node_state::NodeState;
use skylarkpick_interface::{FleetRecord, FleetTopic, FleetUpdate, NamedRecord};
use std::time::Duration;

/// An update, and whether it is a list.
type Step = (bool, FleetUpdate);

fn list(records: Vec<NamedRecord>, era: u64, number: u64) -> Step {
    (true, update(records, revision(era, number)))
}

fn change(record: NamedRecord, era: u64, number: u64) -> Step {
    (false, update(vec![record], revision(era, number)))
}

fn is_serving(node_state: &NodeState, id: &str) -> bool {
    let state = node_state.lock();
    state.placement.targets().get(id).is_some_and(|it| !it.registration.is_draining)
}

#[tokio::test(start_paused = true)]
async fn a_target_whose_leaving_is_known_does_not_serve_again_from_the_copy() {
    struct Case {
        name: &'static str,
        /// Steps after a list of era 1 that has `i-1`, each a second after the one before.
        steps: Vec<Step>,
        is_serving: bool,
    }
    let at_start = |start| changed_target("i-1", |it| it.started_at_ms = start);
    let left = || vec![change(draining("i-1"), 1, 21), change(removed("i-1"), 1, 22)];
    let lapsed = || vec![change(removed("i-1"), 1, 21)];
    let copy = || list(vec![target("i-1"), target("i-2")], 2, 4);
    let then = |mut steps: Vec<Step>, more: Vec<Step>| {
        steps.extend(more);
        steps
    };
    let cases = [
        Case { name: "drained and removed", steps: then(left(), vec![copy()]), is_serving: false },
        Case { name: "removed", steps: then(lapsed(), vec![copy()]), is_serving: false },
        Case {
            name: "removed, and the copy is read twice",
            steps: then(lapsed(), vec![copy(), list(vec![target("i-1")], 2, 5)]),
            is_serving: false,
        },
        Case {
            name: "removed, and two returns",
            steps: then(lapsed(), vec![copy(), list(vec![target("i-1")], 3, 1)]),
            is_serving: false,
        },
        Case {
            name: "removed, and the copy has an earlier start",
            steps: then(lapsed(), vec![list(vec![at_start(0)], 2, 4)]),
            is_serving: false,
        },
        Case {
            name: "removed after the return too, which the next copy lacks",
            steps: then(
                lapsed(),
                vec![copy(), change(removed("i-1"), 2, 5), list(vec![target("i-1")], 3, 1)],
            ),
            is_serving: false,
        },
        Case {
            name: "drained, and its next start does not write itself again",
            steps: vec![
                change(draining("i-1"), 1, 21),
                change(at_start(2), 1, 22),
                copy(),
                list(vec![target("i-1")], 2, 5),
                list(vec![target("i-1")], 2, 6),
                list(vec![target("i-1")], 2, 7),
            ],
            is_serving: false,
        },
        Case {
            name: "removed, and written by the target since",
            steps: then(lapsed(), vec![copy(), change(target("i-1"), 2, 5)]),
            is_serving: true,
        },
        Case {
            name: "removed, and its next start is in a list",
            steps: then(lapsed(), vec![copy(), list(vec![at_start(2)], 2, 6)]),
            is_serving: true,
        },
        Case {
            name: "removed, and written again before the return",
            steps: then(lapsed(), vec![change(target("i-1"), 1, 22), copy()]),
            is_serving: true,
        },
        Case {
            name: "removed, and in a list again before the return",
            steps: then(lapsed(), vec![list(vec![target("i-1")], 1, 23), copy()]),
            is_serving: true,
        },
        Case {
            name: "no return",
            steps: then(left(), vec![list(vec![target("i-1")], 1, 23)]),
            is_serving: true,
        },
    ];
    let mut failures = Vec::new();
    for Case { name, steps, is_serving: expected } in cases {
        let (node_state, records) = records();
        let known = update(vec![target("i-1"), target("i-2")], revision(1, 20));
        records.replace(FleetTopic::Targets, &known);
        for (is_list, update) in steps {
            if is_list {
                records.replace(FleetTopic::Targets, &update);
            } else {
                records.update(FleetTopic::Targets, &update);
            }
            tokio::time::sleep(SECOND).await;
            records.remove_expired_targets();
        }
        if is_serving(&node_state, "i-1") != expected {
            failures.push(name);
        }
    }
    assert!(failures.is_empty(), "wrong: {failures:?}");
}

#[tokio::test(start_paused = true)]
async fn what_was_known_of_a_target_that_left_ends_after_a_while() {
    let (node_state, records) = records();
    let topic = FleetTopic::Targets;
    records.replace(topic, &update(vec![target("i-1"), target("i-2")], revision(1, 20)));
    records.update(topic, &update(vec![removed("i-1")], revision(1, 21)));
    records.replace(topic, &update(vec![target("i-1"), target("i-2")], revision(2, 4)));
    tokio::time::sleep(20 * SECOND).await;
    records.remove_expired_targets();
    assert!(!is_serving(&node_state, "i-1"));
    tokio::time::sleep(10 * SECOND + GRACE).await;
    records.remove_expired_targets();
    assert!(is_serving(&node_state, "i-1"), "as the store says");
    assert_eq!(target_ids(&node_state), ["i-1", "i-2"]);
}

#[tokio::test(start_paused = true)]
async fn a_follower_learns_that_a_lapsed_target_has_written_its_record_again() {
    let topic = FleetTopic::Targets;
    let (relay_state, relay) = records();
    let (follower_state, follower) = records();
    let follow = |at| {
        let received = relay.records_since(topic, at).unwrap();
        follower.apply_peer_records(topic, &received);
    };
    relay.replace(topic, &update(vec![target("i-1"), target("i-2")], revision(1, 20)));
    follow(revision(0, 0));
    relay.update(topic, &update(vec![removed("i-1")], revision(1, 21)));
    follow(revision(1, 20));
    relay.replace(topic, &update(vec![target("i-1"), target("i-2")], revision(2, 4)));
    follow(revision(1, 21));
    assert!(!is_serving(&relay_state, "i-1") && !is_serving(&follower_state, "i-1"));
    // The same content as in the copy.
    relay.update(topic, &update(vec![target("i-1")], revision(2, 5)));
    follow(revision(2, 4));
    assert!(is_serving(&relay_state, "i-1"), "relay");
    assert!(is_serving(&follower_state, "i-1"), "follower");
    relay.update(topic, &update(vec![target("i-1")], revision(2, 6)));
    let received = relay.records_since(topic, revision(2, 5)).unwrap();
    assert!(received.update.records.is_empty(), "it is told once");
}

#[test]
fn only_so_many_starts_are_remembered() {
    let mut departed = DepartedTargets::default();
    for count in 0..5_000 {
        departed.note_departed(&format!("i-{count}"), 1, 1, Duration::from_millis(count));
    }
    for (id, is_remembered) in [("i-0", false), ("i-903", false), ("i-904", true), ("i-4999", true)]
    {
        let Some(FleetRecord::Target(found)) = target(id).record else { unreachable!() };
        assert_eq!(departed.is_departed(&found, 2, 5 * SECOND), is_remembered, "{id}");
    }
}
