//! Tests of the check on processes that are cut off from all targets.

use crate::{
    cut_checks::check_cuts,
    history::{History, TargetCut},
    test_history::served_call,
};
use std::time::Duration;

/// Returns the history of a cut of process 0 from 10 to 18 s, with a request each 0.1 s at processes
/// 0 and 1, of which those at each after so many seconds of the cut are served.
fn history(served_after_s: [u64; 2]) -> History {
    let mut history = History::begin();
    let from = history.started_at + Duration::from_secs(10);
    history.cuts.push(TargetCut { processes: 1, from, until: from + Duration::from_secs(8) });
    for (process, after) in served_after_s.into_iter().enumerate() {
        for index in 0..80 {
            let sent_at = from + Duration::from_millis(100 * index);
            let mut call = served_call(&format!("call-{process}-{index}"), "/read/1", sent_at);
            call.process = process;
            if sent_at < from + Duration::from_secs(after) {
                call.response.status = Some(503);
            }
            history.calls.push(call);
        }
    }
    history
}

#[test]
fn processes_that_are_cut_off_are_compared_with_the_others() {
    struct Case {
        name: &'static str,
        served_after_s: [u64; 2],
        is_broken: bool,
    }
    let cases = [
        Case { name: "all served", served_after_s: [0, 0], is_broken: false },
        Case { name: "from three seconds on", served_after_s: [3, 0], is_broken: false },
        Case { name: "a second later", served_after_s: [4, 0], is_broken: false },
        Case { name: "late", served_after_s: [6, 0], is_broken: true },
        Case { name: "never", served_after_s: [8, 0], is_broken: true },
        Case { name: "nobody serves", served_after_s: [8, 8], is_broken: false },
    ];
    for case in cases {
        let mut findings = Vec::new();
        check_cuts(&history(case.served_after_s), &mut findings);
        assert_eq!(!findings.is_empty(), case.is_broken, "{}: {findings:?}", case.name);
    }
}
