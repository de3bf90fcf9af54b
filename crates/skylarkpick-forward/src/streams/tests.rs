//! Tests of sharing and looking up which software version began a stream.

use super::{StreamKnowledge, StreamRegistry};
use crate::{
    fleet::{FleetRecords, FleetWatcher},
    node_state::NodeState,
    peers::{PeerClient, PeerResponse},
    serving_index::ServingIndex,
    test_support::{SlowNetwork, TestRecords, TestSource, at, empty_node_state, entry_records},
};
use skylarkpick_interface::{
    ClientLimits, FleetRecord, FleetTopic, FleetUpdate, NamedRecord, RegisteredTarget,
    ServingDocument, StreamOrigin,
};
use skylarkpick_schedule::StreamFingerprint;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const SERVICE: &str = "tala-llm";

/// Platform without records.
struct NoRecords;

impl TestRecords for NoRecords {}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE.to_string(),
        target: "i-1".to_string(),
        started_at_ms: 1,
        software_version: version.to_string(),
        began_at_ms: 5,
    }
}

/// Returns records of the targets `i-1`, `i-2` and so on, with these software versions.
fn targets(versions: &[&str], revision: u64) -> FleetUpdate {
    let records = versions.iter().enumerate().map(|(index, version)| {
        let name = format!("i-{}", index + 1);
        let target = RegisteredTarget {
            id: name.clone(),
            service: SERVICE.to_string(),
            address: ([10, 1, 0, 1], 80).into(),
            data_centre: "mnl-a".to_string(),
            slots: 64,
            is_draining: false,
            weights: BTreeMap::new(),
            started_at_ms: 1,
            software_version: Some(version.to_string()),
            cold_remaining: None,
        };
        NamedRecord { name, record: Some(FleetRecord::Target(target)) }
    });
    FleetUpdate { records: records.collect(), revision: at(revision) }
}

fn registry(node_state: &Arc<NodeState>, response: Option<PeerResponse>) -> StreamRegistry {
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(Arc::new(SlowNetwork { delay: SECOND / 100, response }));
    let watcher = Arc::new(FleetWatcher {
        source: Arc::new(TestSource(Arc::new(NoRecords))),
        records: FleetRecords::open(node_state.clone(), "entry-0"),
        peer_client,
    });
    watcher.records.update(FleetTopic::Entries, &entry_records(3));
    StreamRegistry { node_state: node_state.clone(), watcher, data_centre: "mnl-a".to_string() }
}

#[tokio::test(start_paused = true)]
async fn streams_are_shared_once_their_service_gets_a_second_software_version() {
    let node_state = empty_node_state();
    let limits = ClientLimits {
        head_size_bytes: 1_000,
        body_size_bytes: 1_000,
        head_timeout: SECOND,
        idle_timeout: SECOND,
    };
    node_state.install_serving(ServingIndex::open(ServingDocument {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits,
        accounts: None,
        cold_starts: BTreeMap::new(),
    }));
    let registry = registry(&node_state, None);
    let records = &registry.watcher.records;
    records.update(FleetTopic::Targets, &targets(&["v1", "v1"], 5));
    for _ in 0..30 {
        tokio::time::sleep(SECOND).await;
        records.note_complete(FleetTopic::Targets, node_state.now());
    }
    assert!(node_state.has_only_version(SERVICE));
    let stream = StreamFingerprint::of("a1");
    node_state.note_stream(stream, origin("v1"), true);
    assert_eq!(node_state.take_streams_to_share(), []);
    records.update(FleetTopic::Targets, &targets(&["v1", "v1", "v1.1"], 6));
    assert!(!node_state.has_only_version(SERVICE));
    assert_eq!(node_state.take_streams_to_share(), [(stream, origin("v1"))]);
    assert_eq!(node_state.take_streams_to_share(), []);
    let known = node_state.stream_knowledge(Some(stream), SERVICE, 10 * SECOND);
    assert_eq!(known, StreamKnowledge::Began(origin("v1")));
}

#[tokio::test(start_paused = true)]
async fn a_stream_of_an_unknown_software_version_is_found_at_other_processes_or_not_at_all() {
    struct Case {
        name: &'static str,
        registered: &'static [&'static str],
        response: Option<PeerResponse>,
        expected: Option<&'static str>,
    }
    let only = |version: &str| Some(PeerResponse::OnlySoftwareVersion(version.to_string()));
    let cases = [
        Case {
            name: "a record",
            registered: &["v1", "v1.1"],
            response: Some(PeerResponse::StreamBegan(origin("v1"))),
            expected: Some("v1"),
        },
        Case {
            name: "a record of a target that has restarted on another version",
            registered: &["v1.1"],
            response: Some(PeerResponse::StreamBegan(origin("v1"))),
            expected: None,
        },
        Case {
            name: "only one version ever",
            registered: &["v1", "v1"],
            response: only("v1"),
            expected: Some("v1"),
        },
        Case {
            name: "only one version ever, but another one is registered",
            registered: &["v1", "v1.1"],
            response: only("v1"),
            expected: None,
        },
        Case {
            name: "nothing",
            registered: &["v1"],
            response: Some(PeerResponse::Nothing),
            expected: None,
        },
        Case { name: "no response", registered: &["v1"], response: None, expected: None },
    ];
    for case in cases {
        let node_state = empty_node_state();
        let registry = registry(&node_state, case.response);
        registry.watcher.records.update(FleetTopic::Targets, &targets(case.registered, 5));
        let began = Instant::now();
        let found = registry.find(Some(&"a1".to_string()), &SERVICE.to_string(), 10 * SECOND).await;
        let found = found.map(|found| found.version);
        assert_eq!(found.as_deref(), case.expected, "{}", case.name);
        assert!(began.elapsed() <= SECOND / 5, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_missed_a_software_version_does_not_outweigh_the_own_recent_registrations() {
    let node_state = empty_node_state();
    let response = PeerResponse::OnlySoftwareVersion("v1".to_string());
    let registry = registry(&node_state, Some(response));
    let records = &registry.watcher.records;
    records.update(FleetTopic::Targets, &targets(&["v1", "v1.1"], 5));
    for _ in 0..30 {
        tokio::time::sleep(SECOND).await;
        records.note_complete(FleetTopic::Targets, node_state.now());
    }
    // The target on v1.1 has left, so that v1 is the only version registered now.
    let left = NamedRecord { name: "i-2".to_string(), record: None };
    records.update(FleetTopic::Targets, &FleetUpdate { records: vec![left], revision: at(6) });
    let found = registry.find(Some(&"a1".to_string()), &SERVICE.to_string(), 10 * SECOND).await;
    assert_eq!(found, None);
}

#[tokio::test(start_paused = true)]
async fn a_target_that_came_and_went_unseen_is_a_gap_in_the_history_of_software_versions() {
    let node_state = empty_node_state();
    let registry = registry(&node_state, None);
    let records = &registry.watcher.records;
    records.update(FleetTopic::Targets, &targets(&["v1", "v1"], 5));
    for second in 0..30 {
        if second == 28 {
            // Another process sends only the last state of each record: `i-3` was added and removed.
            let removed = NamedRecord { name: "i-3".to_string(), record: None };
            let update = FleetUpdate { records: vec![removed], revision: at(7) };
            records.update(FleetTopic::Targets, &update);
        }
        tokio::time::sleep(SECOND).await;
        records.note_complete(FleetTopic::Targets, node_state.now());
    }
    let knowledge = node_state.stream_knowledge(None, SERVICE, 10 * SECOND);
    assert_eq!(knowledge, StreamKnowledge::Nothing);
}
