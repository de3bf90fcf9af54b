//! Property tests of the lease protocol with three candidates that are paused, started again,
//! partitioned from the platform, or get no response to writes that take effect at once or later,
//! while the store returns from older copies. At no time may two candidates be allowed to send
//! orders, and those of two machines stay apart.

mod model;
mod schedules;

use model::{AnswerAcrossReturn, DEFAULT_TIMING, Model, SEPARATIONS, TICK};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use schedules::{ReturnSchedule, TickEvent, return_schedule, schedule};
use skylarkpick_lease::LeaseRecord;
use std::collections::BTreeMap;

const SEED: u64 = 20_261_203;
const SCHEDULES: u32 = 2_000;

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

#[test]
fn never_permits_orders_of_two_candidates_at_once() {
    for separation in &SEPARATIONS {
        let schedules = prop::collection::vec(schedule(), 3);
        TestRunner::new(config(SCHEDULES))
            .run(&schedules, |schedules| {
                let mut model =
                    Model::open(3, separation, DEFAULT_TIMING, AnswerAcrossReturn::WrittenThen);
                model.run(&schedules, &[]).map(|_| ())
            })
            .unwrap();
        // Without faults the lease is held, and its holder sends orders.
        let gap_ticks = separation.machine_gap.as_millis() / TICK.as_millis();
        let fault_free = vec![vec![TickEvent::Order; 200 + gap_ticks as usize]; 2];
        let mut model = Model::open(2, separation, DEFAULT_TIMING, AnswerAcrossReturn::WrittenThen);
        let orders = model.run(&fault_free, &[]).unwrap();
        assert!(orders > 150, "{orders} orders in 200 ticks after the gap");
    }
}

/// Orders sent in all schedules, and the number of schedules that broke each rule.
#[derive(Debug, Default)]
struct ReturnFindings {
    orders: usize,
    broken: BTreeMap<String, usize>,
}

#[test]
fn store_returning_from_an_older_copy_gives_no_second_holder_and_no_lower_fencing_number() {
    let mut failures = Vec::new();
    for (index, separation) in SEPARATIONS.iter().enumerate() {
        let mut runner = TestRunner::new(config(SCHEDULES));
        let mut findings = ReturnFindings::default();
        for _ in 0..SCHEDULES {
            let schedule: ReturnSchedule =
                return_schedule().new_tree(&mut runner).unwrap().current();
            let mut model =
                Model::open(3, separation, schedule.timing, schedule.answer_across_return);
            model.learns_from_other_calls = schedule.learns_from_other_calls;
            let result = model.run(&schedule.events, &schedule.returns).and_then(|orders| {
                findings.orders += orders;
                model.return_without_faults(&schedule.last_return)
            });
            if let Err(error) = result {
                *findings.broken.entry(error.to_string()).or_default() += 1;
            }
        }
        println!("separation {index}: {findings:?}");
        if !findings.broken.is_empty() || findings.orders == 0 {
            failures.push(format!("separation {index}: {findings:?}"));
        }
    }
    assert!(failures.is_empty(), "of {SCHEDULES} schedules each: {failures:#?}");
}

#[test]
fn any_content_is_taken_over_within_the_longest_wait() {
    let record = (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(|(term, order, released)| {
        format!(
            "{{\"holder\":\"h\",\"nonce\":\"n\",\"term_ms\":{term},\"order_timeout_ms\":{order},\
             \"released\":{released}}}"
        )
        .into_bytes()
    });
    let content = prop_oneof![record, prop::collection::vec(any::<u8>(), 0..200)];
    TestRunner::new(config(5_000))
        .run(&content, |content| {
            let record = LeaseRecord::decode(&content);
            let mut model = Model::with_record(&SEPARATIONS[0], &record);
            // The longest wait is five minutes for the term and five minutes for an order.
            (0..605).for_each(|_| model.run_second());
            prop_assert!(model.is_held());
            Ok(())
        })
        .unwrap();
}
