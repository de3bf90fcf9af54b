//! Request queues and account limits: memory per request and account, and time per admission.

use super::timing::mean_seconds;
use crate::{memory::mean_bytes, plan::PLANNED_SIZE, slope::Slopes};
use skylarkpick_interface::Priority;
use skylarkpick_schedule::{
    AccountLimits, Admission, AdmissionDecision, AdmissionRequest, FairQueue, QueuedRequest,
};
use std::time::Duration;

/// Queued requests over which memory is averaged.
const HELD_REQUESTS: usize = 200_000;

pub(super) fn measure(slopes: &mut Slopes) {
    let accounts = PLANNED_SIZE.accounts as u64;
    let mut queue = FairQueue::default();
    let bytes =
        mean_bytes(HELD_REQUESTS, |index| queue.push(queued_request(index as u64, accounts), 1.0));
    std::mem::forget(queue);
    slopes.record("queued request memory", bytes, "bytes", "200,000 requests of 560 accounts held");
    let bytes = mean_bytes(200, |_| {
        let mut admission = Admission::open(PLANNED_SIZE.entries as usize);
        (0..accounts).for_each(|account| {
            admission.admit(&admission_request(account, accounts), Duration::ZERO);
        });
        admission
    });
    let each = bytes / PLANNED_SIZE.accounts;
    slopes.record("account memory", each, "bytes", "560 accounts with one request each, 200 times");
    let (mut admission, mut next) = (Admission::open(1), 0);
    admission.set_capacity("model", usize::MAX);
    let time = mean_seconds(|| {
        next += 1;
        let now = Duration::from_micros(next * 100);
        if let AdmissionDecision::Start(id) =
            admission.admit(&admission_request(next, accounts), now)
        {
            admission.release(id);
        }
    });
    slopes.record("admission time", time, "s", "enter and release, 560 accounts in turn");
}

fn queued_request(id: u64, accounts: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        account: format!("account-{}", id % accounts),
        priority: Priority::Normal,
        cost_tokens: 1_000,
        start_by: Duration::from_secs(60),
    }
}

fn admission_request(id: u64, accounts: u64) -> AdmissionRequest {
    AdmissionRequest {
        account: format!("account-{}", id % accounts),
        model: "model".to_string(),
        weight: 1.0,
        limits: AccountLimits { requests_limit: 1_000_000, tokens_per_second_limit: 1e12 },
        priority: Priority::Normal,
        cost_tokens: 1_000,
        start_by: Duration::from_secs(1_000_000),
    }
}
