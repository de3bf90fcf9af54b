//! Tests of since when weights are desired: own observations, records, and recording.

use super::{
    desired_times::DesiredTimes,
    records::FleetRecords,
    topic_watch::{FirstSource, FleetWatcher, watch_topic},
    weight_recorder::record_weights,
};
use crate::{
    node_state::NodeState,
    peers::PeerClient,
    test_support::{TestRecords, TestSource, at, empty_node_state, entry_records},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    ClientLimits, DesiredSinceOutcome, DesiredWeights, FleetRecord, FleetTopic, FleetUpdate,
    NamedRecord, RegisteredTarget, ServingDocument, StoreRevision, WatchError, WeightVersion,
    WriteError,
};
use skylarkpick_schedule::{PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

pub(super) const MODEL: &str = "tala";
const SECOND: Duration = Duration::from_secs(1);
const SECOND_MS: u64 = 1_000;

/// Returns an update that names a version, with the recorded times of versions.
pub(super) fn named(
    version: WeightVersion,
    since_ms: &[(WeightVersion, u64)],
    revision: u64,
) -> FleetUpdate {
    let weights = DesiredWeights {
        model: MODEL.to_string(),
        weight_version: version,
        desired_since_ms: since_ms.iter().copied().collect(),
    };
    let record = Some(FleetRecord::Weights(weights));
    FleetUpdate {
        records: vec![NamedRecord { name: MODEL.to_string(), record }],
        revision: at(revision),
    }
}

pub(super) fn newer_age(node_state: &NodeState, version: WeightVersion) -> Option<Duration> {
    let now = node_state.now();
    node_state.lock().placement.weights.age_of_newer(MODEL, version, now)
}

/// Platform whose first writes fail.
#[derive(Default)]
pub(super) struct FailingSource {
    errors: Mutex<Vec<WriteError>>,
    /// Versions and times that were to be recorded, failed calls included.
    pub(super) calls: Mutex<Vec<(WeightVersion, u64)>>,
}

#[async_trait]
impl TestRecords for FailingSource {
    async fn record_desired_since(
        &self,
        _: &str,
        version: WeightVersion,
        since_ms: u64,
    ) -> Result<DesiredSinceOutcome, WriteError> {
        self.calls.lock().unwrap().push((version, since_ms));
        self.errors.lock().unwrap().pop().map_or(Ok(DesiredSinceOutcome::Recorded), Err)
    }
}

#[test]
fn a_recorded_time_counts_as_far_as_own_reads_allow() {
    struct Case {
        name: &'static str,
        /// Time at which the process knew that the version was not desired yet.
        not_before: Option<Duration>,
        recorded_age: Option<Duration>,
        is_first_read: bool,
        since: Duration,
    }
    let now = 100 * SECOND;
    let cases = [
        Case {
            name: "no record, seen as a change of another process's records",
            not_before: None,
            recorded_age: None,
            is_first_read: false,
            since: now,
        },
        Case {
            name: "read at the start, no record: a restart and a read before",
            not_before: None,
            recorded_age: None,
            is_first_read: true,
            since: 97 * SECOND,
        },
        Case {
            name: "no record, seen as a change",
            not_before: Some(98 * SECOND),
            recorded_age: None,
            is_first_read: false,
            since: now,
        },
        Case {
            name: "read at the start: less the error of clocks",
            not_before: None,
            recorded_age: Some(60 * SECOND),
            is_first_read: true,
            since: 38 * SECOND,
        },
        Case {
            name: "read at the start, recorded by a clock that is ahead",
            not_before: None,
            recorded_age: Some(Duration::ZERO),
            is_first_read: true,
            since: 98 * SECOND,
        },
        Case {
            name: "recorded before the time of the oldest representable one",
            not_before: None,
            recorded_age: Some(Duration::MAX),
            is_first_read: true,
            since: Duration::ZERO,
        },
        Case {
            name: "seen as a change, late",
            not_before: Some(70 * SECOND),
            recorded_age: Some(20 * SECOND),
            is_first_read: false,
            since: 80 * SECOND,
        },
        Case {
            name: "seen as a change, recorded by a clock that is far behind",
            not_before: Some(98 * SECOND),
            recorded_age: Some(3_600 * SECOND),
            is_first_read: false,
            since: 98 * SECOND,
        },
    ];
    for case in cases {
        let mut times = DesiredTimes::default();
        if let Some(not_before) = case.not_before {
            times.note_not_before(MODEL, 2, not_before);
        }
        let since = times.since(MODEL, 2, case.recorded_age, now, case.is_first_read);
        assert_eq!(since, case.since, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn the_age_of_replaced_weights_comes_from_the_record_and_from_own_reads() {
    struct Case {
        name: &'static str,
        /// Updates with the time from one to the next; the first is the first read.
        updates: Vec<FleetUpdate>,
        /// Age of what replaced version 1 at the last update.
        age: Duration,
        /// Versions to be recorded.
        named: Vec<WeightVersion>,
    }
    // The wall clock starts at 0; the updates are a second apart, from 100 s on.
    let at_ms = |seconds: u64| seconds * SECOND_MS;
    let cases = [
        Case {
            name: "read at the start without a time",
            updates: vec![named(2, &[], 5)],
            age: 3 * SECOND,
            named: vec![],
        },
        Case {
            name: "read at the start, named before this VM was booted",
            updates: vec![named(2, &[(2, 0)], 5)],
            age: 102 * SECOND,
            named: vec![],
        },
        Case {
            name: "two versions named before the start",
            updates: vec![named(3, &[(2, at_ms(70)), (3, at_ms(99))], 5)],
            age: 32 * SECOND,
            named: vec![],
        },
        Case {
            name: "recorded after the start",
            updates: vec![named(2, &[], 5), named(2, &[(2, at_ms(90))], 6)],
            age: 13 * SECOND,
            named: vec![],
        },
        Case {
            name: "a time of a version that is not named yet",
            updates: vec![named(1, &[(2, at_ms(70))], 5), named(2, &[], 6)],
            age: Duration::ZERO,
            named: vec![2],
        },
        Case {
            name: "seen as a change",
            updates: vec![named(1, &[], 5), named(2, &[], 6), named(2, &[], 6)],
            age: SECOND,
            named: vec![2],
        },
        Case {
            name: "seen as a change, recorded by another process a moment before",
            updates: vec![named(1, &[], 5), named(2, &[(2, at_ms(100) + 900)], 6)],
            age: Duration::from_millis(100),
            named: vec![],
        },
        Case {
            name: "recorded by a wall clock that is far behind",
            updates: vec![
                named(1, &[], 5),
                named(1, &[], 5),
                named(2, &[], 6),
                named(2, &[(2, 0)], 7),
            ],
            // Own reads say that the version was not named two seconds before this one.
            age: 2 * SECOND,
            named: vec![2],
        },
    ];
    for case in cases {
        let node_state = empty_node_state();
        let records = FleetRecords::open(node_state.clone(), "entry-1");
        tokio::time::sleep(99 * SECOND).await;
        for (index, update) in case.updates.iter().enumerate() {
            tokio::time::sleep(SECOND).await;
            if index == 0 {
                records.replace(FleetTopic::Weights, update);
            } else {
                records.update(FleetTopic::Weights, update);
            }
            records.note_complete(FleetTopic::Weights, node_state.now());
        }
        assert_eq!(newer_age(&node_state, 1), Some(case.age), "{}", case.name);
        let named = tokio::time::timeout(SECOND, records.weights_changes()).await;
        let named = named.unwrap_or_default().into_iter().map(|weights| weights.version);
        assert_eq!(named.collect::<Vec<_>>(), case.named, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_process_that_saw_a_change_records_its_time_unless_another_did() {
    struct Case {
        name: &'static str,
        entries: u8,
        errors: Vec<WriteError>,
        /// Whether the time appears in the record before this process would write it.
        is_recorded_first: bool,
        calls: usize,
    }
    let revision = StoreRevision { era: 0, number: 7 };
    let conflict = || WriteError::Conflict { current: Some(revision) };
    let cases = [
        Case { name: "recorded", entries: 3, errors: vec![], is_recorded_first: false, calls: 1 },
        Case {
            name: "recorded by another process",
            entries: 3,
            errors: vec![],
            is_recorded_first: true,
            calls: 0,
        },
        Case {
            name: "a follower leaves it to its relays",
            entries: 20,
            errors: vec![],
            is_recorded_first: false,
            calls: 0,
        },
        Case {
            name: "a conflict, then no response",
            entries: 3,
            errors: vec![WriteError::Unknown("no response".to_string()), conflict()],
            is_recorded_first: false,
            calls: 3,
        },
        Case {
            name: "the platform stays unavailable",
            entries: 3,
            errors: vec![WriteError::NotWritten("status 503".to_string()); 40],
            is_recorded_first: false,
            calls: 6,
        },
    ];
    for case in cases {
        let records = FleetRecords::open(empty_node_state(), "entry-1");
        records.replace(FleetTopic::Entries, &entry_records(case.entries));
        records.replace(FleetTopic::Weights, &named(1, &[], 5));
        let source =
            Arc::new(FailingSource { errors: Mutex::new(case.errors), ..Default::default() });
        let peer_client = Arc::new(PeerClient::default());
        let watcher =
            FleetWatcher { source: Arc::new(TestSource(source.clone())), records, peer_client };
        let watcher = Arc::new(watcher);
        let task = tokio::spawn(record_weights(watcher.clone()));
        tokio::time::sleep(9 * SECOND).await;
        watcher.records.update(FleetTopic::Weights, &named(2, &[], 6));
        if case.is_recorded_first {
            watcher.records.update(FleetTopic::Weights, &named(2, &[(2, 8_990)], 7));
        }
        tokio::time::sleep(120 * SECOND).await;
        let expected = vec![(2, 9 * SECOND_MS); case.calls];
        assert_eq!(*source.calls.lock().unwrap(), expected, "{}", case.name);
        task.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn no_prompt_is_placed_before_the_desired_weights_are_known() {
    struct Case {
        name: &'static str,
        apply: fn(&FleetRecords),
        has_prompt: bool,
        reason: UnplacedReason,
    }
    // Without targets, a request that may be placed is unplaced for that reason.
    let cases = [
        Case {
            name: "weights not read",
            apply: |_| {},
            has_prompt: true,
            reason: UnplacedReason::NoneUsable,
        },
        Case {
            name: "weights not read, no prompt",
            apply: |_| {},
            has_prompt: false,
            reason: UnplacedReason::NoTarget,
        },
        Case {
            name: "weights read",
            apply: |records| records.update(FleetTopic::Weights, &named(1, &[], 5)),
            has_prompt: true,
            reason: UnplacedReason::NoTarget,
        },
        Case {
            name: "no weights were ever named",
            apply: |records| records.update(FleetTopic::Weights, &FleetUpdate::default()),
            has_prompt: true,
            reason: UnplacedReason::NoTarget,
        },
        Case {
            name: "the platform doesn't know the kind",
            apply: |records| records.note_no_records(FleetTopic::Weights),
            has_prompt: true,
            reason: UnplacedReason::NoTarget,
        },
        Case {
            name: "the platform doesn't know another kind",
            apply: |records| records.note_no_records(FleetTopic::Entries),
            has_prompt: true,
            reason: UnplacedReason::NoneUsable,
        },
    ];
    for case in cases {
        let node_state = empty_node_state();
        (case.apply)(&FleetRecords::open(node_state.clone(), "entry-1"));
        let prompt = PlacementPrompt {
            model: MODEL.to_string(),
            parts: Vec::new(),
            prompt_tokens: 400,
            answer_tokens_limit: 20,
            isolated_account: None,
        };
        let request = PlacementRequest {
            service: "tala-llm".to_string(),
            data_centre: "mnl-a".to_string(),
            prompt: case.has_prompt.then_some(prompt),
            rank: 0,
            is_continuation: false,
            software_version: None,
            avoid: Vec::new(),
            max_wait: SECOND,
        };
        let decision = node_state.choose(&request, false);
        assert_eq!(decision, PlacementDecision::Unplaced(case.reason), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_process_is_ready_once_it_knows_document_targets_weights_and_evidence_of_others() {
    let topics =
        [FleetTopic::Serving, FleetTopic::Targets, FleetTopic::Weights, FleetTopic::Entries];
    for missing in topics {
        let node_state = empty_node_state();
        let records = FleetRecords::open(node_state.clone(), "entry-1");
        for topic in topics.into_iter().filter(|topic| *topic != missing) {
            records.replace(topic, &first_update(topic));
        }
        assert!(!node_state.is_ready(), "without {missing}");
        records.replace(missing, &first_update(missing));
        assert!(node_state.is_ready(), "with {missing}");
    }
}

pub(super) fn first_update(topic: FleetTopic) -> FleetUpdate {
    let record = match topic {
        FleetTopic::Serving => FleetRecord::Serving(Box::new(ServingDocument {
            version: 3,
            routes: Vec::new(),
            services: BTreeMap::new(),
            limits: ClientLimits {
                head_size_bytes: 16_384,
                body_size_bytes: 1_000,
                head_timeout: 3 * SECOND,
                idle_timeout: 15 * SECOND,
            },
            accounts: None,
            cold_starts: BTreeMap::new(),
        })),
        FleetTopic::Targets => FleetRecord::Target(RegisteredTarget {
            id: "i-1".to_string(),
            service: "tala-llm".to_string(),
            address: ([10, 1, 0, 1], 80).into(),
            data_centre: "mnl-a".to_string(),
            slots: 6,
            is_draining: false,
            weights: BTreeMap::new(),
            started_at_ms: 1,
            software_version: Some("v1".to_string()),
            cold_remaining: None,
        }),
        FleetTopic::Weights => return named(1, &[], 5),
        FleetTopic::Entries => return entry_records(2),
        FleetTopic::Evacuations => {
            return FleetUpdate { records: Vec::new(), revision: at(5) };
        }
    };
    FleetUpdate {
        records: vec![NamedRecord { name: "i-1".to_string(), record: Some(record) }],
        revision: at(5),
    }
}

#[test]
fn processes_with_and_without_recorded_times_understand_each_other() {
    struct Case {
        name: &'static str,
        message: &'static str,
        desired_since_ms: BTreeMap<WeightVersion, u64>,
    }
    let cases = [
        Case {
            name: "without",
            message: r#"{"model":"tala","weight_version":2}"#,
            desired_since_ms: BTreeMap::new(),
        },
        Case {
            name: "with",
            message: r#"{"model":"tala","weight_version":2,"desired_since_ms":{"2":9000}}"#,
            desired_since_ms: BTreeMap::from([(2, 9_000)]),
        },
    ];
    for case in cases {
        let message = format!(r#"{{"weights":{}}}"#, case.message);
        let record: FleetRecord = serde_json::from_str(&message).unwrap();
        let expected = DesiredWeights {
            model: MODEL.to_string(),
            weight_version: 2,
            desired_since_ms: case.desired_since_ms,
        };
        assert_eq!(record, FleetRecord::Weights(expected), "{}", case.name);
    }
}

/// Platform whose first watch has a late response without changes, as after a freeze of this
/// process, and whose second one returns weights that were named meanwhile.
#[derive(Default)]
struct LateSource {
    watches: AtomicU32,
}

#[async_trait]
impl TestRecords for LateSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        Ok(named(1, &[], 5))
    }

    async fn changes(
        &self,
        _: FleetTopic,
        _: StoreRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        match self.watches.fetch_add(1, Ordering::SeqCst) {
            0 => {
                tokio::time::sleep(5 * SECOND).await;
                Ok(FleetUpdate { records: Vec::new(), revision: at(5) })
            }
            1 => {
                tokio::time::sleep(SECOND / 10).await;
                Ok(named(2, &[(2, SECOND_MS)], 6))
            }
            _ => std::future::pending().await,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_late_response_does_not_make_weights_look_younger_than_recorded() {
    let node_state = empty_node_state();
    let records = FleetRecords::open(node_state.clone(), "entry-1");
    let peer_client = Arc::new(PeerClient::default());
    let source = Arc::new(LateSource::default());
    let watcher =
        Arc::new(FleetWatcher { source: Arc::new(TestSource(source)), records, peer_client });
    let task = tokio::spawn(watch_topic(watcher, FleetTopic::Weights, FirstSource::Relays));
    tokio::time::sleep(6 * SECOND).await;
    assert_eq!(newer_age(&node_state, 1), Some(5 * SECOND));
    task.abort();
}

#[tokio::test(start_paused = true)]
async fn a_time_that_cannot_be_written_does_not_delay_that_of_the_next_version() {
    let errors = vec![WriteError::NotWritten("status 503".to_string()); 3];
    let source = Arc::new(FailingSource { errors: Mutex::new(errors), ..Default::default() });
    let records = FleetRecords::open(empty_node_state(), "entry-1");
    records.replace(FleetTopic::Weights, &named(1, &[], 5));
    let peer_client = Arc::new(PeerClient::default());
    let watcher = Arc::new(FleetWatcher {
        source: Arc::new(TestSource(source.clone())),
        records,
        peer_client,
    });
    let task = tokio::spawn(record_weights(watcher.clone()));
    tokio::time::sleep(SECOND).await;
    watcher.records.update(FleetTopic::Weights, &named(2, &[], 6));
    tokio::time::sleep(SECOND).await;
    watcher.records.update(FleetTopic::Weights, &named(3, &[], 7));
    tokio::time::sleep(SECOND / 2).await;
    assert!(source.calls.lock().unwrap().contains(&(3, 2 * SECOND_MS)));
    task.abort();
}
