//! Tests of the fair queue.

use super::{FairQueue, QueuedRequest};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use skylarkpick_interface::Priority;
use std::{collections::BTreeMap, time::Duration};

fn queued(id: u64, account: &str, priority: Priority, cost_tokens: u64) -> QueuedRequest {
    let start_by = Duration::from_secs(60);
    QueuedRequest { id, account: account.to_string(), priority, cost_tokens, start_by }
}

fn drain(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop()).map(|queued| queued.id).collect()
}

#[test]
fn serves_by_weight_and_then_by_priority_and_arrival() {
    struct Case {
        name: &'static str,
        /// Account, weight, priority and tokens. Ids are positions, starting at 1.
        pushed: Vec<(&'static str, f64, Priority, u64)>,
        served: Vec<u64>,
    }
    use Priority::{High, Low, Normal};
    let cases = [
        Case {
            name: "arrival within an account",
            pushed: vec![("a", 1.0, Normal, 10), ("a", 1.0, Normal, 10)],
            served: vec![1, 2],
        },
        Case {
            name: "priority within an account",
            pushed: vec![("a", 1.0, Low, 10), ("a", 1.0, Normal, 10), ("a", 1.0, High, 10)],
            served: vec![3, 2, 1],
        },
        Case {
            name: "priority does not overtake another account",
            pushed: vec![
                ("a", 1.0, High, 10),
                ("a", 1.0, High, 10),
                ("a", 1.0, High, 10),
                ("b", 1.0, Low, 10),
            ],
            served: vec![1, 4, 2, 3],
        },
        Case {
            name: "an account of weight two is served twice as often",
            pushed: vec![
                ("a", 2.0, Normal, 10),
                ("a", 2.0, Normal, 10),
                ("a", 2.0, Normal, 10),
                ("b", 1.0, Normal, 10),
                ("b", 1.0, Normal, 10),
            ],
            served: vec![1, 4, 2, 3, 5],
        },
        Case {
            name: "requests count by their tokens",
            pushed: vec![
                ("a", 1.0, Normal, 30),
                ("a", 1.0, Normal, 30),
                ("b", 1.0, Normal, 10),
                ("b", 1.0, Normal, 10),
                ("b", 1.0, Normal, 10),
            ],
            served: vec![1, 3, 4, 5, 2],
        },
    ];
    for case in cases {
        let mut queue = FairQueue::default();
        for (index, (account, weight, priority, cost)) in case.pushed.iter().enumerate() {
            queue.push(queued(index as u64 + 1, account, *priority, *cost), *weight);
        }
        assert_eq!(drain(&mut queue), case.served, "{}", case.name);
        assert!(queue.is_empty());
        assert_eq!(queue.waiting_tokens(), 0);
    }
}

#[test]
fn an_idle_account_accumulates_no_credit() {
    let mut queue = FairQueue::default();
    for id in 1..=10 {
        queue.push(queued(id, "busy", Priority::Normal, 10), 1.0);
    }
    (0..5).for_each(|_| drop(queue.pop()));
    for id in 11..=13 {
        queue.push(queued(id, "late", Priority::Normal, 10), 1.0);
    }
    assert_eq!(drain(&mut queue), [11, 6, 12, 7, 13, 8, 9, 10]);
}

#[test]
fn expires_requests_that_should_have_started() {
    let mut queue = FairQueue::default();
    for id in 1..=3 {
        let start_by = Duration::from_secs(id);
        queue.push(QueuedRequest { start_by, ..queued(id, "a", Priority::Normal, 10) }, 1.0);
    }
    let expired: Vec<u64> =
        queue.expire(Duration::from_secs(2)).iter().map(|queued| queued.id).collect();
    assert_eq!(expired, [1, 2]);
    assert_eq!(queue.remove(1), None);
    assert_eq!(drain(&mut queue), [3]);
}

/// While all accounts wait, the served tokens of two accounts, divided by their weights, differ by
/// no more than a largest request of each, divided by its weight: the bound of start-time fair
/// queueing.
#[test]
fn served_tokens_follow_weights() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::with_cases(200), rng);
    let strategy = proptest::collection::vec((0_usize..3, 1_u64..200), 30..120);
    runner
        .run(&strategy, |requests| {
            let weights = [1.0, 2.0, 4.0];
            let mut queue = FairQueue::default();
            let mut left = BTreeMap::new();
            for (id, (account, cost)) in requests.iter().enumerate() {
                let name = account.to_string();
                queue.push(queued(id as u64, &name, Priority::Normal, *cost), weights[*account]);
                *left.entry(*account).or_insert(0) += 1;
            }
            let mut served = BTreeMap::from([(0, 0.0), (1, 0.0), (2, 0.0)]);
            while left.len() == 3 && left.values().all(|count| *count > 0) {
                let next = queue.pop().unwrap();
                let account: usize = next.account.parse().unwrap();
                *left.get_mut(&account).unwrap() -= 1;
                *served.get_mut(&account).unwrap() += next.cost_tokens as f64 / weights[account];
                for (one, other) in [(0, 1), (0, 2), (1, 2)] {
                    let difference: f64 = served[&one] - served[&other];
                    let bound = 200.0 / weights[one] + 200.0 / weights[other];
                    prop_assert!(
                        difference.abs() <= bound,
                        "{one} and {other} differ by {difference}"
                    );
                }
            }
            Ok(())
        })
        .unwrap();
}
