//! Cases of the gate.

use super::{Admission, AdmissionDecision, AdmissionRequest, QueueDecision, RefusalReason};
use crate::limit::AccountLimits;
use skylarkpick_interface::Priority;
use std::{collections::BTreeMap, time::Duration};

const MODEL: &str = "model";
const LIMITS: AccountLimits =
    AccountLimits { requests_limit: 10_000, tokens_per_second_limit: 1e9 };

fn offer(account: &str, start_by: Duration) -> AdmissionRequest {
    AdmissionRequest {
        account: account.to_string(),
        model: MODEL.to_string(),
        weight: 1.0,
        limits: LIMITS,
        priority: Priority::Normal,
        cost_tokens: 100,
        start_by,
    }
}

fn gate_for_one() -> Admission {
    let mut gate = Admission::open(1);
    gate.set_capacity(MODEL, 1);
    gate
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut gate = gate_for_one();
    let mut ids = Vec::new();
    // One request starts every 100 ms, so the eleventh in the queue waits for about a second.
    for step in 0..50 {
        let admitted = gate.admit(&offer("a", millis(1_000_000)), millis(step * 100));
        if let AdmissionDecision::Start(id) | AdmissionDecision::Queued(id) = admitted {
            ids.push(id);
        }
        gate.release(ids[step as usize]);
        gate.advance(millis(step * 100));
    }
    let now = millis(5_000);
    for _ in 0..11 {
        gate.admit(&offer("a", now + millis(1_000_000)), now);
    }
    let hurried = gate.admit(&offer("a", now + millis(100)), now);
    let AdmissionDecision::Refused(refusal) = hurried else { panic!("{hurried:?}") };
    assert_eq!(refusal.reason, RefusalReason::DeadlineCannotBeMet);
    assert!(refusal.retry_after >= millis(100), "{refusal:?}");
    assert!(matches!(
        gate.admit(&offer("a", now + millis(60_000)), now),
        AdmissionDecision::Queued(_)
    ));
    // Another account waits for nothing of this one's.
    assert!(matches!(
        gate.admit(&offer("b", now + millis(100)), now),
        AdmissionDecision::Queued(_)
    ));
}

#[test]
fn a_request_that_waited_too_long_is_refused_when_its_time_is_up() {
    let mut gate = gate_for_one();
    assert!(matches!(gate.admit(&offer("a", millis(10)), millis(0)), AdmissionDecision::Start(_)));
    let AdmissionDecision::Queued(id) = gate.admit(&offer("a", millis(10)), millis(0)) else {
        panic!()
    };
    assert_eq!(gate.advance(millis(9)), []);
    let verdicts = gate.advance(millis(10));
    assert!(matches!(&verdicts[..], [QueueDecision::Refused(refused, _)] if *refused == id));
    assert_eq!(gate.counts(MODEL), (1, 0));
}

#[test]
fn an_account_over_its_limit_is_refused_and_others_are_not() {
    let limits = AccountLimits { requests_limit: 2, ..LIMITS };
    let over = AdmissionRequest { limits, ..offer("a", millis(1_000)) };
    let mut gate = gate_for_one();
    assert!(matches!(gate.admit(&over, millis(0)), AdmissionDecision::Start(_)));
    assert!(matches!(gate.admit(&over, millis(0)), AdmissionDecision::Queued(_)));
    let AdmissionDecision::Refused(refusal) = gate.admit(&over, millis(0)) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::OverLimit);
    let other = AdmissionRequest { limits, ..offer("b", millis(1_000)) };
    assert!(matches!(gate.admit(&other, millis(0)), AdmissionDecision::Queued(_)));
}

#[test]
fn a_caller_that_goes_away_leaves_no_trace() {
    let mut gate = gate_for_one();
    let AdmissionDecision::Start(first) = gate.admit(&offer("a", millis(100)), millis(0)) else {
        panic!()
    };
    let AdmissionDecision::Queued(gone) = gate.admit(&offer("a", millis(100)), millis(0)) else {
        panic!()
    };
    gate.release(gone);
    gate.release(first);
    gate.release(first);
    assert_eq!(gate.advance(millis(1)), []);
    assert_eq!(gate.counts(MODEL), (0, 0));
}

/// One account floods a gate that serves one request in 10 ms; another sends one each 200 ms.
/// Gives the longest wait of the second account in milliseconds.
fn longest_wait_ms(flood: usize) -> u64 {
    let mut gate = gate_for_one();
    let mut running = None;
    let mut sent_at = BTreeMap::new();
    let mut longest = 0;
    for step in 0..1_000_u64 {
        let now = millis(step * 10);
        let start_by = now + millis(5_000);
        let mut starts = Vec::new();
        for index in 0..flood + usize::from(step % 20 == 0) {
            let account = if index < flood { "flood" } else { "small" };
            match gate.admit(&offer(account, start_by), now) {
                AdmissionDecision::Start(id) => {
                    starts.push(id);
                    sent_at.insert(id, (account, step));
                }
                AdmissionDecision::Queued(id) => drop(sent_at.insert(id, (account, step))),
                AdmissionDecision::Refused(refusal) => {
                    assert_eq!(account, "flood", "{refusal:?}");
                }
            }
        }
        if let Some(done) = running.take() {
            gate.release(done);
        }
        for verdict in gate.advance(now) {
            match verdict {
                QueueDecision::Start(id) => starts.push(id),
                QueueDecision::Refused(id, _) => assert_eq!(sent_at[&id].0, "flood"),
            }
        }
        for id in starts {
            running = Some(id);
            if sent_at[&id].0 == "small" {
                longest = longest.max((step - sent_at[&id].1) * 10);
            }
        }
    }
    longest
}

#[test]
fn a_flooding_account_does_not_delay_another() {
    struct Case {
        flood: usize,
        /// The request that runs, and one of the flooding account's that may be next.
        longest_ms: u64,
    }
    let cases = [
        Case { flood: 0, longest_ms: 0 },
        Case { flood: 2, longest_ms: 20 },
        Case { flood: 20, longest_ms: 20 },
    ];
    for case in cases {
        let longest_ms = longest_wait_ms(case.flood);
        assert!(longest_ms <= case.longest_ms, "flood of {}: {longest_ms} ms", case.flood);
    }
}
