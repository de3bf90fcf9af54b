//! Checks that parts of prompts that end targets reach few of them, and sound prompts go on.

use crate::{
    checks::Finding,
    history::{Call, History},
    plan::CRASHING_PARTS,
};
use skylarkpick_platform_standin::Arrival;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Ended targets after which the contact window begins.
const CRASHES: usize = 5;
/// Time after the fifth end within which the evidence must take effect, as the users require.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// Requests with the part that may reach targets later.
const LATE_LIMIT: usize = 3;
/// Sound requests from which their share is judged.
const SOUND_FLOOR: usize = 20;

/// Checks the arrivals of a history at targets that ended.
pub(crate) fn check_parts(history: &History, findings: &mut Vec<Finding>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
    for part in CRASHING_PARTS {
        let with_part = |it: &&Arrival| it.parts.iter().any(|it| it == part);
        let arrivals: Vec<&Arrival> = history.arrivals.iter().filter(with_part).collect();
        let crashes: Vec<Instant> =
            arrivals.iter().filter(|it| it.has_crashed).map(|it| it.at).collect();
        if let Some(fifth) = crashes.get(CRASHES - 1) {
            check_late(history, &calls, part, &arrivals, *fifth, findings);
        }
        if let Some(last) = crashes.last() {
            check_sound(history, part, crashes.get(CRASHES - 1).unwrap_or(last), findings);
        }
    }
}

fn check_late(
    history: &History,
    calls: &BTreeMap<&str, &Call>,
    part: &str,
    arrivals: &[&Arrival],
    fifth: Instant,
    findings: &mut Vec<Finding>,
) {
    let is_late = |it: &&&Arrival| {
        let call = calls.get(it.attempt_id.as_str());
        it.at > fifth + EVIDENCE_WINDOW
            && call.is_some_and(|call| history.is_process_undisturbed(call.process, it.at, it.at))
    };
    let late: Vec<String> =
        arrivals.iter().filter(is_late).map(|it| describe(history, it)).collect();
    if late.len() > LATE_LIMIT {
        let rule = "a part of prompts that ended five targets reaches at most three more requests";
        findings.push(Finding { rule, evidence: format!("{part}: {late:?}") });
    }
}

/// Sound prompts that share all parts but the crashing one are served while that one still comes.
fn check_sound(history: &History, part: &str, crash: &Instant, findings: &mut Vec<Finding>) {
    let has_part = |call: &&Call| call.request.parts.iter().any(|it| it == part);
    let Some(last_bad) = history.calls.iter().filter(has_part).map(|call| call.sent_at).max()
    else {
        return;
    };
    let from = *crash + EVIDENCE_WINDOW * 2;
    let is_sound = |call: &&Call| {
        let is_crashing = |it: &String| CRASHING_PARTS.contains(&it.as_str());
        !call.request.parts.is_empty()
            && !call.request.parts.iter().any(is_crashing)
            && call.sent_at > from
            && call.sent_at < last_bad
            && call.request.resumes.is_none()
            && !call.disconnects_early
            && history.is_exit_undisturbed(call.process, call.sent_at, call.ended_at)
            && history.has_valid_key(call)
    };
    let sound: Vec<&Call> = history.calls.iter().filter(is_sound).collect();
    let served = sound.iter().filter(|call| call.response.status == Some(200)).count();
    if sound.len() >= SOUND_FLOOR && served * 2 < sound.len() {
        let rule = "sound prompts are served while a part of others ends targets";
        let evidence = format!("{part}: {served} of {} served", sound.len());
        findings.push(Finding { rule, evidence });
    }
}

fn describe(history: &History, arrival: &Arrival) -> String {
    let at = arrival.at.saturating_duration_since(history.started_at).as_secs_f64();
    format!("{} at {} at {at:.3} s", arrival.attempt_id, arrival.target)
}
