//! Checks the rules that must hold, on what clients received and what targets ran.

use crate::{
    brittle_checks::check_brittle_times,
    change_checks::check_changes,
    clients::MAIN_KEY,
    cut_checks::check_cuts,
    history::{Call, History},
    limit_checks::check_limits,
    part_checks::check_parts,
    request_checks::check_requests,
    return_checks::check_returns,
    signal_checks::check_signals,
    stream_checks::{check_streams, is_stream_correct},
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time after which a draining target must get no requests.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a configuration must be in force.
pub(crate) const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a process must exit after SIGTERM.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Timeout of all routes.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Tolerance on the timeout of a route, as clients measure it.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// Time within which a stream that is taken up must be refused, if it is: the users' clients give up
/// on a process that has not read a request after one second.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
/// Tolerance on the grace period, as the supervisor measures it.
const EXIT_SLACK: Duration = Duration::from_millis(500);

/// A violation of a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The rule, as a sentence that must be true.
    pub rule: &'static str,
    /// The observations that violate it.
    pub evidence: String,
}

/// Checks a history against all rules, and returns the violations.
pub(crate) fn check_history(history: &History) -> Vec<Finding> {
    let mut arrivals: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.attempt_id).or_default().push(arrival);
    }
    let mut findings = Vec::new();
    for call in &history.calls {
        let arrivals = arrivals.get(call.request.attempt_id.as_str());
        let checked = CallCheck { history, call, arrivals: arrivals.map_or(&[], Vec::as_slice) };
        checked.check(&mut findings);
    }
    check_streams(history, &mut findings);
    check_signals(history, &mut findings);
    check_parts(history, &mut findings);
    check_requests(history, &mut findings);
    check_changes(history, &mut findings);
    check_returns(history, &mut findings);
    check_limits(history, &mut findings);
    check_cuts(history, &mut findings);
    check_brittle_times(history, &mut findings);
    check_arrivals(history, &mut findings);
    check_process_exits(history, &mut findings);
    findings
}

/// The rules for a call, on the call and the arrivals of its request at targets.
struct CallCheck<'a> {
    history: &'a History,
    call: &'a Call,
    arrivals: &'a [&'a Arrival],
}

impl CallCheck<'_> {
    fn check(&self, findings: &mut Vec<Finding>) {
        let rules: [(&'static str, bool); 10] = [
            ("a non-idempotent request runs at most once", self.runs_once()),
            ("a request runs at most as often as its route allows", self.respects_attempt_limit()),
            ("a request that is rejected as not run has not run", self.rejection_is_true()),
            (
                "a response belongs to its request, in order and complete",
                self.response_is_correct(),
            ),
            ("a draining target gets no request after the drain limit", self.respects_draining()),
            ("API keys are accepted and rejected as configured", self.respects_api_keys()),
            ("a response arrives within the timeout of its route", self.respects_timeout()),
            ("every valid request is served after the recovery time", self.is_served_when_stable()),
            (
                "planned maintenance loses no response of a request that ran",
                self.survives_planned_maintenance(),
            ),
            (
                "a stream that is taken up is refused at once, with a time to come back",
                self.is_refused_at_once(),
            ),
        ];
        let violated = rules.into_iter().filter(|(_, holds)| !holds);
        findings.extend(violated.map(|(rule, _)| Finding { rule, evidence: self.describe() }));
    }

    fn describe(&self) -> String {
        let Call { process, request, response, .. } = self.call;
        let seconds = |at: Instant| self.history.seconds(at);
        let targets: Vec<String> = self
            .arrivals
            .iter()
            .map(|it| match it.has_run {
                true => format!(
                    "{} ({:?}, end marked {}, failure {:?})",
                    it.target, it.end, it.marks_end, it.failure
                ),
                false => format!("{} (not run)", it.target),
            })
            .collect();
        format!(
            "{} {} at process {process}, from {:.3} to {:.3} s, status {:?}, complete {}, end marked \
             {}, {} bytes, at targets {targets:?}",
            request.attempt_id,
            request.path,
            seconds(self.call.sent_at),
            seconds(self.call.ended_at),
            response.status,
            response.is_complete,
            response.is_end_marked,
            response.body.len(),
        )
    }

    /// Returns how many targets ran the request.
    fn runs(&self) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.has_run).count()
    }

    fn runs_once(&self) -> bool {
        !self.call.kind.runs_once() || self.runs() <= 1
    }

    fn respects_attempt_limit(&self) -> bool {
        self.runs() <= self.call.kind.attempts() as usize
    }

    fn rejection_is_true(&self) -> bool {
        !self.call.is_rejected() || self.runs() == 0
    }

    fn response_is_correct(&self) -> bool {
        let response = &self.call.response;
        if response.status != Some(200) {
            return true;
        }
        if self.call.kind.is_stream() {
            return is_stream_correct(self.call, self.is_cut_by_target());
        }
        let expected = &self.call.request.attempt_id;
        if response.is_complete && !self.is_cut_by_target() {
            response.body == *expected
        } else {
            expected.starts_with(&response.body)
        }
    }

    /// Whether the response may be a part of its target's answer, although it ended like a whole one:
    /// neither of the two marked the end, and the target closed the connection before it.
    fn is_cut_by_target(&self) -> bool {
        let ran = self.arrivals.iter().rfind(|arrival| arrival.has_run);
        let is_cut = ran.is_some_and(|ran| {
            !ran.marks_end && matches!(ran.end, AnswerEnd::Closed | AnswerEnd::Unfinished)
        });
        is_cut && !self.call.response.is_end_marked
    }

    /// Applies only if the process was undisturbed since the target began to drain. A request that
    /// was sent in time may arrive late over a link with a fault.
    fn respects_draining(&self) -> bool {
        !self.arrivals.iter().any(|arrival| {
            let draining =
                self.history.draining.iter().find(|(target, _)| *target == arrival.target);
            draining.is_some_and(|(_, at)| {
                let is_held = self.call.sent_at <= *at + DRAIN_LIMIT
                    && self.history.has_link_fault(&arrival.target, *at, arrival.at);
                arrival.at > *at + DRAIN_LIMIT
                    && !is_held
                    && self.history.is_process_undisturbed(self.call.process, *at, arrival.at)
            })
        })
    }

    fn respects_api_keys(&self) -> bool {
        let (history, call) = (self.history, self.call);
        let key = history.keys.iter().find(|key| key.key == call.request.key);
        // The checks of changes judge calls on routes that were added.
        let is_denied =
            matches!(call.response.status, Some(400..=404)) && !history.is_on_added_route(call);
        let Some(key) = key else {
            return self.runs() == 0 && call.response.status != Some(200);
        };
        let in_force = key.from + CONFIGURATION_LIMIT;
        let is_undisturbed =
            |since| history.is_process_undisturbed(call.process, since, call.ended_at);
        if call.sent_at < key.from {
            // Sent before the key was configured, so the response may have any outcome.
            return true;
        }
        match key.until {
            Some(until) if call.sent_at > until + CONFIGURATION_LIMIT => {
                self.runs() == 0 || !is_undisturbed(until)
            }
            Some(until) if call.ended_at > until => true,
            // All configurations have the main key: no disturbance explains that it is denied.
            _ if key.key == MAIN_KEY => !is_denied,
            _ => !is_denied || call.sent_at < in_force || !is_undisturbed(key.from),
        }
    }

    fn respects_timeout(&self) -> bool {
        let call = self.call;
        call.ended_at - call.sent_at <= call.request.deadline + TIMEOUT_SLACK
            || !self.history.is_process_undisturbed(call.process, call.sent_at, call.ended_at)
    }

    fn is_served_when_stable(&self) -> bool {
        let call = self.call;
        let is_allowed = self.history.has_valid_key(call) && self.history.has_valid_route(call);
        let is_stable = self.history.stable_since.is_some_and(|since| call.sent_at > since);
        // A stream that is taken up may be refused; the share that goes on has a rule of its own.
        let may_be_refused = call.request.resumes.is_some() && call.is_rejected();
        let is_exempt = call.disconnects_early || may_be_refused;
        !is_allowed || !is_stable || is_exempt || call.is_served()
    }

    /// A process that shuts down, reloads its settings or applies a configuration completes the
    /// requests that it has forwarded.
    fn survives_planned_maintenance(&self) -> bool {
        let call = self.call;
        let is_lost = self.runs() > 0 && call.response.status.is_none() && !call.disconnects_early;
        !is_lost || !self.history.has_only_planned_restarts(call.sent_at, call.ended_at)
    }

    /// The time applies only if the process was in touch.
    fn is_refused_at_once(&self) -> bool {
        let call = self.call;
        if call.request.resumes.is_none() || !call.is_rejected() {
            return true;
        }
        let is_at_once = call.ended_at - call.sent_at <= REFUSAL_LIMIT
            || !self.history.is_in_touch(call.process, call.sent_at, call.ended_at);
        call.response.status == Some(503) && call.response.retry_after.is_some() && is_at_once
    }
}

/// Targets run only requests that clients sent, under the account of the client.
fn check_arrivals(history: &History, findings: &mut Vec<Finding>) {
    let sent: BTreeSet<&str> =
        history.calls.iter().map(|call| call.request.attempt_id.as_str()).collect();
    for arrival in &history.arrivals {
        if !sent.contains(arrival.attempt_id.as_str()) {
            let evidence = format!("{arrival:?}");
            findings.push(Finding { rule: "a target runs only requests of clients", evidence });
        }
        if arrival.account.as_deref() != Some("acme") {
            let evidence = format!("{arrival:?}");
            findings.push(Finding { rule: "a request runs under its client account", evidence });
        }
    }
}

/// Processes exit only on a signal, and then successfully within the grace period.
fn check_process_exits(history: &History, findings: &mut Vec<Finding>) {
    for end in history.process_ends.iter().filter(|end| end.killed.is_none()) {
        let Some(terminated) = end.terminated else {
            let evidence = format!("{end:?}");
            findings.push(Finding { rule: "a process exits only when it is told to", evidence });
            continue;
        };
        let is_disturbed = !history.is_exit_undisturbed(end.process, terminated, end.at);
        if !is_disturbed && (end.at > terminated + GRACE_PERIOD + EXIT_SLACK || !end.is_success) {
            let evidence = format!("{end:?}");
            findings.push(Finding {
                rule: "a process exits successfully within its grace period",
                evidence,
            });
        }
    }
}
