//! Tests of limits that targets name for all entry processes together.

use super::{
    Assignment, LimitChange, Placement, PlacementDecision, UnplacedReason,
    test_fleet::{address, choose, fleet, registered},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use skylarkpick_interface::{EntryId, RequestLimit};
use std::{collections::VecDeque, time::Duration};

const SECOND: Duration = Duration::from_secs(1);
/// Time at which the target names its limit.
const NAMED_AT: Duration = Duration::from_secs(100);
/// Time from which the limit has to be kept, and in which requests are counted, by the users' rule.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
const COUNTED_TIME: Duration = Duration::from_secs(4);

fn limit(requests_per_second: f64) -> RequestLimit {
    RequestLimit { milli_requests_per_second: (requests_per_second * 1_000.0) as u64 }
}

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<EntryId> {
    numbers.into_iter().map(|number| format!("entry-{number}")).collect()
}

/// Returns the placement of a process that knows these processes, and targets.
fn process(number: usize, known: Vec<EntryId>, targets: u8) -> Placement {
    let mut placement = fleet(targets);
    placement.set_entries(&format!("entry-{number}"), known, Duration::ZERO);
    placement
}

fn assignment(placement: &Placement, now: Duration) -> Option<Assignment> {
    match choose(placement, &[], now) {
        PlacementDecision::Assigned(assignment) => Some(*assignment),
        PlacementDecision::Unplaced(_) => None,
    }
}

/// Sends a request as a process does. Returns whether it was written.
fn send(placement: &mut Placement, now: Duration) -> bool {
    let assignment = assignment(placement, now);
    assignment.is_some_and(|assignment| placement.take_share(&assignment, now).is_ok())
}

/// Requests that reached a target, and the largest number within the counted time.
#[derive(Default)]
struct Counted {
    recent: VecDeque<Duration>,
    most: usize,
    total: usize,
}

impl Counted {
    fn note(&mut self, at: Duration) {
        if at < NAMED_AT + CONTACT_WINDOW {
            return;
        }
        self.total += 1;
        self.recent.push_back(at);
        while self.recent.front().is_some_and(|first| *first + COUNTED_TIME <= at) {
            self.recent.pop_front();
        }
        self.most = self.most.max(self.recent.len());
    }
}

/// Returns how many requests the users' rule allows within the counted time.
fn allowed(requests_per_second: f64) -> usize {
    (1.5 * requests_per_second * COUNTED_TIME.as_secs_f64() + 5.0).floor() as usize
}

const FLEETS: [usize; 5] = [1, 2, 7, 40, 360];
/// Time between two moments at which processes send all that their shares allow.
const STEP: Duration = Duration::from_millis(50);
const LIMITS: [f64; 8] = [0.05, 0.3, 1.0, 1.5, 4.0, 8.0, 20.0, 50.0];

#[test]
fn all_processes_together_keep_to_a_limit_and_make_use_of_it() {
    for fleet in FLEETS {
        for requests_per_second in LIMITS {
            let mut processes: Vec<Placement> =
                (0..fleet).map(|number| process(number, names(0..fleet), 1)).collect();
            let mut counted = Counted::default();
            for placement in &mut processes {
                placement.note_limit_at(address(1), limit(requests_per_second), NAMED_AT);
            }
            let steps = 600;
            for index in 0..steps {
                let now = NAMED_AT + STEP * index;
                for placement in &mut processes {
                    while send(placement, now) {
                        counted.note(now);
                    }
                }
            }
            let (most, allowed) = (counted.most, allowed(requests_per_second));
            assert!(most <= allowed, "{fleet} at {requests_per_second}: {most} of {allowed}");
            let seconds = (STEP * steps - CONTACT_WINDOW).as_secs_f64();
            let least = (0.7 * requests_per_second * seconds).floor() as usize;
            assert!(
                counted.total + 1 >= least,
                "{fleet} at {requests_per_second}: {} of {least}",
                counted.total
            );
        }
    }
}

#[test]
fn processes_that_know_of_each_other_at_different_times_keep_to_a_limit_together() {
    struct Case {
        name: &'static str,
        /// Processes before the change.
        before: fn(usize) -> Vec<usize>,
        /// Processes after it.
        after: fn(usize) -> Vec<usize>,
    }
    let cases = [
        Case {
            name: "half as many start",
            before: |fleet| (0..fleet).collect(),
            after: |fleet| (0..fleet + fleet.div_ceil(2)).collect(),
        },
        Case {
            name: "a third ends",
            before: |fleet| (0..fleet).collect(),
            after: |fleet| (fleet / 3..fleet).collect(),
        },
        Case {
            name: "a third is replaced",
            before: |fleet| (0..fleet).collect(),
            after: |fleet| (fleet / 3..fleet + fleet / 3).collect(),
        },
    ];
    for Case { name, before, after } in cases {
        for fleet in [3, 7, 40, 360] {
            for requests_per_second in LIMITS {
                let seed = fleet as u64;
                let mut random = StdRng::seed_from_u64(seed);
                let (old, new) = (before(fleet), after(fleet));
                let mut running: Vec<usize> = old.iter().chain(&new).copied().collect();
                running.sort_unstable();
                running.dedup();
                let target_limit = limit(requests_per_second);
                // Each learns of the change at a time of its own; those that are gone for the others
                // are only cut off from them, and never do.
                let mut processes: Vec<(Placement, usize, Duration)> = running
                    .iter()
                    .map(|number| {
                        let is_new = !old.contains(number);
                        let known = if is_new { names(new.clone()) } else { names(old.clone()) };
                        let mut placement = process(*number, known, 1);
                        placement.note_limit_at(address(1), target_limit, NAMED_AT);
                        let is_cut = !new.contains(number);
                        let delay = 5.0 + 10.0 * random.random::<f64>();
                        let learns_at = if is_cut || is_new {
                            Duration::MAX
                        } else {
                            NAMED_AT + Duration::from_secs_f64(delay)
                        };
                        (placement, *number, learns_at)
                    })
                    .collect();
                let mut counted = Counted::default();
                for index in 0..400 {
                    let now = NAMED_AT + STEP * index;
                    for (placement, number, learns_at) in &mut processes {
                        if now >= *learns_at {
                            placement.set_entries(
                                &format!("entry-{number}"),
                                names(new.clone()),
                                now,
                            );
                            *learns_at = Duration::MAX;
                        }
                        while send(placement, now) {
                            counted.note(now);
                        }
                    }
                }
                let (most, allowed) = (counted.most, allowed(requests_per_second));
                assert!(
                    most <= allowed,
                    "{name}, {fleet} at {requests_per_second}: {most} of {allowed}"
                );
            }
        }
    }
}

#[test]
fn another_target_takes_the_requests_beyond_a_limit() {
    let mut placement = process(0, names(0..1), 2);
    placement.note_limit_at(address(1), limit(1.0), NAMED_AT);
    for _ in 0..20 {
        let assignment = assignment(&placement, NAMED_AT).unwrap();
        assert_eq!(assignment.target, "i-2");
        assert!(placement.take_share(&assignment, NAMED_AT).is_ok());
    }
}

#[test]
fn requests_are_refused_with_the_time_until_a_limit_has_room() {
    let mut placement = process(0, names(0..1), 2);
    placement.note_limit_at(address(1), limit(1.0), NAMED_AT);
    placement.note_limit_at(address(2), limit(4.0), NAMED_AT);
    let PlacementDecision::Unplaced(UnplacedReason::HeldOff { wait }) =
        choose(&placement, &[], NAMED_AT)
    else {
        panic!("the request is refused");
    };
    assert!(wait > Duration::ZERO && wait < SECOND, "{wait:?}");
    assert!(assignment(&placement, NAMED_AT + wait).is_some(), "there is room after the wait");
}

#[test]
fn what_was_placed_before_is_held_back_when_the_share_is_used_up() {
    let mut placement = process(0, names(0..1), 1);
    let early: Vec<Assignment> =
        (0..5).map(|_| assignment(&placement, NAMED_AT).unwrap()).collect();
    placement.note_limit_at(address(1), limit(0.3), NAMED_AT);
    let later = NAMED_AT + SECOND * 30;
    let written = early.iter().filter(|it| placement.take_share(it, later).is_ok()).count();
    assert_eq!(written, 1);
}

#[test]
fn a_limit_ends_by_a_later_response_another_start_or_after_a_long_silence() {
    struct Case {
        name: &'static str,
        change: fn(&mut Placement, &Assignment),
        after: Duration,
        is_limited: bool,
    }
    let cases = [
        Case {
            name: "a response to a later request",
            change: |placement, assignment| {
                let change = placement.note_no_limit(assignment, NAMED_AT + SECOND);
                assert_eq!(change, LimitChange::Ended);
            },
            after: SECOND,
            is_limited: false,
        },
        Case {
            name: "a response that was overtaken",
            change: |placement, assignment| {
                let change = placement.note_no_limit(assignment, NAMED_AT - SECOND);
                assert_eq!(change, LimitChange::None);
            },
            after: SECOND,
            is_limited: true,
        },
        Case {
            name: "a record of the same start",
            change: |placement, _| {
                placement.remove_target("i-1");
                placement.set_target(registered(1, 1));
            },
            after: SECOND,
            is_limited: true,
        },
        Case {
            name: "another start",
            change: |placement, _| _ = placement.set_target(registered(1, 2)),
            after: SECOND,
            is_limited: false,
        },
        Case {
            name: "another process's word",
            change: |placement, _| {
                let change = placement.merge_limit("i-1", 1, None, NAMED_AT + SECOND);
                assert_eq!(change, LimitChange::Ended);
            },
            after: SECOND,
            is_limited: false,
        },
        Case {
            name: "another process's word that may be older",
            change: |placement, _| {
                let change = placement.merge_limit("i-1", 1, None, NAMED_AT);
                assert_eq!(change, LimitChange::None);
            },
            after: SECOND,
            is_limited: true,
        },
        Case {
            name: "another process's word on another start",
            change: |placement, _| {
                let change = placement.merge_limit("i-1", 7, None, NAMED_AT + SECOND);
                assert_eq!(change, LimitChange::None);
            },
            after: SECOND,
            is_limited: true,
        },
        Case {
            name: "a long silence",
            change: |_, _| {},
            after: Duration::from_secs(600),
            is_limited: false,
        },
    ];
    for Case { name, change, after, is_limited } in cases {
        let mut placement = process(0, names(0..7), 1);
        let early = assignment(&placement, NAMED_AT).unwrap();
        assert_eq!(
            placement.note_limit(&early, limit(2.0), NAMED_AT),
            LimitChange::Kept(limit(2.0))
        );
        assert_eq!(placement.note_limit(&early, limit(2.0), NAMED_AT), LimitChange::None);
        change(&mut placement, &early);
        let target = placement.targets()["i-1"].registration.clone();
        assert_eq!(placement.is_limited(&target, NAMED_AT + after), is_limited, "{name}");
    }
}

#[test]
fn limits_are_kept_within_bounds() {
    struct Case {
        named: u64,
        kept: u64,
    }
    let cases = [
        Case { named: 0, kept: 50 },
        Case { named: 300, kept: 300 },
        Case { named: u64::MAX, kept: 1_000_000_000 },
    ];
    for Case { named, kept } in cases {
        let mut placement = process(0, names(0..7), 1);
        let named = RequestLimit { milli_requests_per_second: named };
        let kept = RequestLimit { milli_requests_per_second: kept };
        let change = placement.note_limit_at(address(1), named, NAMED_AT);
        assert_eq!(change, LimitChange::Kept(kept));
    }
}
