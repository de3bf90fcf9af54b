//! Tests of placement while targets pause or leave by their own word.

use super::{
    Assignment, Placement, PlacementDecision, UnplacedReason,
    test_fleet::{address, choose, fleet, registered},
};
use skylarkpick_interface::{RegisteredTarget, TargetId};
use std::time::Duration;

const ASKED_AT: Duration = Duration::from_secs(100);
const PAUSE: Duration = Duration::from_secs(3);

fn assignment(placement: &Placement, index: u8) -> Assignment {
    let others: Vec<u8> = (1..=9).filter(|other| *other != index).collect();
    match choose(placement, &others, ASKED_AT) {
        PlacementDecision::Assigned(assignment) => *assignment,
        decision => panic!("target {index} is not chosen: {decision:?}"),
    }
}

/// Lets a target ask for a pause in its response to a request.
fn pause(placement: &mut Placement, index: u8, pause: Duration) -> Duration {
    let assignment = assignment(placement, index);
    placement.note_pause(&assignment, pause, ASKED_AT)
}

/// What is decided after some changes.
#[derive(Debug, PartialEq)]
enum Chosen {
    Target(TargetId),
    Paused { wait_ms: u128 },
    NoneUsable,
}

#[test]
fn targets_in_a_pause_are_not_chosen_and_the_shortest_rest_is_told_if_all_pause() {
    struct Case {
        name: &'static str,
        targets: u8,
        change: fn(&mut Placement),
        avoid: &'static [u8],
        after: Duration,
        chosen: Chosen,
    }
    let target = |index: u8| Chosen::Target(format!("i-{index}"));
    let second = Duration::from_secs(1);
    let cases = [
        Case {
            name: "another target",
            targets: 2,
            change: |placement| _ = pause(placement, 1, PAUSE),
            avoid: &[],
            after: second,
            chosen: target(2),
        },
        Case {
            name: "the other one has failed the request",
            targets: 2,
            change: |placement| _ = pause(placement, 1, PAUSE),
            avoid: &[2],
            after: second,
            chosen: Chosen::Paused { wait_ms: 2_000 },
        },
        Case {
            name: "all of them",
            targets: 2,
            change: |placement| {
                pause(placement, 1, PAUSE);
                pause(placement, 2, PAUSE / 2);
            },
            avoid: &[],
            after: second,
            chosen: Chosen::Paused { wait_ms: 500 },
        },
        Case {
            name: "all have failed the request",
            targets: 1,
            change: |placement| _ = pause(placement, 1, PAUSE),
            avoid: &[1],
            after: second,
            chosen: Chosen::NoneUsable,
        },
        Case {
            name: "the pause is over",
            targets: 1,
            change: |placement| _ = pause(placement, 1, PAUSE),
            avoid: &[],
            after: PAUSE,
            chosen: target(1),
        },
        Case {
            name: "a shorter pause for a later request",
            targets: 1,
            change: |placement| {
                let assignment = assignment(placement, 1);
                placement.note_pause(&assignment, PAUSE, ASKED_AT);
                placement.note_pause(&assignment, PAUSE / 3, ASKED_AT);
            },
            avoid: &[],
            after: second,
            chosen: Chosen::Paused { wait_ms: 2_000 },
        },
        Case {
            name: "removed and registered again",
            targets: 1,
            change: |placement| {
                pause(placement, 1, PAUSE);
                placement.remove_target("i-1");
                placement.set_target(registered(1, 1));
            },
            avoid: &[],
            after: second,
            chosen: Chosen::Paused { wait_ms: 2_000 },
        },
        Case {
            name: "restarted",
            targets: 1,
            change: |placement| {
                pause(placement, 1, PAUSE);
                placement.set_target(registered(1, 2));
            },
            avoid: &[],
            after: second,
            chosen: target(1),
        },
        Case {
            name: "another target at the address",
            targets: 1,
            change: |placement| {
                pause(placement, 1, PAUSE);
                placement.remove_target("i-1");
                let next = RegisteredTarget { address: address(1), ..registered(2, 1) };
                placement.set_target(next);
            },
            avoid: &[],
            after: second,
            chosen: target(2),
        },
        Case {
            name: "in the response to a call",
            targets: 1,
            change: |placement| _ = placement.note_pause_at(address(1), PAUSE, ASKED_AT),
            avoid: &[],
            after: second,
            chosen: Chosen::Paused { wait_ms: 2_000 },
        },
        Case {
            name: "in the response to a call, then restarted",
            targets: 1,
            change: |placement| {
                placement.note_pause_at(address(1), PAUSE, ASKED_AT);
                placement.set_target(registered(1, 2));
            },
            avoid: &[],
            after: second,
            chosen: target(1),
        },
        Case {
            name: "in the response to a call while it was not registered",
            targets: 1,
            change: |placement| {
                placement.remove_target("i-1");
                placement.note_pause_at(address(1), PAUSE, ASKED_AT);
                placement.set_target(registered(1, 1));
            },
            avoid: &[],
            after: second,
            chosen: Chosen::Paused { wait_ms: 2_000 },
        },
        Case {
            name: "a pause without end",
            targets: 1,
            change: |placement| {
                assert_eq!(pause(placement, 1, Duration::MAX), Duration::from_secs(600));
            },
            avoid: &[],
            after: second,
            chosen: Chosen::Paused { wait_ms: 599_000 },
        },
    ];
    for case in cases {
        let mut placement = fleet(case.targets);
        (case.change)(&mut placement);
        let chosen = match choose(&placement, case.avoid, ASKED_AT + case.after) {
            PlacementDecision::Assigned(assignment) => Chosen::Target(assignment.target),
            PlacementDecision::Unplaced(UnplacedReason::HeldOff { wait }) => {
                Chosen::Paused { wait_ms: wait.as_millis() }
            }
            PlacementDecision::Unplaced(_) => Chosen::NoneUsable,
        };
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn a_target_that_said_that_it_leaves_is_not_chosen_again_before_it_restarts() {
    struct Case {
        name: &'static str,
        change: fn(&mut Placement),
        chosen: Option<&'static str>,
    }
    fn leave(placement: &mut Placement) {
        let assignment = assignment(placement, 1);
        assert!(placement.note_leaving(&assignment, ASKED_AT));
        assert!(!placement.note_leaving(&assignment, ASKED_AT), "it is known already");
    }
    let cases = [
        Case { name: "in the response to a request", change: leave, chosen: None },
        Case {
            name: "in the response to a call",
            change: |placement| {
                assert_eq!(placement.note_leaving_at(address(1), ASKED_AT).as_deref(), Some("i-1"));
            },
            chosen: None,
        },
        Case {
            name: "in the response to a call from an address without a target",
            change: |placement| assert_eq!(placement.note_leaving_at(address(9), ASKED_AT), None),
            chosen: Some("i-1"),
        },
        Case {
            name: "removed and registered again",
            change: |placement| {
                leave(placement);
                placement.remove_target("i-1");
                placement.set_target(registered(1, 1));
            },
            chosen: None,
        },
        Case {
            name: "restarted",
            change: |placement| {
                leave(placement);
                placement.set_target(registered(1, 2));
            },
            chosen: Some("i-1"),
        },
    ];
    for case in cases {
        let mut placement = fleet(1);
        (case.change)(&mut placement);
        let chosen = match choose(&placement, &[], ASKED_AT) {
            PlacementDecision::Assigned(assignment) => Some(assignment.target),
            PlacementDecision::Unplaced(_) => None,
        };
        assert_eq!(chosen.as_deref(), case.chosen, "{}", case.name);
    }
}
