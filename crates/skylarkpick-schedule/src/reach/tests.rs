//! Tests of when a process counts as cut off from a service, and of who serves for it.

use super::{ConnectFailure, Helpers, ServiceReach};
use std::time::Duration;

const SERVICE: &str = "svc";

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(60_000 + milliseconds)
}

/// What happened to a connection.
#[derive(Clone, Copy)]
enum Connect {
    Opened,
    Refused(&'static str),
    /// Begun so many milliseconds before.
    TimedOut(&'static str, u64),
}

#[test]
fn a_service_is_suspected_only_if_no_connection_to_it_opens() {
    struct Case {
        name: &'static str,
        targets: usize,
        connects: &'static [(u64, Connect)],
        is_suspected: bool,
    }
    use Connect::{Opened, Refused, TimedOut};
    let cases = [
        Case {
            name: "one ended",
            targets: 3,
            connects: &[(0, Refused("i-1"))],
            is_suspected: false,
        },
        Case {
            name: "one ended, noticed twice",
            targets: 3,
            connects: &[(0, Refused("i-1")), (90, Refused("i-1"))],
            is_suspected: false,
        },
        Case {
            name: "two refuse",
            targets: 3,
            connects: &[(0, Refused("i-1")), (1, Refused("i-2"))],
            is_suspected: true,
        },
        Case {
            name: "two ended at different times",
            targets: 3,
            connects: &[(0, Refused("i-1")), (3_100, Refused("i-2"))],
            is_suspected: false,
        },
        Case {
            name: "the only one refuses",
            targets: 1,
            connects: &[(0, Refused("i-1"))],
            is_suspected: true,
        },
        Case {
            name: "one silent",
            targets: 3,
            connects: &[(350, TimedOut("i-1", 350))],
            is_suspected: true,
        },
        Case {
            name: "one silent beside others",
            targets: 3,
            connects: &[(100, Opened), (350, TimedOut("i-1", 350))],
            is_suspected: false,
        },
        Case {
            name: "silent since the last connection",
            targets: 3,
            connects: &[(0, Opened), (400, TimedOut("i-1", 350))],
            is_suspected: true,
        },
    ];
    for case in cases {
        let mut reach = ServiceReach::default();
        let mut is_suspected = false;
        for (at, connect) in case.connects {
            let now = ms(*at);
            let (target, failure, began) = match connect {
                Opened => {
                    reach.note_connected(SERVICE, now);
                    continue;
                }
                Refused(target) => (target, ConnectFailure::Refused, now),
                TimedOut(target, before) => (target, ConnectFailure::TimedOut, ms(at - before)),
            };
            is_suspected = reach.note_failed(SERVICE, target, failure, case.targets, began, now);
        }
        assert_eq!(is_suspected, case.is_suspected, "{}", case.name);
        assert!(!reach.is_cut_off(SERVICE), "{}: not before a round of probes", case.name);
    }
}

#[test]
fn two_rounds_of_probes_in_a_row_end_a_cut_and_one_if_nobody_serves() {
    struct Case {
        rounds: &'static [bool],
        has_helper: bool,
        is_cut_off: bool,
    }
    let cases = [
        Case { rounds: &[true], has_helper: true, is_cut_off: false },
        Case { rounds: &[false], has_helper: true, is_cut_off: true },
        Case { rounds: &[false, true], has_helper: true, is_cut_off: true },
        Case { rounds: &[false, true, false, true], has_helper: true, is_cut_off: true },
        Case { rounds: &[false, true, true], has_helper: true, is_cut_off: false },
        Case { rounds: &[true, true, false], has_helper: true, is_cut_off: true },
        Case { rounds: &[false, true], has_helper: false, is_cut_off: false },
    ];
    for case in cases {
        let mut reach = ServiceReach::default();
        for (round, is_reached) in case.rounds.iter().enumerate() {
            let now = ms(round as u64 * 250);
            reach.note_probed(SERVICE, *is_reached, case.has_helper, now);
        }
        assert_eq!(reach.is_cut_off(SERVICE), case.is_cut_off, "{:?}", case.rounds);
        assert!(!reach.is_cut_off("another"), "each service alone");
    }
}

#[test]
fn requests_are_spread_over_the_processes_that_reach_the_service() {
    let mut helpers = Helpers::default();
    helpers.note_answer("near-1", true, true, ms(0));
    helpers.note_answer("near-2", true, true, ms(0));
    helpers.note_answer("far-1", true, false, ms(0));
    helpers.note_answer("cut-off", false, true, ms(0));
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..40 {
        let chosen = helpers.choose(&[], ms(100)).unwrap();
        helpers.begin(&chosen);
        *counts.entry(chosen).or_insert(0) += 1;
    }
    let counts: Vec<(&str, i32)> = counts.iter().map(|(name, it)| (name.as_str(), *it)).collect();
    assert_eq!(counts, [("far-1", 11), ("near-1", 15), ("near-2", 14)]);
    helpers.note_refused("near-1");
    let avoid = ["near-2".to_string()];
    assert_eq!(helpers.choose(&avoid, ms(100)).as_deref(), Some("far-1"));
    assert_eq!(helpers.choose(&avoid, ms(2_600)), None, "what they said is too old");
}

#[test]
fn a_process_serves_a_bounded_number_of_requests_for_another() {
    let mut helpers = Helpers::default();
    helpers.note_answer("only", true, true, ms(0));
    let mut served = 0;
    while let Some(chosen) = helpers.choose(&[], ms(0)) {
        helpers.begin(&chosen);
        served += 1;
    }
    assert_eq!(served, 48);
    helpers.end("only");
    assert_eq!(helpers.choose(&[], ms(0)).as_deref(), Some("only"));
}
