//! Tests of admission control.

use super::{Admission, AdmissionDecision, AdmissionRequest, QueueDecision, RefusalReason};
use crate::limit::AccountLimits;
use skylarkpick_interface::Priority;
use std::{collections::BTreeMap, time::Duration};

const MODEL: &str = "model";
const LIMITS: AccountLimits =
    AccountLimits { requests_limit: 10_000, tokens_per_second_limit: 1e9 };

fn request(account: &str, start_by: Duration) -> AdmissionRequest {
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

/// Returns an admission control that runs one request at a time.
fn admission_of_one() -> Admission {
    let mut admission = Admission::open(1);
    admission.set_capacity(MODEL, 1);
    admission
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn refuses_at_once_a_request_that_cannot_meet_its_deadline() {
    let mut admission = admission_of_one();
    let mut ids = Vec::new();
    // One request starts every 100 ms, so the eleventh in the queue waits about a second.
    for step in 0..50 {
        let admitted = admission.admit(&request("a", millis(1_000_000)), millis(step * 100));
        if let AdmissionDecision::Start(id) | AdmissionDecision::Queued(id) = admitted {
            ids.push(id);
        }
        admission.release(ids[step as usize]);
        admission.advance(millis(step * 100));
    }
    let now = millis(5_000);
    for _ in 0..11 {
        admission.admit(&request("a", now + millis(1_000_000)), now);
    }
    let urgent = admission.admit(&request("a", now + millis(100)), now);
    let AdmissionDecision::Refused(refusal) = urgent else { panic!("{urgent:?}") };
    assert_eq!(refusal.reason, RefusalReason::DeadlineCannotBeMet);
    assert!(refusal.retry_after >= millis(100), "{refusal:?}");
    assert!(matches!(
        admission.admit(&request("a", now + millis(60_000)), now),
        AdmissionDecision::Queued(_)
    ));
    // A request of another account doesn't wait for the queue of this one.
    assert!(matches!(
        admission.admit(&request("b", now + millis(100)), now),
        AdmissionDecision::Queued(_)
    ));
}

#[test]
fn refuses_a_waiting_request_once_it_can_no_longer_start_in_time() {
    let mut admission = admission_of_one();
    assert!(matches!(
        admission.admit(&request("a", millis(10)), millis(0)),
        AdmissionDecision::Start(_)
    ));
    let AdmissionDecision::Queued(id) = admission.admit(&request("a", millis(10)), millis(0))
    else {
        panic!()
    };
    assert_eq!(admission.advance(millis(9)), []);
    let decisions = admission.advance(millis(10));
    assert!(matches!(&decisions[..], [QueueDecision::Refused(refused, _)] if *refused == id));
    assert_eq!(admission.counts(MODEL), (1, 0));
}

#[test]
fn refuses_only_the_account_that_exceeds_its_limit() {
    let limits = AccountLimits { requests_limit: 2, ..LIMITS };
    let over = AdmissionRequest { limits, ..request("a", millis(1_000)) };
    let mut admission = admission_of_one();
    assert!(matches!(admission.admit(&over, millis(0)), AdmissionDecision::Start(_)));
    assert!(matches!(admission.admit(&over, millis(0)), AdmissionDecision::Queued(_)));
    let AdmissionDecision::Refused(refusal) = admission.admit(&over, millis(0)) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::OverLimit);
    let other = AdmissionRequest { limits, ..request("b", millis(1_000)) };
    assert!(matches!(admission.admit(&other, millis(0)), AdmissionDecision::Queued(_)));
}

#[test]
fn releasing_a_waiting_request_removes_it_from_the_queue() {
    let mut admission = admission_of_one();
    let AdmissionDecision::Start(first) = admission.admit(&request("a", millis(100)), millis(0))
    else {
        panic!()
    };
    let AdmissionDecision::Queued(waiting) = admission.admit(&request("a", millis(100)), millis(0))
    else {
        panic!()
    };
    admission.release(waiting);
    admission.release(first);
    admission.release(first);
    assert_eq!(admission.advance(millis(1)), []);
    assert_eq!(admission.counts(MODEL), (0, 0));
}

/// One account floods a model that serves one request every 10 ms, while another account sends one
/// request every 200 ms. Returns the longest wait of the second account in milliseconds.
fn longest_wait_ms(flood: usize) -> u64 {
    let mut admission = admission_of_one();
    let mut running = None;
    let mut sent_at = BTreeMap::new();
    let mut longest = 0;
    for step in 0..1_000_u64 {
        let now = millis(step * 10);
        let start_by = now + millis(5_000);
        let mut starts = Vec::new();
        for index in 0..flood + usize::from(step % 20 == 0) {
            let account = if index < flood { "flood" } else { "small" };
            match admission.admit(&request(account, start_by), now) {
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
            admission.release(done);
        }
        for decision in admission.advance(now) {
            match decision {
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
        /// Longest allowed wait: for the running request, and for one request of the flooding
        /// account that may be next.
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
