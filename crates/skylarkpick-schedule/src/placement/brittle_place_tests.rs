//! Tests of which requests this process may have under way at brittle targets.

use super::{
    Assignment, Placement, PlacementDecision, TargetOutcome, UnplacedReason,
    test_fleet::{choose, fleet, registered},
};
use skylarkpick_interface::{EntryId, RegisteredTarget, ReportedLoad, TargetId};
use std::{collections::BTreeMap, time::Duration};

const SECOND: Duration = Duration::from_secs(1);
const NOW: Duration = Duration::from_secs(100);
const SLOTS: usize = 6;

/// Returns a placement of this many brittle targets, whose first entry process it is.
fn brittle_fleet(targets: u8, processes: usize) -> Placement {
    brittle_fleet_of(0, targets, processes)
}

/// Returns the placement of one of several processes before brittle targets.
fn brittle_fleet_of(own: usize, targets: u8, processes: usize) -> Placement {
    let mut placement = fleet(targets);
    placement.set_entries(&format!("entry-{own}"), names(processes), NOW - SECOND * 10);
    let assignment = assigned(&placement, NOW).unwrap();
    placement.note_brittle(&assignment, NOW);
    placement
}

fn names(processes: usize) -> Vec<EntryId> {
    (0..processes).map(|number| format!("entry-{number}")).collect()
}

fn assigned(placement: &Placement, now: Duration) -> Option<Assignment> {
    match choose(placement, &[], now) {
        PlacementDecision::Assigned(assignment) => Some(*assignment),
        PlacementDecision::Unplaced(_) => None,
    }
}

/// Begins as many requests as may be under way.
fn fill(placement: &mut Placement, now: Duration) -> Vec<Assignment> {
    let next = || {
        placement.refresh_places(now);
        let assignment = assigned(placement, now)?;
        placement.begin(&assignment, None, now);
        Some(assignment)
    };
    std::iter::from_fn(next).take(SLOTS * 10).collect()
}

#[test]
fn a_record_that_is_removed_and_written_again_frees_no_place() {
    let mut placement = brittle_fleet(1, 1);
    let mut under_way = fill(&mut placement, NOW);
    assert_eq!(under_way.len(), SLOTS);
    placement.remove_target("i-1");
    placement.set_target(registered(1, 1));
    // Another number of targets would be divided anew within the interval.
    let now = NOW + SECOND;
    assert_eq!(fill(&mut placement, now).len(), 0);
    let ended = under_way.pop().unwrap();
    placement.end(&ended, TargetOutcome::Served, SECOND, now);
    assert_eq!(fill(&mut placement, now).len(), 1);
}

#[test]
fn ends_of_requests_at_an_earlier_start_free_no_place_of_the_next() {
    let mut placement = brittle_fleet(1, 1);
    let earlier = fill(&mut placement, NOW);
    placement.set_target(registered(1, 2));
    let now = NOW + SECOND;
    let under_way = fill(&mut placement, now);
    assert_eq!(under_way.len(), SLOTS);
    for ended in &earlier {
        placement.end(ended, TargetOutcome::Unknown, SECOND, now);
    }
    let now = now + SECOND * 2;
    assert_eq!(fill(&mut placement, now).len(), 0);
}

/// Guards against a place in memory for each slot of a registration that names billions of them.
#[test]
fn a_target_that_registers_very_many_slots_has_a_bounded_number_of_places() {
    for slots in [5_000, u32::MAX] {
        let mut placement = fleet(0);
        placement.set_target(RegisteredTarget { slots, ..registered(1, 1) });
        placement.set_entries("entry-0", names(1), NOW - SECOND * 10);
        let assignment = assigned(&placement, NOW).unwrap();
        placement.note_brittle(&assignment, NOW);
        let mut under_way = 0_u32;
        placement.refresh_places(NOW);
        while let Some(assignment) = assigned(&placement, NOW).filter(|_| under_way < 5_000) {
            placement.begin(&assignment, None, NOW);
            under_way += 1;
        }
        assert_eq!(under_way, 1_024, "{slots} slots");
    }
}

/// Guards against a report whose sum of requests overflows and makes a full target look idle.
#[test]
fn a_target_with_more_requests_than_32_bits_hold_is_not_idle() {
    let mut placement = fleet(2);
    let load =
        |running, waiting| ReportedLoad { running, waiting, slots: 6, slowness_percent: None };
    placement.observe_load("i-1", load(u32::MAX, 1), NOW);
    placement.observe_load("i-2", load(5, 0), NOW);
    assert_eq!(assigned(&placement, NOW).unwrap().target, "i-2");
}

#[test]
fn a_target_that_reports_fewer_slots_than_its_record_names_runs_no_more() {
    let mut placement = brittle_fleet(1, 1);
    placement.observe_load(
        "i-1",
        ReportedLoad { running: 3, waiting: 0, slots: 3, slowness_percent: None },
        NOW,
    );
    assert_eq!(fill(&mut placement, NOW).len(), 3);
}

#[test]
fn a_request_that_avoids_all_targets_with_places_of_its_process_goes_to_another_one() {
    let targets = 12;
    let placement = brittle_fleet(targets, 30);
    let mut filled = placement.clone();
    let owned: Vec<u8> = fill(&mut filled, NOW)
        .iter()
        .map(|assignment| assignment.target[2..].parse().unwrap())
        .collect();
    assert!((2..=3).contains(&owned.len()), "{owned:?}");
    let decision = choose(&placement, &owned, NOW);
    let expected = UnplacedReason::NoPlace { wait: None };
    assert_eq!(decision, PlacementDecision::Unplaced(expected));
    let decision = choose(&filled, &owned[1..], NOW);
    let waits = |why| matches!(why, UnplacedReason::NoPlace { wait: Some(_) });
    assert!(matches!(decision, PlacementDecision::Unplaced(why) if waits(why)), "{decision:?}");
}

struct Removals {
    processes: usize,
    removed: usize,
    /// Processes that are removed at a time.
    group: usize,
    interval: Duration,
}

/// Request that runs at a target.
struct Run {
    process: usize,
    assignment: Assignment,
    ends_at: Duration,
}

/// Removes the last processes in groups, while the others send as many requests as they may. Returns the
/// most that a target had under way.
fn remove_in_groups(removals: &Removals) -> usize {
    const RUN_TIME: Duration = Duration::from_millis(600);
    const STEP: Duration = Duration::from_millis(20);
    let Removals { processes, removed, group, interval } = *removals;
    let mut placements: Vec<Placement> =
        (0..processes - removed).map(|own| brittle_fleet_of(own, 12, processes)).collect();
    let (mut runs, mut most): (Vec<Run>, usize) = (Vec::new(), 0);
    let mut now = NOW;
    while now < NOW + SECOND * 8 {
        for run in runs.extract_if(.., |run| run.ends_at <= now) {
            let placement = &mut placements[run.process];
            placement.end(&run.assignment, TargetOutcome::Served, RUN_TIME, now);
        }
        let groups = ((now - NOW).as_millis() / interval.as_millis()) as usize;
        let left = processes - removed.min(groups * group);
        for (process, placement) in placements.iter_mut().enumerate() {
            placement.set_entries(&format!("entry-{process}"), names(left), now);
            placement.merge_brittle("i-1", 1, true, now);
            let begun = fill(placement, now);
            let ends_at = now + RUN_TIME;
            runs.extend(begun.into_iter().map(|assignment| Run { process, assignment, ends_at }));
        }
        let mut under_way: BTreeMap<&TargetId, usize> = BTreeMap::new();
        for run in &runs {
            *under_way.entry(&run.assignment.target).or_default() += 1;
        }
        most = most.max(under_way.into_values().max().unwrap_or_default());
        now += STEP;
    }
    most
}

#[test]
fn places_that_move_twice_are_not_used_beside_a_request_of_their_first_owner() {
    let interval = Duration::from_millis(300);
    let cases = [
        Removals { processes: 30, removed: 15, group: 4, interval },
        Removals { processes: 30, removed: 15, group: 1, interval: interval / 2 },
        Removals { processes: 8, removed: 4, group: 1, interval },
        Removals { processes: 60, removed: 40, group: 4, interval },
    ];
    let most: Vec<usize> = cases.iter().map(remove_in_groups).collect();
    assert!(
        most.iter().all(|most| *most <= SLOTS),
        "{most:?} under way at a target of {SLOTS} slots"
    );
}
