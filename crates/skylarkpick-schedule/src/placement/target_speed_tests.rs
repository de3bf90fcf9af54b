//! Tests of what is learned of the speeds of single targets, and when it is used.

use super::{
    Assignment, Placement, PlacementDecision, PlacementPolicy, SpeedChange, SpeedLearning,
    TargetOutcome,
    target_speed::TargetPace,
    test_fleet::{SERVICE, choose, registered},
};
use skylarkpick_interface::{ReportedLoad, ServiceKind};
use std::{collections::BTreeMap, time::Duration};

const TARGETS: u8 = 3;
const SECOND: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(100);
/// Enough times that earlier ones no longer count.
const MANY: u32 = 30;

fn open(learning: SpeedLearning) -> Placement {
    let policy = PlacementPolicy { target_speeds: learning, ..PlacementPolicy::default() };
    let mut placement = Placement::open_with_policy(Duration::from_secs(10), policy);
    placement.set_services(&BTreeMap::from([(SERVICE.to_string(), ServiceKind::Plain)]));
    for index in 1..=TARGETS {
        placement.set_target(registered(index, 1));
    }
    placement
}

fn measure(placement: &mut Placement, index: u8, percent: u32, at: Duration) {
    placement.speeds.observe_time(&registered(index, 1), f64::from(percent), at);
}

/// Has all targets take the usual time except the first, which takes `first_percent` of it.
fn learn(placement: &mut Placement, first_percent: u32, count: u32, at: Duration) {
    for index in 1..=TARGETS {
        let percent = if index == 1 { first_percent } else { 100 };
        for _ in 0..count {
            measure(placement, index, percent, at - 2 * SECOND);
        }
    }
    // The usual speed is updated once a second.
    measure(placement, TARGETS, 100, at - SECOND);
    measure(placement, 1, first_percent, at);
}

fn pace(placement: &Placement, at: Duration) -> TargetPace {
    placement.speeds.pace(&registered(1, 1), placement.policy(), at)
}

fn slowness(placement: &Placement, at: Duration) -> f64 {
    pace(placement, at).slowness
}

fn report(placement: &mut Placement, slowness_percent: Option<u32>, at: Duration) {
    let load = ReportedLoad { running: 0, waiting: 0, slots: 6, slowness_percent };
    placement.observe_load("i-1", load, at);
}

fn assign_to(placement: &Placement, index: u8, at: Duration) -> Assignment {
    let others: Vec<u8> = (1..=TARGETS).filter(|other| *other != index).collect();
    match choose(placement, &others, at) {
        PlacementDecision::Assigned(assignment) => *assignment,
        PlacementDecision::Unplaced(why) => panic!("unplaced: {why:?}"),
    }
}

/// Guards against speeds that are learned where nobody asked for them, and not where they are.
#[test]
fn speeds_are_learned_only_where_they_are_switched_on() {
    struct Case {
        learning: SpeedLearning,
        reported_percent: Option<u32>,
        is_learned: bool,
    }
    let cases = [
        Case { learning: SpeedLearning::Reported, reported_percent: None, is_learned: false },
        Case { learning: SpeedLearning::Reported, reported_percent: Some(100), is_learned: true },
        Case { learning: SpeedLearning::Never, reported_percent: Some(300), is_learned: false },
        Case { learning: SpeedLearning::Always, reported_percent: None, is_learned: true },
    ];
    for Case { learning, reported_percent, is_learned } in cases {
        let mut placement = open(learning);
        report(&mut placement, reported_percent, START);
        for index in (1..=TARGETS).cycle().take(usize::from(TARGETS) * 30) {
            let assignment = assign_to(&placement, index, START);
            placement.begin(&assignment, None, START);
            let elapsed = Duration::from_millis(if index == 1 { 900 } else { 70 });
            placement.end(&assignment, TargetOutcome::Served, elapsed, START);
        }
        let later = START + SECOND;
        let assignment = assign_to(&placement, 2, later);
        placement.begin(&assignment, None, later);
        placement.end(&assignment, TargetOutcome::Served, SECOND / 14, later);
        let assignment = assign_to(&placement, 1, later);
        placement.begin(&assignment, None, later);
        placement.end(&assignment, TargetOutcome::Served, SECOND, later);
        let name = format!("{learning:?}, {reported_percent:?}");
        assert_eq!(pace(&placement, later) != TargetPace::default(), is_learned, "{name}");
        assert_eq!(!placement.take_speed_changes().is_empty(), is_learned, "{name}");
        assert_eq!(placement.speed_summary(later).is_some(), is_learned, "{name}");
    }
}

/// Guards against an estimate that follows single outliers, or that doesn't follow a change.
#[test]
fn the_estimate_follows_changes_in_both_directions_and_ignores_outliers() {
    struct Case {
        name: &'static str,
        before_percent: u32,
        then_percent: &'static [u32],
        expected: (f64, f64),
    }
    let cases = [
        Case { name: "alike", before_percent: 100, then_percent: &[], expected: (1.0, 1.0) },
        Case { name: "nearly alike", before_percent: 108, then_percent: &[], expected: (1.0, 1.0) },
        Case { name: "slower", before_percent: 130, then_percent: &[], expected: (1.2, 1.35) },
        Case { name: "faster", before_percent: 50, then_percent: &[], expected: (0.45, 0.6) },
        Case {
            name: "four outliers",
            before_percent: 100,
            then_percent: &[2_000; 4],
            expected: (1.0, 1.0),
        },
        Case {
            name: "slower from now on",
            before_percent: 100,
            then_percent: &[400; 6],
            expected: (2.0, 4.0),
        },
        Case {
            name: "recovered",
            before_percent: 400,
            then_percent: &[100; 6],
            expected: (1.0, 1.1),
        },
    ];
    for Case { name, before_percent, then_percent, expected } in cases {
        let mut placement = open(SpeedLearning::Always);
        learn(&mut placement, before_percent, MANY, START);
        for percent in then_percent {
            measure(&mut placement, 1, *percent, START);
        }
        let slowness = slowness(&placement, START);
        assert!((expected.0..=expected.1).contains(&slowness), "{name}: {slowness:.2}");
    }
}

/// Guards against a target that is never tried again after it was slow.
#[test]
fn a_target_without_requests_counts_as_usual_after_a_while() {
    struct Case {
        seconds: u64,
        expected: (f64, f64),
    }
    let cases = [
        Case { seconds: 9, expected: (3.0, 4.0) },
        Case { seconds: 25, expected: (1.5, 2.5) },
        Case { seconds: 41, expected: (1.0, 1.0) },
    ];
    for Case { seconds, expected } in cases {
        let mut placement = open(SpeedLearning::Always);
        learn(&mut placement, 400, MANY, START);
        let slowness = slowness(&placement, START + Duration::from_secs(seconds));
        let is_expected = (expected.0..=expected.1).contains(&slowness);
        assert!(is_expected, "after {seconds} s: {slowness:.2}");
    }
}

/// Guards against what is known of one start of a target being used for the next one.
#[test]
fn a_new_start_begins_without_an_estimate() {
    let mut placement = open(SpeedLearning::Always);
    learn(&mut placement, 400, MANY, START);
    placement.set_target(registered(1, 2));
    let speed = |placement: &Placement| {
        placement.speeds.pace(&registered(1, 2), placement.policy(), START).slowness
    };
    assert_eq!(speed(&placement), 1.0);
    // Responses of the start before, which arrive late.
    let assignment = Assignment { started_at_ms: 1, ..assign_to(&placement, 1, START) };
    for _ in 0..MANY {
        placement.end(&assignment, TargetOutcome::Served, 9 * SECOND, START);
    }
    assert_eq!(speed(&placement), 1.0);
}

/// Guards against a target that answers errors fast and draws requests with it.
#[test]
fn only_served_calls_are_measured() {
    struct Case {
        outcome: TargetOutcome,
        is_measured: bool,
    }
    let cases = [
        Case { outcome: TargetOutcome::Served, is_measured: true },
        Case { outcome: TargetOutcome::Failed, is_measured: false },
        Case { outcome: TargetOutcome::Rejected, is_measured: false },
        Case { outcome: TargetOutcome::Unknown, is_measured: false },
        Case { outcome: TargetOutcome::Unreachable, is_measured: false },
        Case { outcome: TargetOutcome::NotSent, is_measured: false },
    ];
    for Case { outcome, is_measured } in cases {
        let mut placement = open(SpeedLearning::Always);
        let assignment = assign_to(&placement, 1, START);
        placement.begin(&assignment, None, START);
        placement.end(&assignment, outcome, Duration::from_millis(1), START);
        assert_eq!(placement.speed_summary(START).is_some(), is_measured, "{outcome:?}");
    }
}

/// Guards against decisions by a reported figure that is no longer true, and against one that counts for a
/// target whose usual figure it is.
#[test]
fn a_reported_figure_counts_while_it_is_fresh_and_unusual() {
    struct Case {
        name: &'static str,
        reports_percent: &'static [u32],
        age_ms: u64,
        expected: (f64, f64),
    }
    let cases = [
        Case { name: "now", reports_percent: &[250], age_ms: 0, expected: (2.4, 2.6) },
        Case { name: "later", reports_percent: &[250], age_ms: 300, expected: (1.2, 1.6) },
        Case { name: "old", reports_percent: &[250], age_ms: 3_000, expected: (1.0, 1.01) },
        Case { name: "usual", reports_percent: &[130; 9], age_ms: 0, expected: (1.0, 1.0) },
        Case { name: "zero", reports_percent: &[100, 100, 0], age_ms: 0, expected: (0.25, 0.25) },
        Case { name: "huge", reports_percent: &[100, u32::MAX], age_ms: 0, expected: (8.0, 8.0) },
    ];
    for Case { name, reports_percent, age_ms, expected } in cases {
        let mut placement = open(SpeedLearning::Reported);
        for percent in reports_percent {
            report(&mut placement, Some(*percent), START);
        }
        let slowness = slowness(&placement, START + Duration::from_millis(age_ms));
        assert!((expected.0..=expected.1).contains(&slowness), "{name}: {slowness:.2}");
    }
}

/// Guards against a fixed lifetime of reports: figures of other services change at another rate.
#[test]
fn the_lifetime_of_reports_follows_the_rate_at_which_they_change() {
    struct Case {
        name: &'static str,
        /// Time for which the target is slow, and then fast.
        phase_ms: u64,
        step_ms: usize,
        expected: (f64, f64),
    }
    let cases = [
        Case { name: "short phases", phase_ms: 100, step_ms: 70, expected: (1.0, 1.1) },
        Case { name: "long phases", phase_ms: 20_000, step_ms: 600, expected: (1.6, 2.5) },
    ];
    for Case { name, phase_ms, step_ms, expected } in cases {
        let mut placement = open(SpeedLearning::Reported);
        // The target is slow in a quarter of the phases, so that its usual figure is 100.
        for now_ms in (0..400_000).step_by(step_ms) {
            let is_slow = (now_ms / phase_ms).is_multiple_of(4);
            let percent = if is_slow { 250 } else { 100 };
            report(&mut placement, Some(percent), START + Duration::from_millis(now_ms));
        }
        let end = START + Duration::from_millis(410_000);
        for _ in 0..8 {
            report(&mut placement, Some(100), end);
        }
        let later = end + Duration::from_secs(60);
        report(&mut placement, Some(250), later);
        let slowness = slowness(&placement, later + Duration::from_millis(300));
        assert!((expected.0..=expected.1).contains(&slowness), "{name}: {slowness:.2}");
    }
}

/// Guards against a log line with every time that is measured, and against memory that grows.
#[test]
fn changes_are_told_once_and_kept_in_bounded_number() {
    let mut placement = open(SpeedLearning::Always);
    learn(&mut placement, 100, MANY, START);
    assert_eq!(placement.take_speed_changes(), []);
    let mut changes: Vec<SpeedChange> = Vec::new();
    for _ in 0..1_000 {
        measure(&mut placement, 1, 400, START);
        changes.extend(placement.take_speed_changes());
    }
    assert!((1..=6).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().all(|it| it.target == "i-1" && it.to_percent > it.from_percent));
    for round in 0..1_000 {
        measure(&mut placement, 1, if round % 100 < 50 { 10 } else { 4_000 }, START);
    }
    assert!(placement.take_speed_changes().len() <= 32);
}
