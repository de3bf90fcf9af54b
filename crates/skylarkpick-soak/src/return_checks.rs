//! Checks that a return of the platform's store from a copy stops no service and revives no target
//! that drains.

use crate::{
    checks::{DRAIN_LIMIT, Finding},
    clients::MAIN_KEY,
    history::{Call, CallKind, DisturbanceScope, History},
};
use skylarkpick_platform_standin::Arrival;
use std::{collections::BTreeMap, time::Duration};

/// Time after a return in which requests count as sent around it.
const AFTER_RETURN: Duration = Duration::from_secs(5);
/// Requests around returns from which their share is judged.
const AROUND_FLOOR: usize = 20;
/// Part of the share of other requests that are served that requests around returns must reach.
const SERVED_PART: f64 = 0.5;

/// Checks the calls of a history around returns of the platform's store.
pub(crate) fn check_returns(history: &History, findings: &mut Vec<Finding>) {
    check_service(history, findings);
    check_draining(history, findings);
}

/// Requests are served at least half as often around returns as at other times.
fn check_service(history: &History, findings: &mut Vec<Finding>) {
    let is_counted = |call: &&Call| {
        let is_constant = CallKind::ALL.iter().any(|kind| kind.route() == call.route());
        is_constant
            && call.request.key == MAIN_KEY
            && call.request.resumes.is_none()
            && !call.disconnects_early
            && !history.crashing_paths.contains(&call.request.path)
            && history.has_targets(call.sent_at, call.ended_at)
            && history.is_undisturbed(call.sent_at, call.ended_at, |scope| match scope {
                DisturbanceScope::Process(it) | DisturbanceScope::PlannedRestart(it) => {
                    it == call.process
                }
                DisturbanceScope::TargetLink => true,
                DisturbanceScope::Platform
                | DisturbanceScope::Target
                | DisturbanceScope::AllTargets => false,
            })
    };
    let is_around = |call: &&Call| {
        let mut returns = history.store_returns.iter();
        returns.any(|(away, back)| call.sent_at >= *away && call.sent_at <= *back + AFTER_RETURN)
    };
    let (around, others): (Vec<&Call>, Vec<&Call>) =
        history.calls.iter().filter(is_counted).partition(is_around);
    let served = |calls: &[&Call]| {
        let served = calls.iter().filter(|call| call.response.status == Some(200)).count();
        served as f64 / calls.len().max(1) as f64
    };
    let (share, expected) = (served(&around), served(&others));
    if around.len() >= AROUND_FLOOR && share < SERVED_PART * expected {
        let evidence = format!("{share:.3} of {} served, {expected:.3} else", around.len());
        let rule = "requests are served also around a return of the platform's store";
        findings.push(Finding { rule, evidence });
    }
}

/// A process that must have learned in time that a target drains does not forget it later, whatever
/// becomes of the platform.
fn check_draining(history: &History, findings: &mut Vec<Finding>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
    for (target, began_at) in &history.draining {
        let learned_at = *began_at + DRAIN_LIMIT;
        let is_late = |it: &&Arrival| {
            let Some(call) = calls.get(it.attempt_id.as_str()) else { return false };
            let is_held =
                call.sent_at <= learned_at && history.has_link_fault(target, *began_at, it.at);
            it.target == *target
                && it.at > learned_at
                && !is_held
                && history.is_process_undisturbed(call.process, *began_at, learned_at)
                // Without any disturbance, the check of the drain limit reports it.
                && !history.is_process_undisturbed(call.process, *began_at, it.at)
                && history.keeps_state(call.process, *began_at, it.at)
        };
        let late = history.arrivals.iter().filter(is_late);
        let describe =
            |it: &Arrival| format!("{} at {:.3} s", it.attempt_id, history.seconds(it.at));
        let late: Vec<String> = late.map(describe).collect();
        if !late.is_empty() {
            let rule = "a process does not forget that a target drains";
            let began_at = history.seconds(*began_at);
            let evidence = format!("{target} drains from {began_at:.3} s, then {late:?}");
            findings.push(Finding { rule, evidence });
        }
    }
}
