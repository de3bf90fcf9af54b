//! Checks that changes of the configuration come into force in time and stay in force.

use crate::{
    checks::{CONFIGURATION_LIMIT, Finding},
    clients::MAIN_KEY,
    history::{Call, History},
};
use skylarkpick_platform_standin::Arrival;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after the effect of a configuration from which no older one may have any.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);
/// The same for a process that was disturbed, as the users allow.
const DISTURBED_DOWNGRADE_SLACK: Duration = Duration::from_secs(2);

/// A key or route that the operator added, with the time in which it is configured.
#[derive(Clone, Copy, Debug)]
struct Change<'a> {
    name: &'a str,
    from: Instant,
    until: Option<Instant>,
}

/// A call whose outcome shows whether the process had applied a change.
struct Observation<'a> {
    call: &'a Call,
    change: Change<'a>,
    is_allowed: bool,
    seen_at: Instant,
    /// The newest configuration that the outcome proves to be applied, by its time.
    applied: Option<Instant>,
}

/// Checks the calls of a history that show which configuration is in force.
pub(crate) fn check_changes(history: &History, findings: &mut Vec<Finding>) {
    let mut arrivals: BTreeMap<&str, &Arrival> = BTreeMap::new();
    for arrival in history.arrivals.iter().filter(|arrival| arrival.has_run) {
        arrivals.entry(&arrival.attempt_id).or_insert(arrival);
    }
    let mut by_process: BTreeMap<usize, Vec<Observation<'_>>> = BTreeMap::new();
    for call in &history.calls {
        let ran = arrivals.get(call.request.attempt_id.as_str());
        if let Some(observation) = Observation::of(history, call, ran.copied()) {
            by_process.entry(call.process).or_default().push(observation);
        }
    }
    for observations in by_process.values_mut() {
        observations.sort_by_key(|it| it.seen_at);
        check_overdue(history, observations, findings);
        check_downgrades(history, observations, findings);
    }
}

/// Reports the changes that were not in force in time at a process, each once.
fn check_overdue(history: &History, observations: &[Observation<'_>], findings: &mut Vec<Finding>) {
    let mut overdue: BTreeMap<&str, Vec<&Observation<'_>>> = BTreeMap::new();
    for it in observations.iter().filter(|it| it.is_overdue(history)) {
        overdue.entry(it.change.name).or_default().push(it);
    }
    for calls in overdue.values() {
        let rule = "a change of the configuration is in force within its time limit";
        let evidence = format!("{} calls, first {}", calls.len(), calls[0].describe(history));
        findings.push(Finding { rule, evidence });
    }
}

/// In one life of a process, no configuration has an effect after a newer one had.
fn check_downgrades(
    history: &History,
    observations: &mut [Observation<'_>],
    findings: &mut Vec<Finding>,
) {
    for index in 0..observations.len() {
        let (earlier, rest) = observations.split_at_mut(index);
        let Some(later) = rest.first_mut() else { return };
        let mut newest: Option<(&Observation<'_>, Instant)> = None;
        for it in earlier.iter() {
            let Some(applied) = it.applied else { continue };
            if newest.is_none_or(|(_, newest)| applied > newest) && it.binds(history, later) {
                newest = Some((it, applied));
            }
        }
        let Some((first, applied)) = newest else { continue };
        if later.is_older_than(applied) {
            let rule = "a process never goes back to an older configuration";
            let evidence = format!("{}, then {}", first.describe(history), later.describe(history));
            findings.push(Finding { rule, evidence });
        } else if !later.is_allowed && later.change.from <= applied {
            later.applied = later.change.until;
        }
    }
}

impl<'a> Observation<'a> {
    fn of(history: &'a History, call: &'a Call, ran: Option<&Arrival>) -> Option<Observation<'a>> {
        let change = find_change(history, call)?;
        let is_allowed = ran.is_some() || call.response.status == Some(200);
        if !is_allowed && !is_denied(call) {
            return None;
        }
        let seen_at = ran.map_or(call.ended_at, |arrival| arrival.at);
        let applied = is_allowed.then_some(change.from);
        Some(Observation { call, change, is_allowed, seen_at, applied })
    }

    /// Whether the change was removed when the call ended.
    fn is_removed(&self) -> bool {
        self.change.until.is_some_and(|until| until < self.call.ended_at)
    }

    /// Whether the outcome is that of an older configuration than must have been in force.
    fn is_overdue(&self, history: &History) -> bool {
        let Observation { call, change, .. } = self;
        let is_due = |at: Instant| at + CONFIGURATION_LIMIT < call.sent_at;
        let is_older = match self.is_allowed {
            true => change.until.is_some_and(is_due),
            false => is_due(change.from) && !self.is_removed(),
        };
        is_older
            && history.is_configuration_settled(call.sent_at)
            && history.is_in_contact(call.process, call.sent_at, call.ended_at)
    }

    /// Whether the effect of a configuration on this call forbids that of an older one on a later call.
    fn binds(&self, history: &History, later: &Observation<'_>) -> bool {
        let (process, from, until) = (self.call.process, self.seen_at, later.call.ended_at);
        let is_undisturbed = history.is_in_contact(process, from, until);
        let slack = if is_undisturbed { DOWNGRADE_SLACK } else { DISTURBED_DOWNGRADE_SLACK };
        from + slack < later.call.sent_at && history.keeps_state(process, self.call.sent_at, until)
    }

    /// Whether only a configuration that is older than one explains the outcome.
    fn is_older_than(&self, applied: Instant) -> bool {
        match self.is_allowed {
            true => self.change.until.is_some_and(|until| until <= applied),
            false => self.change.from <= applied && !self.is_removed(),
        }
    }

    fn describe(&self, history: &History) -> String {
        let Change { name, from, until } = self.change;
        let (from, until) = (history.seconds(from), until.map(|until| history.seconds(until)));
        let call = describe(history, self.call);
        format!("{call}, {name} configured from {from:.3} to {until:.3?} s")
    }
}

/// Returns the change whose effect a call shows.
fn find_change<'a>(history: &'a History, call: &Call) -> Option<Change<'a>> {
    if let Some(it) = history.added_routes.iter().find(|it| it.name == call.route()) {
        return Some(Change { name: it.name, from: it.from, until: it.until });
    }
    let is_changed = |key: &str| key == call.request.key && key != MAIN_KEY;
    let it = history.keys.iter().find(|it| is_changed(&it.key))?;
    Some(Change { name: &it.key, from: it.from, until: it.until })
}

fn is_denied(call: &Call) -> bool {
    matches!(call.response.status, Some(401 | 403 | 404))
}

fn describe(history: &History, call: &Call) -> String {
    format!(
        "{} {} at process {}, sent at {:.3} s, status {:?}",
        call.request.attempt_id,
        call.request.path,
        call.process,
        history.seconds(call.sent_at),
        call.response.status,
    )
}
