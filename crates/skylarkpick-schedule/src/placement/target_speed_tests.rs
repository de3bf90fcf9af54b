//! Tests of what is learned of the speeds of single targets, and when it is used.

use super::{
    Assignment, Placement, PlacementDecision, PlacementPolicy, SpeedChange, SpeedLearning,
    SpeedSample, TargetOutcome,
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

fn sample(index: u8, started_at_ms: u64, ratio_percent: u32) -> SpeedSample {
    let target = format!("i-{index}");
    SpeedSample { target, started_at_ms, ratio_percent, load_percent: None }
}

/// Has all targets take the usual time except the first, which takes `first_percent` of it.
fn learn(placement: &mut Placement, first_percent: u32, count: u32, at: Duration) {
    for index in 1..=TARGETS {
        let percent = if index == 1 { first_percent } else { 100 };
        for _ in 0..count {
            placement.merge_speeds(&[sample(index, 1, percent)], at - 2 * SECOND);
        }
    }
    // The usual speed is updated once a second.
    placement.merge_speeds(&[sample(TARGETS, 1, 100)], at - SECOND);
    placement.merge_speeds(&[sample(1, 1, first_percent)], at);
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

fn assign(placement: &Placement, at: Duration) -> Assignment {
    match choose(placement, &[2, 3], at) {
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
        learn(&mut placement, 300, MANY, START);
        let assignment = assign(&placement, START);
        placement.begin(&assignment, None, START);
        let elapsed = Duration::from_millis(70);
        placement.end(&assignment, TargetOutcome::Served, elapsed, START + elapsed);
        let name = format!("{learning:?}, {reported_percent:?}");
        assert_eq!(pace(&placement, START) != TargetPace::default(), is_learned, "{name}");
        assert_eq!(placement.take_speeds_to_tell().len(), usize::from(is_learned), "{name}");
        assert_eq!(!placement.take_speed_changes().is_empty(), is_learned, "{name}");
        assert_eq!(placement.speed_summary(START).is_some(), is_learned, "{name}");
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
            placement.merge_speeds(&[sample(1, 1, *percent)], START);
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
    for _ in 0..MANY {
        placement.merge_speeds(&[sample(1, 1, 400)], START);
    }
    assert_eq!(speed(&placement), 1.0, "late notices of the start before");
}

/// Guards against a target that answers errors fast and draws requests with it.
#[test]
fn only_served_calls_are_measured() {
    struct Case {
        outcome: TargetOutcome,
        measured: usize,
    }
    let cases = [
        Case { outcome: TargetOutcome::Served, measured: 1 },
        Case { outcome: TargetOutcome::Failed, measured: 0 },
        Case { outcome: TargetOutcome::Rejected, measured: 0 },
        Case { outcome: TargetOutcome::Unknown, measured: 0 },
        Case { outcome: TargetOutcome::Unreachable, measured: 0 },
        Case { outcome: TargetOutcome::NotSent, measured: 0 },
    ];
    for Case { outcome, measured } in cases {
        let mut placement = open(SpeedLearning::Always);
        let assignment = assign(&placement, START);
        placement.begin(&assignment, None, START);
        placement.end(&assignment, outcome, Duration::from_millis(1), START);
        assert_eq!(placement.take_speeds_to_tell().len(), measured, "{outcome:?}");
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

/// Guards against a load limit where times don't grow, and against none where they do.
#[test]
fn the_handled_load_is_that_from_which_times_grow() {
    struct Case {
        name: &'static str,
        grows_from_percent: u32,
        expected: f64,
    }
    let cases = [
        Case { name: "never", grows_from_percent: 1_000, expected: f64::INFINITY },
        Case { name: "from half of the slots", grows_from_percent: 50, expected: 0.5 },
        Case { name: "from three quarters", grows_from_percent: 75, expected: 0.75 },
    ];
    for Case { name, grows_from_percent, expected } in cases {
        let mut placement = open(SpeedLearning::Always);
        for load_percent in (0..1_000).map(|index| index * 35 % 100) {
            let ratio_percent = if load_percent >= grows_from_percent { 300 } else { 100 };
            for index in 1..=TARGETS {
                let load_percent = Some(load_percent);
                let sample = SpeedSample { load_percent, ..sample(index, 1, ratio_percent) };
                placement.merge_speeds(&[sample], START);
            }
        }
        assert_eq!(pace(&placement, START).handled_share, expected, "{name}");
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
        placement.merge_speeds(&[sample(1, 1, 400)], START);
        changes.extend(placement.take_speed_changes());
    }
    assert!((1..=6).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().all(|it| it.target == "i-1" && it.to_percent > it.from_percent));
    for round in 0..1_000 {
        let assignment = assign(&placement, START);
        placement.begin(&assignment, None, START);
        let elapsed = Duration::from_millis(if round % 100 < 50 { 10 } else { 900 });
        placement.end(&assignment, TargetOutcome::Served, elapsed, START);
    }
    assert_eq!(placement.take_speeds_to_tell().len(), 32);
    assert!(placement.take_speed_changes().len() <= 32);
}
