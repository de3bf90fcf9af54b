//! Benchmarks of the fair queue and of admission control at the planned number of client accounts.

use criterion::{Criterion, criterion_group, criterion_main};
use skylarkpick_interface::Priority;
use skylarkpick_schedule::{
    AccountLimits, Admission, AdmissionDecision, AdmissionRequest, FairQueue, QueuedRequest,
};
use std::{hint::black_box, time::Duration};

/// Planned number of client accounts.
const ACCOUNTS: u64 = 560;
/// Requests in the queue during the benchmark.
const WAITING: u64 = 5_600;

fn queued(id: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        account: format!("account-{}", id % ACCOUNTS),
        priority: Priority::Normal,
        cost_tokens: 1_000 + id % 7_000,
        start_by: Duration::from_secs(60),
    }
}

fn request(id: u64) -> AdmissionRequest {
    AdmissionRequest {
        account: format!("account-{}", id % ACCOUNTS),
        model: "model".to_string(),
        weight: 1.0,
        limits: AccountLimits { requests_limit: 1_000_000, tokens_per_second_limit: 1e12 },
        priority: Priority::Normal,
        cost_tokens: 1_000,
        start_by: Duration::from_secs(1_000_000),
    }
}

fn bench_queue(criterion: &mut Criterion) {
    let mut queue = FairQueue::default();
    (0..WAITING).for_each(|id| queue.push(queued(id), 1.0));
    let mut next = WAITING;
    criterion.bench_function("fair queue, push and pop, 560 accounts", |bencher| {
        bencher.iter(|| {
            queue.push(queued(next), 1.0);
            next += 1;
            black_box(queue.pop())
        });
    });
}

fn bench_admission(criterion: &mut Criterion) {
    let mut admission = Admission::open(72);
    admission.set_capacity("model", 64);
    let mut running = std::collections::VecDeque::new();
    let mut next = 0;
    criterion.bench_function("admission, enter and release, 560 accounts", |bencher| {
        bencher.iter(|| {
            next += 1;
            let now = Duration::from_micros(next * 1_000);
            if let AdmissionDecision::Start(id) | AdmissionDecision::Queued(id) =
                admission.admit(&request(next), now)
            {
                running.push_back(id);
            }
            if running.len() > 128
                && let Some(id) = running.pop_front()
            {
                admission.release(id);
            }
            black_box(admission.advance(now))
        });
    });
}

criterion_group!(benches, bench_queue, bench_admission);
criterion_main!(benches);
