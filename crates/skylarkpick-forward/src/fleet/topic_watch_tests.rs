//! Tests of how a topic is watched while the platform or other processes don't respond.

use super::{
    records::FleetRecords,
    tests::{SECOND, draining, is_draining, records, target, target_ids},
    topic_watch::{FirstSource, FleetWatcher, watch_topic, watch_topic_from_start},
    weight_tests::{named, newer_age},
};
use crate::{
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{SlowNetwork, TestRecords, TestSource, at, entry_records},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    FleetTopic, FleetUpdate, PeerError, PeerHandler, PeerNetwork, PlatformError, StoreRevision,
    WatchError,
};
use std::{
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Platform on which the first call of one kind fails and further ones return a draining target.
struct FailingOnceSource {
    does_read_fail: bool,
    failures_left: AtomicU32,
}

impl FailingOnceSource {
    fn fail(&self) -> Result<(), WatchError> {
        if self.failures_left.swap(0, Ordering::SeqCst) == 0 {
            return Ok(());
        }
        Err(PlatformError::Unavailable("connection reset".to_string()).into())
    }
}

#[async_trait]
impl TestRecords for FailingOnceSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        if self.does_read_fail {
            self.fail()?;
        }
        Ok(FleetUpdate { records: vec![target("i-1")], revision: at(40) })
    }

    async fn changes(
        &self,
        _: FleetTopic,
        since: StoreRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        if !self.does_read_fail {
            self.fail()?;
        }
        if since >= at(50) {
            std::future::pending().await
        }
        Ok(FleetUpdate { records: vec![draining("i-1")], revision: at(50) })
    }
}

#[tokio::test(start_paused = true)]
async fn a_failed_call_to_the_platform_is_repeated_without_waiting_for_slow_processes() {
    for does_read_fail in [true, false] {
        let (node_state, records) = records();
        records.replace(FleetTopic::Entries, &entry_records(3));
        let source = FailingOnceSource { does_read_fail, failures_left: AtomicU32::new(1) };
        let peer_client = Arc::new(PeerClient::default());
        peer_client.set_network(Arc::new(SlowNetwork { delay: 20 * SECOND, response: None }));
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(Arc::new(source))),
            records,
            peer_client,
        });
        let task = tokio::spawn(watch_topic(watcher, FleetTopic::Targets, FirstSource::Relays));
        tokio::time::sleep(SECOND).await;
        let case = if does_read_fail { "read" } else { "changes" };
        assert_eq!(target_ids(&node_state), ["i-1"], "after a failed {case}");
        assert!(is_draining(&node_state, "i-1"), "after a failed {case}");
        task.abort();
    }
}

/// Platform that rejects the first call and then stays silent.
struct SilentSource {
    has_failed: AtomicBool,
}

#[async_trait]
impl TestRecords for SilentSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        if self.has_failed.swap(true, Ordering::SeqCst) {
            std::future::pending().await
        }
        Err(PlatformError::Unavailable("connection reset".to_string()).into())
    }
}

#[tokio::test(start_paused = true)]
async fn records_of_other_processes_are_applied_while_the_platform_is_silent() {
    let (node_state, records) = records();
    records.replace(FleetTopic::Entries, &entry_records(3));
    let response = PeerResponse::Records(PeerRecords {
        update: FleetUpdate { records: vec![draining("i-1")], revision: at(50) },
        is_complete: true,
        age_ms: 0,
        complete_age_ms: Some(0),
    });
    // Longer than the delay before the second call to the platform.
    let network = SlowNetwork { delay: 2 * SECOND, response: Some(response) };
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(Arc::new(network));
    let source = Arc::new(SilentSource { has_failed: AtomicBool::new(false) });
    let watcher =
        Arc::new(FleetWatcher { source: Arc::new(TestSource(source)), records, peer_client });
    let task = tokio::spawn(watch_topic(watcher, FleetTopic::Targets, FirstSource::Relays));
    tokio::time::sleep(3 * SECOND).await;
    assert_eq!(target_ids(&node_state), ["i-1"]);
    task.abort();
}

/// Network on which every process responds with the weights of one relay.
struct RelayNetwork {
    relay: Arc<FleetRecords>,
}

#[async_trait]
impl PeerNetwork for RelayNetwork {
    fn address(&self) -> String {
        "10.0.0.1:80".to_string()
    }

    fn listen(&self, _: Weak<dyn PeerHandler>) {}

    async fn send(&self, _: &str, _: Vec<u8>) -> Result<(), PeerError> {
        Ok(())
    }

    async fn request(&self, _: &str, message: Vec<u8>, _: Duration) -> Result<Vec<u8>, PeerError> {
        let request: serde_json::Value = serde_json::from_slice(&message).unwrap();
        let since = at(request["records"]["since"].as_u64().unwrap());
        let wait = Duration::from_millis(request["records"]["wait_ms"].as_u64().unwrap());
        let topic = FleetTopic::Weights;
        let mut changes = self.relay.subscribe();
        let is_newer = |_: &u64| self.relay.revision(topic) > since;
        let _ = tokio::time::timeout(wait, changes.wait_for(is_newer)).await;
        let response = self.relay.records_since(topic, since);
        let response = response.map_or(PeerResponse::Nothing, PeerResponse::Records);
        Ok(serde_json::to_vec(&response).unwrap())
    }
}

/// Platform that never responds.
struct UnreachableSource;

#[async_trait]
impl TestRecords for UnreachableSource {}

#[tokio::test(start_paused = true)]
async fn a_late_response_to_a_relay_does_not_make_weights_look_younger_to_its_followers() {
    let topic = FleetTopic::Weights;
    let (relay_state, relay) = records();
    let relay = Arc::new(relay);
    relay.replace(topic, &named(1, &[], 5));
    relay.note_current(topic, Duration::ZERO);
    relay.note_complete(topic, relay_state.now());
    let (node_state, records) = records();
    records.replace(FleetTopic::Entries, &entry_records(20));
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(Arc::new(RelayNetwork { relay: relay.clone() }));
    let source = Arc::new(TestSource(Arc::new(UnreachableSource)));
    let watcher = Arc::new(FleetWatcher { source, records, peer_client });
    let task = tokio::spawn(watch_topic(watcher, topic, FirstSource::Relays));
    // The response of a watch that began before version 2 was named, at 1 s, arrives at 3 s.
    tokio::time::sleep(3 * SECOND).await;
    relay.note_current(topic, Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    relay.update(topic, &named(2, &[(2, 1_000)], 6));
    tokio::time::sleep(SECOND / 2).await;
    assert_eq!(newer_age(&node_state, 1), Some(4 * SECOND));
    task.abort();
}

#[test]
fn records_of_processes_that_name_no_age_of_their_calls_are_understood() {
    let records = PeerRecords {
        update: FleetUpdate { records: vec![target("i-1")], revision: at(50) },
        is_complete: true,
        age_ms: 20,
        complete_age_ms: None,
    };
    let mut message = serde_json::to_value(&records).unwrap();
    message.as_object_mut().unwrap().remove("complete_age_ms");
    assert_eq!(serde_json::from_value::<PeerRecords>(message).unwrap(), records);
}

/// Platform on which every call takes 5 ms, and a watch ends with compacted changes unless its number is
/// a multiple of `success_interval`.
struct CompactingSource {
    success_interval: Option<u32>,
    watches: AtomicU32,
    reads: Mutex<Vec<Instant>>,
}

#[async_trait]
impl TestRecords for CompactingSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        self.reads.lock().unwrap().push(Instant::now());
        tokio::time::sleep(SECOND / 200).await;
        Ok(FleetUpdate { records: vec![target("i-1")], revision: at(40) })
    }

    async fn changes(
        &self,
        _: FleetTopic,
        _: StoreRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        tokio::time::sleep(SECOND / 200).await;
        let number = self.watches.fetch_add(1, Ordering::SeqCst) + 1;
        if self.success_interval.is_some_and(|interval| number.is_multiple_of(interval)) {
            return Ok(FleetUpdate { records: vec![], revision: at(40) });
        }
        Err(WatchError::HistoryCompacted)
    }
}

#[tokio::test(start_paused = true)]
async fn lists_whose_changes_are_compacted_at_once_do_not_flood_the_platform() {
    struct Case {
        name: &'static str,
        success_interval: Option<u32>,
        /// Least and greatest number of reads in the first second.
        reads: (usize, usize),
        /// Greatest time between the first two reads.
        first_pause: Duration,
    }
    let at_once = SECOND / 50;
    let cases = [
        Case { name: "every watch", success_interval: None, reads: (4, 9), first_pause: at_once },
        Case {
            name: "every other watch",
            success_interval: Some(2),
            reads: (50, 100),
            first_pause: at_once,
        },
    ];
    let mut wrong = Vec::new();
    for Case { name, success_interval, reads, first_pause } in cases {
        let (_, records) = records();
        let source = Arc::new(CompactingSource {
            success_interval,
            watches: AtomicU32::new(0),
            reads: Mutex::default(),
        });
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(source.clone())),
            records,
            peer_client: Arc::new(PeerClient::default()),
        });
        let task = tokio::spawn(watch_topic(watcher, FleetTopic::Targets, FirstSource::Relays));
        tokio::time::sleep(SECOND).await;
        task.abort();
        let times = source.reads.lock().unwrap();
        let pause = times[1] - times[0];
        if !(reads.0..=reads.1).contains(&times.len()) || pause > first_pause {
            wrong.push((name, times.len(), pause));
        }
    }
    assert!(wrong.is_empty(), "reads and first pause: {wrong:?}");
}

/// Platform that counts reads.
#[derive(Default)]
struct CountingSource {
    reads: AtomicU32,
}

#[async_trait]
impl TestRecords for CountingSource {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(FleetUpdate { records: vec![target("i-1")], revision: at(40) })
    }
}

#[tokio::test(start_paused = true)]
async fn a_process_of_a_large_fleet_that_starts_reads_the_platform_only_if_its_relays_know_nothing()
{
    struct Case {
        name: &'static str,
        response: Option<PeerResponse>,
        reads: u32,
    }
    let records_of_age = |id: &str, age_ms: u64| {
        Some(PeerResponse::Records(PeerRecords {
            update: FleetUpdate { records: vec![target(id)], revision: at(39) },
            is_complete: true,
            age_ms,
            complete_age_ms: Some(age_ms),
        }))
    };
    let (known, stale) = (records_of_age("i-1", 0), records_of_age("left-since", 9_000));
    let cases = [
        Case { name: "its relays have the records", response: known, reads: 0 },
        Case { name: "their records are stale", response: stale, reads: 1 },
        Case { name: "they have none", response: Some(PeerResponse::Nothing), reads: 1 },
        Case { name: "they don't respond", response: None, reads: 1 },
    ];
    for Case { name, response, reads } in cases {
        // Its own process, entry-1, has the least CPU and is a follower.
        let (node_state, records) = records();
        records.replace(FleetTopic::Entries, &entry_records(20));
        let peer_client = Arc::new(PeerClient::default());
        let delay = Duration::from_millis(10);
        peer_client.set_network(Arc::new(SlowNetwork { delay, response }));
        let source = Arc::new(CountingSource::default());
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(source.clone())),
            records,
            peer_client,
        });
        let task = tokio::spawn(watch_topic_from_start(watcher, FleetTopic::Targets));
        for _ in 0..2_000 {
            tokio::time::sleep(Duration::from_millis(1)).await;
            let targets = target_ids(&node_state);
            assert!(!targets.contains(&"left-since".to_string()), "{name}: a target that has left");
        }
        assert_eq!(source.reads.load(Ordering::SeqCst), reads, "{name}");
        assert_eq!(target_ids(&node_state), ["i-1"], "{name}");
        task.abort();
    }
}
