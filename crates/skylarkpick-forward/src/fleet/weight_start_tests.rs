//! Tests of processes that find desired weights without a recorded time at their start.

use super::{
    records::FleetRecords,
    weight_tests::{MODEL, named},
};
use crate::test_support::empty_node_state;
use skylarkpick_interface::{FleetTopic, WeightVersion};
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn a_start_without_a_recorded_time_shortens_the_use_of_replaced_weights_only() {
    struct Case {
        name: &'static str,
        desired: WeightVersion,
        served: WeightVersion,
        /// Time since the first read, in milliseconds.
        at_ms: u64,
        is_usable: bool,
    }
    let cases = [
        Case { name: "calm start", desired: 1, served: 1, at_ms: 0, is_usable: true },
        Case { name: "long after it", desired: 1, served: 1, at_ms: 3_600_000, is_usable: true },
        Case { name: "newest weights", desired: 2, served: 2, at_ms: 3_600_000, is_usable: true },
        Case { name: "replaced, at once", desired: 2, served: 1, at_ms: 0, is_usable: true },
        Case { name: "replaced, 10 s ago", desired: 2, served: 1, at_ms: 7_400, is_usable: true },
        Case { name: "replaced, 11 s ago", desired: 2, served: 1, at_ms: 7_500, is_usable: false },
    ];
    for case in cases {
        let node_state = empty_node_state();
        let records = FleetRecords::open(node_state.clone(), "entry-1");
        records.replace(FleetTopic::Weights, &named(case.desired, &[], 5));
        tokio::time::sleep(Duration::from_millis(case.at_ms)).await;
        let now = node_state.now();
        let is_usable = node_state.lock().placement.weights.is_usable(MODEL, case.served, now);
        assert_eq!(is_usable, case.is_usable, "{}", case.name);
    }
}
