//! Checks that requests that end targets reach few of them, and that their callers' others go on.

use crate::{
    checks::Finding,
    clients::MAIN_KEY,
    crash_checks::{CrashCause, Sent, SoundRequests},
    history::{Call, History},
    plan::CRASHING_PARTS,
    repeated_requests::POLL_PATH,
};

/// Ended targets after which the evidence must take effect, as the users require.
const ENDS: usize = 3;

/// Checks the requests that end targets.
pub(crate) fn check_requests(history: &History, findings: &mut Vec<Finding>) {
    let calls = |is_poll: bool| {
        let is_selected = move |call: &&Call| {
            (call.request.path == POLL_PATH) == is_poll && is_sound(history, call)
        };
        history.calls.iter().filter(is_selected).collect()
    };
    for path in &history.crashing_paths {
        let has_path = |call: &&Call| call.request.path == *path;
        let cause = CrashCause {
            rule: "a request that ended three targets reaches at most three more",
            name: path,
            ends: ENDS,
            sent: Sent::select(history, |call, _| call.request.path == *path),
            last_sent_at: history.calls.iter().filter(has_path).map(|call| call.sent_at).max(),
        };
        let sound = [
            SoundRequests {
                rule: "an equal sound poll is served while another request ends targets",
                calls: calls(true),
            },
            SoundRequests {
                rule: "other requests of the caller are served while one ends targets",
                calls: calls(false),
            },
        ];
        cause.check(history, &sound, findings);
    }
}

/// Whether a request is of the same caller as those that end targets, and ends none itself.
fn is_sound(history: &History, call: &Call) -> bool {
    let is_crashing = |it: &String| CRASHING_PARTS.contains(&it.as_str());
    call.request.key == MAIN_KEY
        && !history.crashing_paths.contains(&call.request.path)
        && !call.request.parts.iter().any(is_crashing)
        && call.request.resumes.is_none()
        && !call.disconnects_early
        && history.is_in_touch(call.process, call.sent_at, call.ended_at)
        && history.has_targets(call.sent_at, call.ended_at)
}
