//! Tests of placement while data centres are being evacuated.

use super::{
    Placement, PlacementDecision, PlacementRequest, UnplacedReason,
    test_fleet::{SERVICE, choose, registered, request},
};
use skylarkpick_interface::{RegisteredTarget, ReportedLoad, RequestLimit, ServiceKind};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const DATA_CENTRES: [&str; 3] = ["mnl-a", "mnl-b", "mnl-c"];

/// Returns a placement with this many targets in each of these data centres, in turn.
fn fleet(targets: u8, data_centres: &[&str]) -> Placement {
    let mut placement = Placement::open(Duration::from_secs(10));
    placement.set_services(&BTreeMap::from([(SERVICE.to_string(), ServiceKind::Plain)]));
    for index in 1..=targets {
        let data_centre = data_centres[usize::from(index - 1) % data_centres.len()].to_string();
        placement.set_target(RegisteredTarget { data_centre, ..registered(index, 1) });
    }
    placement
}

/// Returns the data centres of the targets that are chosen if each has as many requests under way as it
/// runs concurrently, so that all that may be chosen are.
fn chosen_data_centres(placement: &Placement) -> BTreeSet<String> {
    let mut placement = placement.clone();
    let mut chosen = BTreeSet::new();
    for _ in 0..60 {
        if let PlacementDecision::Assigned(assignment) = choose(&placement, &[], NOW) {
            let target = &placement.targets()[&assignment.target].registration;
            chosen.insert(target.data_centre.clone());
            placement.begin(&assignment, None, NOW);
        }
    }
    chosen
}

#[test]
fn targets_of_evacuated_data_centres_are_not_chosen_until_the_evacuation_ends() {
    struct Case {
        name: &'static str,
        data_centres: &'static [&'static str],
        /// Evacuations that begin or end, in order.
        changes: &'static [(&'static str, bool)],
        chosen: &'static [&'static str],
    }
    let cases = [
        Case { name: "none", data_centres: &DATA_CENTRES, changes: &[], chosen: &DATA_CENTRES },
        Case {
            name: "one",
            data_centres: &DATA_CENTRES,
            changes: &[("mnl-b", true)],
            chosen: &["mnl-a", "mnl-c"],
        },
        Case {
            name: "the own one",
            data_centres: &DATA_CENTRES,
            changes: &[("mnl-a", true)],
            chosen: &["mnl-b", "mnl-c"],
        },
        Case {
            name: "two",
            data_centres: &DATA_CENTRES,
            changes: &[("mnl-a", true), ("mnl-b", true)],
            chosen: &["mnl-c"],
        },
        Case {
            name: "ended",
            data_centres: &DATA_CENTRES,
            changes: &[("mnl-b", true), ("mnl-b", false)],
            chosen: &DATA_CENTRES,
        },
        Case {
            name: "one without targets",
            data_centres: &DATA_CENTRES,
            changes: &[("mnl-x", true)],
            chosen: &DATA_CENTRES,
        },
        Case {
            name: "the only one",
            data_centres: &["mnl-a"],
            changes: &[("mnl-a", true)],
            chosen: &[],
        },
        Case {
            name: "all",
            data_centres: &DATA_CENTRES,
            changes: &[("mnl-a", true), ("mnl-b", true), ("mnl-c", true)],
            chosen: &[],
        },
    ];
    for case in cases {
        let mut placement = fleet(9, case.data_centres);
        for (data_centre, is_evacuated) in case.changes {
            assert!(placement.set_evacuated(data_centre, *is_evacuated), "{}", case.name);
            assert!(!placement.set_evacuated(data_centre, *is_evacuated), "{}", case.name);
        }
        let expected = case.chosen.iter().map(|it| it.to_string()).collect();
        assert_eq!(chosen_data_centres(&placement), expected, "{}", case.name);
        if case.chosen.is_empty() {
            let none_usable = PlacementDecision::Unplaced(UnplacedReason::NoneUsable);
            assert_eq!(choose(&placement, &[], NOW), none_usable, "{}", case.name);
        }
    }
}

#[test]
fn no_kind_of_request_is_sent_to_an_evacuated_target() {
    struct Case {
        name: &'static str,
        change: fn(&mut PlacementRequest),
    }
    let cases = [
        Case { name: "a first attempt", change: |_| {} },
        Case { name: "a continuation", change: |request| request.is_continuation = true },
        Case {
            name: "a stream bound to a software version",
            change: |request| request.software_version = Some("v1".to_string()),
        },
        Case {
            name: "a request of that data centre",
            change: |request| request.data_centre = "mnl-b".to_string(),
        },
        Case {
            name: "a retry after all others have failed",
            change: |request| request.avoid = vec!["i-1".to_string(), "i-3".to_string()],
        },
    ];
    for case in cases {
        // Targets 2 and 5 are in mnl-b and idle, the others have work.
        let mut placement = fleet(6, &DATA_CENTRES);
        for index in [1, 3, 4, 6] {
            let load = ReportedLoad { running: 5, slots: 6, ..ReportedLoad::default() };
            placement.observe_load(&format!("i-{index}"), load, NOW);
        }
        placement.set_evacuated("mnl-b", true);
        let mut request = request(&[]);
        (case.change)(&mut request);
        match placement.choose(&request, NOW) {
            PlacementDecision::Assigned(assignment) => {
                let target = &placement.targets()[&assignment.target].registration;
                assert_ne!(target.data_centre, "mnl-b", "{}", case.name);
            }
            decision => panic!("{}: {decision:?}", case.name),
        }
    }
}

#[test]
fn an_assignment_from_before_an_evacuation_is_not_written() {
    struct Case {
        name: &'static str,
        change: fn(&mut Placement),
        is_written: bool,
    }
    let cases = [
        Case { name: "no evacuation", change: |_| {}, is_written: true },
        Case {
            name: "its data centre",
            change: |placement| _ = placement.set_evacuated("mnl-a", true),
            is_written: false,
        },
        Case {
            name: "another one",
            change: |placement| _ = placement.set_evacuated("mnl-b", true),
            is_written: true,
        },
        Case {
            name: "begun and ended",
            change: |placement| {
                placement.set_evacuated("mnl-a", true);
                placement.set_evacuated("mnl-a", false);
            },
            is_written: true,
        },
        Case {
            name: "restarted meanwhile",
            change: |placement| {
                placement.set_evacuated("mnl-a", true);
                placement.set_target(registered(1, 2));
            },
            is_written: false,
        },
        Case {
            name: "removed and registered again",
            change: |placement| {
                placement.set_evacuated("mnl-a", true);
                placement.remove_target("i-1");
                placement.set_target(registered(1, 1));
            },
            is_written: false,
        },
    ];
    for case in cases {
        let mut placement = fleet(1, &["mnl-a"]);
        let PlacementDecision::Assigned(assignment) = choose(&placement, &[], NOW) else {
            panic!("{}: not placed", case.name)
        };
        (case.change)(&mut placement);
        let written = placement.take_share(&assignment, NOW).is_ok();
        assert_eq!(written, case.is_written, "{}", case.name);
    }
}

#[test]
fn a_request_that_is_not_written_takes_nothing_from_the_share_in_a_limit() {
    let mut placement = fleet(1, &["mnl-a"]);
    placement.set_entries("entry-1", vec!["entry-1".to_string()], Duration::ZERO);
    let PlacementDecision::Assigned(assignment) = choose(&placement, &[], NOW) else {
        panic!("not placed")
    };
    placement.note_limit(&assignment, RequestLimit { milli_requests_per_second: 1_000 }, NOW);
    // By then the share, which starts empty, has room for one request.
    let later = NOW + Duration::from_secs(3);
    placement.set_evacuated("mnl-a", true);
    for _ in 0..20 {
        assert!(placement.take_share(&assignment, later).is_err());
    }
    placement.set_evacuated("mnl-a", false);
    assert_eq!(placement.take_share(&assignment, later), Ok(()));
}
