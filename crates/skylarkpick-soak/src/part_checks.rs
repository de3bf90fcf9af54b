//! Checks that parts of prompts that end targets reach few of them, and sound prompts go on.

use crate::{
    checks::Finding,
    history::{Call, History},
    plan::CRASHING_PARTS,
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival};
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

/// A request with a part, which reached a target.
struct Sent<'a> {
    call: &'a Call,
    arrival: &'a Arrival,
}

impl Sent<'_> {
    /// Returns when the client had the target's whole answer, which shows that the part ends no
    /// targets. An answer whose end nothing marks shows nothing.
    fn answered_at(&self) -> Option<Instant> {
        let Sent { call, arrival } = self;
        let is_whole = arrival.has_run && arrival.marks_end && arrival.end == AnswerEnd::Whole;
        (is_whole && call.is_served()).then_some(call.ended_at)
    }
}

/// Checks the arrivals of a history at targets that ended.
pub(crate) fn check_parts(history: &History, findings: &mut Vec<Finding>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
    for part in CRASHING_PARTS {
        let with_part = |it: &&Arrival| it.parts.iter().any(|it| it == part);
        let sent: Vec<Sent<'_>> = history
            .arrivals
            .iter()
            .filter(with_part)
            .filter_map(|arrival| {
                let call = calls.get(arrival.attempt_id.as_str())?;
                Some(Sent { call, arrival })
            })
            .collect();
        let crashes: Vec<Instant> =
            sent.iter().filter(|it| it.arrival.has_crashed).map(|it| it.arrival.at).collect();
        for period in periods(&sent) {
            check_late(history, part, &period, findings);
        }
        if let Some(last) = crashes.last() {
            check_sound(history, part, crashes.get(CRASHES - 1).unwrap_or(last), findings);
        }
    }
}

/// Splits requests with a part at the whole answers to some of them: the evidence of one period does
/// not count in the next.
fn periods<'a>(sent: &'a [Sent<'a>]) -> Vec<Vec<&'a Sent<'a>>> {
    let mut ends: Vec<Instant> = sent.iter().filter_map(Sent::answered_at).collect();
    ends.sort();
    let mut periods: Vec<Vec<&Sent<'_>>> = vec![Vec::new(); ends.len() + 1];
    for it in sent {
        periods[ends.partition_point(|end| *end < it.arrival.at)].push(it);
    }
    periods
}

fn check_late(history: &History, part: &str, period: &[&Sent<'_>], findings: &mut Vec<Finding>) {
    let mut crashes = period.iter().filter(|it| it.arrival.has_crashed);
    let Some(fifth) = crashes.nth(CRASHES - 1) else { return };
    let window_end = fifth.arrival.at + EVIDENCE_WINDOW;
    let is_late = |it: &&&Sent<'_>| {
        let at = it.arrival.at;
        at > window_end && history.is_process_undisturbed(it.call.process, at, at)
    };
    let late: Vec<String> =
        period.iter().filter(is_late).map(|it| describe(history, it.arrival)).collect();
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
