//! Tests of what a process does before it knows the evacuations.

use crate::{
    node_state::NodeState,
    test_support::{ManualClock, evacuating_node_state, node_state_on},
};
use skylarkpick_interface::RegisteredTarget;
use skylarkpick_schedule::{PlacementDecision, PlacementRequest};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

fn target(data_centre: &str) -> RegisteredTarget {
    RegisteredTarget {
        id: "i-1".to_string(),
        service: "book-api".to_string(),
        address: ([10, 1, 0, 1], 80).into(),
        data_centre: data_centre.to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms: 1,
        software_version: None,
        cold_remaining: None,
    }
}

fn is_placed(node_state: &NodeState) -> bool {
    let request = PlacementRequest {
        service: "book-api".to_string(),
        data_centre: "mnl-a".to_string(),
        prompt: None,
        rank: 0,
        is_continuation: false,
        software_version: None,
        avoid: Vec::new(),
        max_wait: SECOND,
    };
    matches!(node_state.choose(&request, false), PlacementDecision::Assigned(_))
}

/// Guards against requests to an evacuated data centre from a process that has just started, and
/// against a process that never starts since the platform doesn't tell of evacuations.
#[test]
fn a_process_that_starts_waits_for_the_evacuations_but_not_for_ever() {
    struct Case {
        name: &'static str,
        uses_evacuations: bool,
        change: fn(&NodeState),
        after: Duration,
        is_placed: bool,
    }
    let cases = [
        Case {
            name: "not known yet",
            uses_evacuations: true,
            change: |_| {},
            after: SECOND,
            is_placed: false,
        },
        Case {
            name: "none",
            uses_evacuations: true,
            change: NodeState::note_evacuations_read,
            after: SECOND,
            is_placed: true,
        },
        Case {
            name: "the target's data centre",
            uses_evacuations: true,
            change: |node_state| {
                node_state.set_evacuated("mnl-a", true);
                node_state.note_evacuations_read();
            },
            after: SECOND,
            is_placed: false,
        },
        Case {
            name: "never told",
            uses_evacuations: true,
            change: |_| {},
            after: 3 * SECOND,
            is_placed: true,
        },
        Case {
            name: "not used",
            uses_evacuations: false,
            change: |_| {},
            after: Duration::ZERO,
            is_placed: true,
        },
    ];
    for case in cases {
        let clock = Arc::new(ManualClock::default());
        let node_state = match case.uses_evacuations {
            true => evacuating_node_state(clock.clone()),
            false => node_state_on(clock.clone()),
        };
        node_state.lock().placement.set_target(target("mnl-a"));
        (case.change)(&node_state);
        clock.set(case.after);
        assert_eq!(is_placed(&node_state), case.is_placed, "{}", case.name);
    }
}

/// Guards against requests that wait until their next poll although an evacuation has changed what may
/// take them.
#[test]
fn only_changes_of_evacuations_are_reported() {
    let node_state = evacuating_node_state(Arc::new(ManualClock::default()));
    struct Case {
        name: &'static str,
        is_evacuated: bool,
        is_changed: bool,
        count: u64,
    }
    let cases = [
        Case { name: "not evacuated", is_evacuated: false, is_changed: false, count: 0 },
        Case { name: "begins", is_evacuated: true, is_changed: true, count: 1 },
        Case { name: "goes on", is_evacuated: true, is_changed: false, count: 1 },
        Case { name: "ends", is_evacuated: false, is_changed: true, count: 0 },
    ];
    for case in cases {
        let is_changed = node_state.set_evacuated("mnl-a", case.is_evacuated);
        let got = (is_changed, node_state.count_evacuated());
        assert_eq!(got, (case.is_changed, case.count), "{}", case.name);
    }
}
