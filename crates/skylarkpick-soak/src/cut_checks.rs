//! Checks that processes that are cut off from all targets serve their callers.

use crate::{
    checks::Finding,
    clients::MAIN_KEY,
    history::{Call, CallKind, History, TargetCut},
};
use std::time::Duration;

/// Time after the start of a cut from which requests are counted, as the users' rule has it.
const CUT_WINDOW: Duration = Duration::from_secs(3);
/// Part of the share of the others' requests that processes that are cut off have to serve.
const SERVED_PART: f64 = 2.0 / 3.0;
/// Requests of which as many may fail whatever the others serve, as a number and a share.
const FAILED_FLOOR: (usize, f64) = (10, 0.02);

/// Checks each cut of a history from three seconds after its start on.
pub(crate) fn check_cuts(history: &History, findings: &mut Vec<Finding>) {
    for cut in &history.cuts {
        check_cut(history, cut, findings);
    }
}

fn check_cut(history: &History, cut: &TargetCut, findings: &mut Vec<Finding>) {
    let from = cut.from + CUT_WINDOW;
    let is_counted = |call: &&Call| {
        let is_constant = CallKind::ALL.iter().any(|kind| kind.route() == call.route());
        is_constant
            && (from..cut.until).contains(&call.sent_at)
            && call.request.key == MAIN_KEY
            && call.request.resumes.is_none()
            && !call.disconnects_early
            && !history.crashing_paths.contains(&call.request.path)
            && history.has_targets(call.sent_at, call.ended_at)
            && history.is_process_undisturbed(call.process, call.sent_at, call.ended_at)
    };
    let (cut_off, others): (Vec<&Call>, Vec<&Call>) =
        history.calls.iter().filter(is_counted).partition(|call| call.process < cut.processes);
    let served =
        |calls: &[&Call]| calls.iter().filter(|call| call.response.status == Some(200)).count();
    let share = |calls: &[&Call]| served(calls) as f64 / calls.len().max(1) as f64;
    let failed = cut_off.len() - served(&cut_off);
    let allowed = FAILED_FLOOR.0 as f64 + FAILED_FLOOR.1 * cut_off.len() as f64;
    if failed as f64 > allowed && share(&cut_off) < SERVED_PART * share(&others) {
        let rule = "processes cut off from all targets serve two thirds as often as the others";
        let evidence = format!(
            "from {:.3} s: {} of {} served at {} processes, {} of {} at the others",
            history.seconds(cut.from),
            served(&cut_off),
            cut_off.len(),
            cut.processes,
            served(&others),
            others.len()
        );
        findings.push(Finding { rule, evidence });
    }
}
