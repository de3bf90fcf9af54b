//! Checks that parts of prompts that end targets reach few of them, and sound prompts go on.

use crate::{
    checks::Finding,
    crash_checks::{CrashCause, Sent, SoundRequests},
    history::{Call, History},
    plan::CRASHING_PARTS,
};

/// Ended targets after which the evidence must take effect, as the users require.
const ENDS: usize = 5;

/// Checks the requests with parts that end targets.
pub(crate) fn check_parts(history: &History, findings: &mut Vec<Finding>) {
    for part in CRASHING_PARTS {
        let has_part = |call: &&Call| call.request.parts.iter().any(|it| it == part);
        let cause = CrashCause {
            rule: "a part of prompts that ended five targets reaches at most three more requests",
            name: part,
            ends: ENDS,
            sent: Sent::select(history, |_, arrival| arrival.parts.iter().any(|it| it == part)),
            last_sent_at: history.calls.iter().filter(has_part).map(|call| call.sent_at).max(),
        };
        let sound = SoundRequests {
            rule: "sound prompts are served while a part of others ends targets",
            calls: history.calls.iter().filter(|call| is_sound(history, call)).collect(),
        };
        cause.check(history, &[sound], findings);
    }
}

/// Whether a prompt shares all parts with others but the ones that end targets.
fn is_sound(history: &History, call: &Call) -> bool {
    let is_crashing = |it: &String| CRASHING_PARTS.contains(&it.as_str());
    !call.request.parts.is_empty()
        && !call.request.parts.iter().any(is_crashing)
        && call.request.resumes.is_none()
        && !call.disconnects_early
        && history.is_in_touch(call.process, call.sent_at, call.ended_at)
        && history.has_targets(call.sent_at, call.ended_at)
        && history.has_valid_key(call)
}
