//! Checks that all processes together keep to the limits that targets name.

use crate::{
    checks::Finding,
    history::{Call, History},
};
use skylarkpick_platform_standin::Arrival;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after the first answer with a limit from which it has to be kept, as the users require.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// Time in which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Requests that may reach a target within that time beyond one and a half times its limit.
const ALLOWED_MORE: f64 = 5.0;
/// Time after which a process has passed on an answer that named a limit.
const TOLD_TIME: Duration = Duration::from_secs(1);

/// A target between two starts.
type TargetStart<'a> = (&'a str, u64);

/// Checks the arrivals of a history at targets that had named a limit.
pub(crate) fn check_limits(history: &History, findings: &mut Vec<Finding>) {
    let calls: BTreeMap<&str, &Call> =
        history.calls.iter().map(|call| (call.request.attempt_id.as_str(), call)).collect();
    let mut limited: BTreeMap<TargetStart<'_>, Vec<(&Arrival, f64, usize)>> = BTreeMap::new();
    for arrival in &history.arrivals {
        let call = calls.get(arrival.attempt_id.as_str());
        let limit = arrival.limit.as_ref().and_then(|limit| limit.parse().ok());
        let limit = limit.filter(|limit: &f64| limit.is_finite());
        if let (Some(call), Some(limit)) = (call, limit) {
            let start = (arrival.target.as_str(), arrival.started_at_ms);
            limited.entry(start).or_default().push((arrival, limit, call.process));
        }
    }
    for ((target, _), arrivals) in limited {
        check_target(history, target, &arrivals, findings);
    }
}

fn check_target(
    history: &History,
    target: &str,
    arrivals: &[(&Arrival, f64, usize)],
    findings: &mut Vec<Finding>,
) {
    let Some(first) = arrivals.iter().map(|(arrival, ..)| arrival.at).min() else { return };
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    for (arrival, _, process) in arrivals {
        told.entry(*process).or_insert(arrival.at);
    }
    let is_bound = |(arrival, _, process): &&(&Arrival, f64, usize)| {
        let told_at = told[process] + TOLD_TIME;
        arrival.at >= told_at
            && history.keeps_state(*process, told[process], arrival.at)
            && !history.has_link_fault(target, told[process], arrival.at)
    };
    let bound: Vec<&(&Arrival, f64, usize)> = arrivals.iter().filter(is_bound).collect();
    for (start, ..) in bound.iter().filter(|(it, ..)| it.at >= first + EVIDENCE_WINDOW) {
        let within: Vec<&&(&Arrival, f64, usize)> = bound
            .iter()
            .filter(|(it, ..)| it.at >= start.at && it.at < start.at + COUNTED_TIME)
            .collect();
        // A limit that changed within the time counts with its highest value.
        let limit = within.iter().map(|(_, limit, _)| *limit).fold(0.0, f64::max);
        let allowed = 1.5 * limit * COUNTED_TIME.as_secs_f64() + ALLOWED_MORE;
        if within.len() as f64 > allowed {
            let rule = "a target gets no more than its limit allows from all processes together";
            let at = history.seconds(start.at);
            let evidence = format!(
                "{target} got {} in 4 s from {at:.3} s at {limit} a second, allowed {allowed}",
                within.len()
            );
            findings.push(Finding { rule, evidence });
            return;
        }
    }
}
