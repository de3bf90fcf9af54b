//! Tests of ejection and of the health of a set of targets.

use super::{Ejection, TargetHealth};
use std::{collections::BTreeMap, time::Duration};

enum Event {
    Failure(u64),
    Success,
}

#[test]
fn ejects_after_consecutive_failures_for_a_growing_time() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        /// Seconds since boot, and whether the target is ejected then.
        ejected: Vec<(u64, bool)>,
    }
    use Event::{Failure, Success};
    let cases = [
        Case {
            name: "two failures do not eject",
            events: vec![Failure(0), Failure(0)],
            ejected: vec![(0, false)],
        },
        Case {
            name: "a success resets the count",
            events: vec![Failure(0), Failure(0), Success, Failure(0)],
            ejected: vec![(0, false)],
        },
        Case {
            name: "three failures eject for two seconds",
            events: vec![Failure(0), Failure(0), Failure(0)],
            ejected: vec![(0, true), (1, true), (2, false)],
        },
        Case {
            name: "one more failure ejects for longer",
            events: vec![Failure(0), Failure(0), Failure(0), Failure(10)],
            ejected: vec![(13, true), (14, false)],
        },
        Case {
            name: "failures during an ejection do not count",
            events: vec![Failure(0), Failure(0), Failure(0), Failure(1), Failure(1), Failure(1)],
            ejected: vec![(2, false)],
        },
        Case {
            name: "an ejection lasts a minute at most",
            events: (0..20).map(|step| Failure(step * 100)).collect(),
            ejected: vec![(1_959, true), (1_960, false)],
        },
    ];
    for case in cases {
        let mut ejection = Ejection::default();
        for event in case.events {
            match event {
                Failure(at) => ejection.observe_failure(Duration::from_secs(at)),
                Success => ejection.observe_success(),
            }
        }
        for (at, expected) in case.ejected {
            let is_ejected = ejection.is_ejected(Duration::from_secs(at));
            assert_eq!(is_ejected, expected, "{} at {at} s", case.name);
        }
    }
}

#[test]
fn ejects_at_most_half_of_the_targets() {
    let mut health = TargetHealth::open(Duration::from_millis(200));
    let names = ["a", "b", "c", "d", "e"];
    let slots: BTreeMap<String, u32> = names.iter().map(|name| (name.to_string(), 4)).collect();
    health.set_targets(&slots);
    for name in names {
        (0..3).for_each(|_| health.end(name, true, Duration::ZERO));
    }
    assert_eq!(health.ejected(Duration::ZERO).len(), 2);
}

#[test]
fn drops_the_state_of_removed_targets() {
    let mut health = TargetHealth::open(Duration::from_millis(200));
    health.set_targets(&BTreeMap::from([("a".to_string(), 4)]));
    health.set_targets(&BTreeMap::from([("b".to_string(), 4)]));
    assert_eq!(health.states().keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(health.capacity(), 8);
}
