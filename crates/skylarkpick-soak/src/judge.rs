//! What must hold, checked on what callers got and what targets ran.

use crate::history::{Call, CallKind, History};
use skylarkpick_platform_standin::{Arrival, STREAM_EVENT_COUNT, stream_event};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time until no request reaches a target that leaves.
pub(crate) const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time until a configuration is in force.
pub(crate) const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
/// Time that a process has between SIGTERM and its end.
pub(crate) const GRACE: Duration = Duration::from_secs(8);
/// Time that a route's requests may take.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time past its route's limit by which a call has its answer.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// Time past the grace period by which the end of a process is noticed.
const END_SLACK: Duration = Duration::from_millis(500);

/// Something that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What must hold.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Checks a history; gives what did not hold.
pub(crate) fn judge(history: &History) -> Vec<Finding> {
    let mut arrivals: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.attempt_id).or_default().push(arrival);
    }
    let mut findings = Vec::new();
    for call in &history.calls {
        let arrivals = arrivals.get(call.request.attempt_id.as_str());
        let checked = CheckedCall { history, call, arrivals: arrivals.map_or(&[], Vec::as_slice) };
        checked.check(&mut findings);
    }
    check_unasked(history, &mut findings);
    check_ends(history, &mut findings);
    findings
}

struct CheckedCall<'a> {
    history: &'a History,
    call: &'a Call,
    arrivals: &'a [&'a Arrival],
}

impl CheckedCall<'_> {
    fn check(&self, findings: &mut Vec<Finding>) {
        let rules: [(&'static str, bool); 9] = [
            ("a request that may not be repeated runs once at most", self.runs_once()),
            ("a request has no more runs than its route allows", self.keeps_attempts()),
            ("what is refused as not run has not run", self.refusal_is_true()),
            ("an answer is that of its request, in order and whole", self.answer_is_right()),
            ("a target that leaves gets no request after its time", self.keeps_drain()),
            ("keys are accepted and refused as the configuration says", self.keeps_keys()),
            ("an answer comes within its route's time", self.keeps_timeout()),
            ("on a calm day every proper request is served", self.is_served_when_calm()),
            ("planned work loses no request that has run", self.keeps_planned_work()),
        ];
        let broken = rules.into_iter().filter(|(_, holds)| !holds);
        findings.extend(broken.map(|(rule, _)| Finding { rule, seen: self.describe() }));
    }

    fn describe(&self) -> String {
        let Call { process, request, answer, .. } = self.call;
        let second = |at: Instant| at.saturating_duration_since(self.history.began).as_secs_f64();
        let targets: Vec<String> = self
            .arrivals
            .iter()
            .map(|it| format!("{}{}", it.target, if it.has_run { "" } else { " (not run)" }))
            .collect();
        format!(
            "{} {} at process {process}, from {:.3} to {:.3} s, status {:?}, whole {}, {} bytes, \
             at targets {targets:?}",
            request.attempt_id,
            request.path,
            second(self.call.sent),
            second(self.call.ended),
            answer.status,
            answer.is_complete,
            answer.body.len(),
        )
    }

    fn runs(&self) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.has_run).count()
    }

    fn runs_once(&self) -> bool {
        self.call.kind != CallKind::Write || self.runs() <= 1
    }

    fn keeps_attempts(&self) -> bool {
        self.runs() <= self.call.kind.attempts() as usize
    }

    fn refusal_is_true(&self) -> bool {
        let is_refusal = matches!(self.call.answer.status, Some(408 | 421 | 429 | 503));
        !is_refusal || self.runs() == 0
    }

    fn answer_is_right(&self) -> bool {
        let answer = &self.call.answer;
        if answer.status != Some(200) {
            return true;
        }
        let id = &self.call.request.attempt_id;
        let expected: String = match self.call.kind {
            CallKind::Events => {
                (1..=STREAM_EVENT_COUNT).map(|index| stream_event(id, index)).collect()
            }
            CallKind::Read | CallKind::Write => id.clone(),
        };
        if answer.is_complete {
            answer.body == expected
        } else {
            expected.starts_with(&answer.body)
        }
    }

    /// Only for processes that were in touch since the target began to leave.
    fn keeps_drain(&self) -> bool {
        !self.arrivals.iter().any(|arrival| {
            let left = self.history.leaving.iter().find(|(target, _)| *target == arrival.target);
            left.is_some_and(|(_, at)| {
                arrival.at > *at + DRAIN_BOUND
                    && self.history.is_in_touch(self.call.process, *at, arrival.at)
            })
        })
    }

    fn keeps_keys(&self) -> bool {
        let (history, call) = (self.history, self.call);
        let held = history.keys.iter().find(|held| held.key == call.request.key);
        let is_denied = matches!(call.answer.status, Some(400..=404));
        let Some(held) = held else {
            return self.runs() == 0 && call.answer.status != Some(200);
        };
        let in_force = held.from + CONFIGURATION_BOUND;
        let is_in_touch = |since| history.is_in_touch(call.process, since, call.ended);
        if call.sent < held.from {
            // Sent before it was held and answered by either.
            return true;
        }
        match held.until {
            Some(until) if call.sent > until + CONFIGURATION_BOUND => {
                self.runs() == 0 || !is_in_touch(until)
            }
            Some(until) if call.ended > until => true,
            _ => !is_denied || call.sent < in_force || !is_in_touch(held.from),
        }
    }

    fn keeps_timeout(&self) -> bool {
        let call = self.call;
        call.ended - call.sent <= ROUTE_TIMEOUT + TIMEOUT_SLACK
            || !self.history.is_in_touch(call.process, call.sent, call.ended)
    }

    fn is_served_when_calm(&self) -> bool {
        let call = self.call;
        let is_proper = self.history.keys.iter().any(|held| {
            held.key == call.request.key
                && held.from + CONFIGURATION_BOUND < call.sent
                && held.until.is_none_or(|until| call.ended < until)
        });
        let is_calm = self.history.calm_since.is_some_and(|since| call.sent > since);
        !is_proper || !is_calm || call.has_left || self.is_served()
    }

    /// A process that ends, reads its settings or takes a configuration finishes what it passed on.
    fn keeps_planned_work(&self) -> bool {
        let call = self.call;
        let is_lost = self.runs() > 0 && call.answer.status.is_none() && !call.has_left;
        !is_lost || !self.history.is_planned_only(call.sent, call.ended)
    }

    fn is_served(&self) -> bool {
        self.call.answer.status == Some(200) && self.call.answer.is_complete
    }
}

/// Targets run nothing that no client asked for.
fn check_unasked(history: &History, findings: &mut Vec<Finding>) {
    let asked: BTreeSet<&str> =
        history.calls.iter().map(|call| call.request.attempt_id.as_str()).collect();
    for arrival in &history.arrivals {
        if !asked.contains(arrival.attempt_id.as_str()) {
            let seen = format!("{arrival:?}");
            findings.push(Finding { rule: "a target runs only what a client asked", seen });
        }
        if arrival.account.as_deref() != Some("acme") {
            let seen = format!("{arrival:?}");
            findings.push(Finding { rule: "a request runs for its client account", seen });
        }
    }
}

/// Processes end only when they are asked, and then in time.
fn check_ends(history: &History, findings: &mut Vec<Finding>) {
    for end in history.ends.iter().filter(|end| end.killed.is_none()) {
        let Some(asked) = end.terminated else {
            let seen = format!("{end:?}");
            findings.push(Finding { rule: "a process ends only when it is asked", seen });
            continue;
        };
        let is_disturbed = !history.is_end_undisturbed(end.process, asked, end.at);
        if !is_disturbed && (end.at > asked + GRACE + END_SLACK || !end.is_success) {
            let seen = format!("{end:?}");
            findings.push(Finding { rule: "a process ends in its grace period", seen });
        }
    }
}
