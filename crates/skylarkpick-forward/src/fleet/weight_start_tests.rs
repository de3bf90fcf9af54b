//! Tests of weights that were named while no process watched that still runs.

use super::{
    records::FleetRecords,
    topic_watch::FleetWatcher,
    weight_recorder::record_weights,
    weight_tests::{FailingSource, MODEL, SECOND, SECOND_MS, named},
};
use crate::{
    peers::PeerClient,
    test_support::{TestSource, empty_node_state, entry_records},
};
use skylarkpick_interface::{
    FleetRecord, FleetTopic, FleetUpdate, NamedRecord, RegisteredTarget, WeightVersion,
};
use std::{collections::BTreeMap, sync::Arc};

/// Returns an update with a runner that serves a weight version.
pub(super) fn runner_on(version: WeightVersion) -> FleetUpdate {
    let registration = RegisteredTarget {
        id: "i-1".to_string(),
        service: "tala-llm".to_string(),
        address: ([10, 1, 0, 1], 80).into(),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::from([(MODEL.to_string(), version)]),
        started_at_ms: 1,
    };
    let record = Some(FleetRecord::Target(registration));
    FleetUpdate { records: vec![NamedRecord { name: "i-1".to_string(), record }], revision: 5 }
}

#[tokio::test(start_paused = true)]
async fn weights_named_while_no_process_ran_do_not_look_new_at_each_later_start() {
    struct Case {
        name: &'static str,
        entries: u8,
        served: WeightVersion,
        /// Whether a process that saw the naming records its time after this one has started.
        is_recorded_by_another: bool,
        calls: usize,
    }
    let cases = [
        Case {
            name: "a runner serves older weights",
            entries: 3,
            served: 1,
            is_recorded_by_another: false,
            calls: 1,
        },
        Case {
            name: "all runners serve them",
            entries: 3,
            served: 2,
            is_recorded_by_another: false,
            calls: 0,
        },
        Case {
            name: "another process saw the naming",
            entries: 3,
            served: 1,
            is_recorded_by_another: true,
            calls: 0,
        },
        Case {
            name: "a follower leaves it to its relays",
            entries: 20,
            served: 1,
            is_recorded_by_another: false,
            calls: 0,
        },
    ];
    for case in cases {
        let records = FleetRecords::open(empty_node_state(), "entry-1");
        records.replace(FleetTopic::Entries, &entry_records(case.entries));
        records.replace(FleetTopic::Targets, &runner_on(case.served));
        let source = Arc::new(FailingSource::default());
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(source.clone())),
            records,
            peer_client: Arc::new(PeerClient::default()),
        });
        let task = tokio::spawn(record_weights(watcher.clone()));
        tokio::time::sleep(9 * SECOND).await;
        watcher.records.replace(FleetTopic::Weights, &named(2, &[], 5));
        tokio::time::sleep(SECOND / 4).await;
        if case.is_recorded_by_another {
            watcher.records.update(FleetTopic::Weights, &named(2, &[(2, 8_000)], 6));
        }
        tokio::time::sleep(30 * SECOND).await;
        let expected = vec![(2, 9 * SECOND_MS); case.calls];
        assert_eq!(*source.calls.lock().unwrap(), expected, "{}", case.name);
        task.abort();
    }
}
