//! Checks that processes keep to what targets ask for in their responses.

use crate::{
    checks::{DRAIN_LIMIT, Finding},
    history::{Call, History},
};
use skylarkpick_platform_standin::Arrival;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time for requests that were under way when a target asked for a pause.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach a target during a pause.
const PAUSED_REQUESTS_LIMIT: usize = 2;

/// An arrival at a target, with the call that it belongs to.
struct Sent<'a> {
    call: &'a Call,
    arrival: &'a Arrival,
}

impl Sent<'_> {
    /// Whether the process of both sent the other request to the same start of the target.
    fn is_same_path(&self, other: &Sent<'_>) -> bool {
        self.call.process == other.call.process
            && self.arrival.target == other.arrival.target
            && self.arrival.started_at_ms == other.arrival.started_at_ms
    }
}

/// Checks the arrivals of a history at targets that had asked for something.
pub(crate) fn check_signals(history: &History, findings: &mut Vec<Finding>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
    let sent: Vec<Sent<'_>> = history
        .arrivals
        .iter()
        .filter_map(|arrival| {
            calls.get(arrival.attempt_id.as_str()).map(|call| Sent { call, arrival })
        })
        .collect();
    for first in &sent {
        if let Some(pause) = first.arrival.pause {
            let (from, until) = (first.arrival.at + PAUSE_SLACK, first.arrival.at + pause);
            let late = later(history, &sent, first, until, |it| it.arrival.at > from);
            if late.len() > PAUSED_REQUESTS_LIMIT {
                let rule = "a target that asked a process for a pause gets no requests from it";
                findings.push(Finding { rule, evidence: describe(history, first, &late) });
            }
        }
        if first.arrival.is_leaving && first.call.response.status.is_some() {
            let from = first.call.ended_at + DRAIN_LIMIT;
            let until = first.call.ended_at + Duration::from_secs(60);
            let late = later(history, &sent, first, until, |it| it.call.sent_at > from);
            if !late.is_empty() {
                let rule =
                    "a target that said that it leaves gets no requests after the drain limit";
                findings.push(Finding { rule, evidence: describe(history, first, &late) });
            }
        }
    }
}

/// Returns the requests that went the same way as the first one up to a time, if `is_late` says that
/// they are late and no disturbance excuses them.
fn later<'a>(
    history: &History,
    sent: &'a [Sent<'a>],
    first: &Sent<'_>,
    until: Instant,
    is_late: impl Fn(&Sent<'_>) -> bool,
) -> Vec<&'a Sent<'a>> {
    let (process, target) = (first.call.process, &first.arrival.target);
    sent.iter()
        .filter(|it| it.is_same_path(first) && is_late(it) && it.arrival.at < until)
        .filter(|it| {
            let at = it.arrival.at;
            history.keeps_state(process, first.arrival.at, at)
                && !history.has_link_fault(target, first.arrival.at, at)
        })
        .collect()
}

fn describe(history: &History, first: &Sent<'_>, late: &[&Sent<'_>]) -> String {
    let seconds = |at: Instant| history.seconds(at);
    let late: Vec<String> = late
        .iter()
        .map(|it| format!("{} at {:.3} s", it.arrival.attempt_id, seconds(it.arrival.at)))
        .collect();
    format!(
        "{} from process {} at {:.3} s (pause {:?}, leaving {}), then {late:?}",
        first.arrival.target,
        first.call.process,
        seconds(first.arrival.at),
        first.arrival.pause,
        first.arrival.is_leaving,
    )
}
