//! Checks that targets that say that they are brittle seldom fall over.

use crate::{
    checks::Finding,
    history::{BrittleTime, Call, History},
};
use skylarkpick_platform_standin::Arrival;
use std::{collections::BTreeMap, time::Duration};

/// Falls that are allowed in a brittle time, as a number and a share of the targets.
const ALLOWED_FALLS: (f64, f64) = (2.0, 0.1);
/// Time in which a target counts what it turns away.
const COUNTED_TIME: Duration = Duration::from_secs(1);

/// Checks the falls of targets in each brittle time of a history. A fall counts if most of the
/// requests that the target turned away before came to processes in touch.
pub(crate) fn check_brittle_times(history: &History, findings: &mut Vec<Finding>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
    for time in &history.brittle_times {
        check_brittle_time(history, &calls, time, findings);
    }
}

fn check_brittle_time(
    history: &History,
    calls: &BTreeMap<&str, &Call>,
    time: &BrittleTime,
    findings: &mut Vec<Finding>,
) {
    let is_within = |it: &&Arrival| (time.from..=time.until).contains(&it.at);
    let is_in_touch = |it: &Arrival| {
        let call = calls.get(it.attempt_id.as_str());
        call.is_some_and(|call| history.is_in_touch(call.process, it.at, it.at))
    };
    let falls: Vec<&Arrival> =
        history.arrivals.iter().filter(|it| it.has_fallen).filter(is_within).collect();
    let counts = |fall: &&&Arrival| {
        let is_cause = |it: &&Arrival| {
            it.is_turned_away
                && it.target == fall.target
                && it.started_at_ms == fall.started_at_ms
                && it.at <= fall.at
                && it.at + COUNTED_TIME > fall.at
        };
        let (in_touch, others): (Vec<&Arrival>, Vec<&Arrival>) =
            history.arrivals.iter().filter(is_cause).partition(|it| is_in_touch(it));
        in_touch.len() > others.len()
    };
    let counted: Vec<&&Arrival> = falls.iter().filter(counts).collect();
    let allowed = ALLOWED_FALLS.0 + ALLOWED_FALLS.1 * time.targets as f64;
    if counted.len() as f64 > allowed {
        let rule = "brittle targets fall over at most twice and for a tenth of them";
        let fallen: Vec<String> = counted
            .iter()
            .map(|it| format!("{} at {:.3} s", it.target, history.seconds(it.at)))
            .collect();
        let evidence = format!(
            "{} falls of {} targets from {:.3} to {:.3} s, allowed {allowed}, {} in all: {fallen:?}",
            counted.len(),
            time.targets,
            history.seconds(time.from),
            history.seconds(time.until),
            falls.len(),
        );
        findings.push(Finding { rule, evidence });
    }
}
