//! Tests of processes that find desired weights without a recorded time at their start.

use super::{
    records::FleetRecords,
    topic_watch::FleetWatcher,
    weight_recorder::record_weights,
    weight_tests::{FailingSource, MODEL, first_update, named},
};
use crate::{
    peers::PeerClient,
    test_support::{TestSource, empty_node_state, entry_records},
};
use skylarkpick_interface::{FleetRecord, FleetTopic, FleetUpdate, WeightVersion};
use std::{sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Returns an update with one runner, which serves a version.
fn runner(weight_version: WeightVersion) -> FleetUpdate {
    let mut update = first_update(FleetTopic::Targets);
    for named in &mut update.records {
        if let Some(FleetRecord::Target(target)) = &mut named.record {
            target.weights.insert(MODEL.to_string(), weight_version);
        }
    }
    update
}

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

#[tokio::test(start_paused = true)]
async fn a_second_start_in_a_rollout_does_not_count_anew_for_want_of_a_recorded_time() {
    struct Case {
        name: &'static str,
        entries: u8,
        desired: WeightVersion,
        served: WeightVersion,
        /// Time from the first read of the weights to that of the runners, in milliseconds.
        runners_after_ms: u64,
        /// Whether a process that saw the naming records its time 0.3 s after the first read.
        is_recorded_meanwhile: bool,
        calls: &'static [(WeightVersion, u64)],
    }
    let calm = Case {
        name: "one version everywhere",
        entries: 3,
        desired: 1,
        served: 1,
        runners_after_ms: 0,
        is_recorded_meanwhile: false,
        calls: &[],
    };
    // The first read is at 9 s.
    let cases = [
        Case { name: "replaced weights", desired: 2, calls: &[(2, 6_000)], ..calm },
        Case {
            name: "replaced weights, runners known later",
            desired: 2,
            runners_after_ms: 5_000,
            calls: &[(2, 6_000)],
            ..calm
        },
        Case { name: "newest weights everywhere", desired: 2, served: 2, ..calm },
        Case { name: "seen by another", desired: 2, is_recorded_meanwhile: true, ..calm },
        Case { name: "a follower leaves it to its relays", desired: 2, entries: 20, ..calm },
        calm,
    ];
    for case in cases {
        let records = FleetRecords::open(empty_node_state(), "entry-1");
        records.replace(FleetTopic::Entries, &entry_records(case.entries));
        let source = Arc::new(FailingSource::default());
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(source.clone())),
            records,
            peer_client: Arc::new(PeerClient::default()),
        });
        let task = tokio::spawn(record_weights(watcher.clone()));
        tokio::time::sleep(9 * SECOND).await;
        watcher.records.replace(FleetTopic::Weights, &named(case.desired, &[], 5));
        tokio::time::sleep(Duration::from_millis(case.runners_after_ms)).await;
        watcher.records.replace(FleetTopic::Targets, &runner(case.served));
        tokio::time::sleep(Duration::from_millis(300)).await;
        if case.is_recorded_meanwhile {
            let recorded = named(case.desired, &[(case.desired, 8_900)], 6);
            watcher.records.update(FleetTopic::Weights, &recorded);
        }
        tokio::time::sleep(60 * SECOND).await;
        assert_eq!(*source.calls.lock().unwrap(), case.calls, "{}", case.name);
        task.abort();
    }
}
