//! Checks that what ends targets reaches few of them, and that everything else goes on.

use crate::{
    checks::Finding,
    history::{Call, History},
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after the last end that is allowed for, within which the evidence must take effect, as the
/// users require.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// Requests that may reach targets later.
const LATE_LIMIT: usize = 3;
/// Sound requests from which their share is judged.
const SOUND_FLOOR: usize = 20;

/// A request that reached a target.
pub(crate) struct Sent<'a> {
    call: &'a Call,
    arrival: &'a Arrival,
}

impl<'a> Sent<'a> {
    /// Returns the requests of a history that reached targets, if `is_selected`.
    pub(crate) fn select(
        history: &'a History,
        is_selected: impl Fn(&Call, &Arrival) -> bool,
    ) -> Vec<Sent<'a>> {
        let calls: BTreeMap<&str, &Call> =
            history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
        let sent = history.arrivals.iter().filter_map(|arrival| {
            let call = calls.get(arrival.attempt_id.as_str())?;
            is_selected(call, arrival).then_some(Sent { call, arrival })
        });
        sent.collect()
    }

    /// Returns when the client had the target's whole answer, which shows that the request ends no
    /// targets. An answer whose end nothing marks shows nothing.
    fn answered_at(&self) -> Option<Instant> {
        let Sent { call, arrival } = self;
        let is_whole = arrival.has_run && arrival.marks_end && arrival.end == AnswerEnd::Whole;
        (is_whole && call.is_served()).then_some(call.ended_at)
    }
}

/// Something that ends each target that runs a request with it.
pub(crate) struct CrashCause<'a> {
    /// The rule that bounds how many requests with it reach targets.
    pub(crate) rule: &'static str,
    /// Name for findings.
    pub(crate) name: &'a str,
    /// Ended targets after which the evidence must take effect.
    pub(crate) ends: usize,
    /// The requests with it that reached targets.
    pub(crate) sent: Vec<Sent<'a>>,
    /// When a client sent the last request with it.
    pub(crate) last_sent_at: Option<Instant>,
}

/// Requests that must be served while others end targets.
pub(crate) struct SoundRequests<'a> {
    /// The rule, as a sentence that must be true.
    pub(crate) rule: &'static str,
    pub(crate) calls: Vec<&'a Call>,
}

impl CrashCause<'_> {
    pub(crate) fn check(
        &self,
        history: &History,
        sound: &[SoundRequests<'_>],
        findings: &mut Vec<Finding>,
    ) {
        for period in self.periods() {
            self.check_late(history, &period, findings);
        }
        for requests in sound {
            self.check_sound(requests, findings);
        }
    }

    /// Splits the requests at the whole answers to some of them: the evidence of one period does not
    /// count in the next.
    fn periods(&self) -> Vec<Vec<&Sent<'_>>> {
        let mut ends: Vec<Instant> = self.sent.iter().filter_map(Sent::answered_at).collect();
        ends.sort();
        let mut periods: Vec<Vec<&Sent<'_>>> = vec![Vec::new(); ends.len() + 1];
        for it in &self.sent {
            periods[ends.partition_point(|end| *end < it.arrival.at)].push(it);
        }
        periods
    }

    fn check_late(&self, history: &History, period: &[&Sent<'_>], findings: &mut Vec<Finding>) {
        let mut crashes = period.iter().filter(|it| it.arrival.has_crashed);
        let Some(last) = crashes.nth(self.ends - 1) else { return };
        let window_end = last.arrival.at + EVIDENCE_WINDOW;
        let is_late = |it: &&&Sent<'_>| {
            let at = it.arrival.at;
            at > window_end && history.is_process_undisturbed(it.call.process, at, at)
        };
        let late: Vec<String> =
            period.iter().filter(is_late).map(|it| describe(history, it.arrival)).collect();
        if late.len() > LATE_LIMIT {
            let evidence = format!("{}: {late:?}", self.name);
            findings.push(Finding { rule: self.rule, evidence });
        }
    }

    /// Sound requests are served after the evidence has taken effect, while the cause still comes.
    fn check_sound(&self, sound: &SoundRequests<'_>, findings: &mut Vec<Finding>) {
        let crashes: Vec<Instant> =
            self.sent.iter().filter(|it| it.arrival.has_crashed).map(|it| it.arrival.at).collect();
        let Some(crash) = crashes.get(self.ends - 1).or(crashes.last()) else { return };
        let Some(until) = self.last_sent_at else { return };
        let from = *crash + EVIDENCE_WINDOW * 2;
        let calls: Vec<&&Call> =
            sound.calls.iter().filter(|it| it.sent_at > from && it.sent_at < until).collect();
        let served = calls.iter().filter(|call| call.response.status == Some(200)).count();
        if calls.len() >= SOUND_FLOOR && served * 2 < calls.len() {
            let evidence = format!("{}: {served} of {} served", self.name, calls.len());
            findings.push(Finding { rule: sound.rule, evidence });
        }
    }
}

fn describe(history: &History, arrival: &Arrival) -> String {
    let at = history.seconds(arrival.at);
    format!("{} at {} at {at:.3} s", arrival.attempt_id, arrival.target)
}
