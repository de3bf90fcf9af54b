//! Tests of how a topic is watched while the platform or other processes don't respond.

use super::{
    tests::{SECOND, draining, is_draining, records, target, target_ids},
    topic_watch::{FleetWatcher, watch_topic},
};
use crate::{
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{TestRecords, TestSource},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    FleetRecord, FleetRevision, FleetTopic, FleetUpdate, NamedRecord, PeerError, PeerHandler,
    PeerNetwork, PlatformError, RegisteredEntry, WatchError,
};
use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

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
        Ok(FleetUpdate { records: vec![target("i-1")], revision: 40 })
    }

    async fn changes(
        &self,
        _: FleetTopic,
        since: FleetRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        if !self.does_read_fail {
            self.fail()?;
        }
        if since >= 50 {
            std::future::pending().await
        }
        Ok(FleetUpdate { records: vec![draining("i-1")], revision: 50 })
    }
}

/// Network on which each request takes `delay`, and fails if there is no response to return.
struct SlowNetwork {
    delay: Duration,
    response: Option<PeerResponse>,
}

#[async_trait]
impl PeerNetwork for SlowNetwork {
    fn address(&self) -> String {
        "10.0.0.1:80".to_string()
    }

    fn listen(&self, _: Weak<dyn PeerHandler>) {}

    async fn send(&self, _: &str, _: Vec<u8>) -> Result<(), PeerError> {
        Ok(())
    }

    async fn request(&self, _: &str, _: Vec<u8>, _: Duration) -> Result<Vec<u8>, PeerError> {
        tokio::time::sleep(self.delay).await;
        match &self.response {
            Some(response) => Ok(serde_json::to_vec(response).unwrap()),
            None => Err(PeerError::Unreachable("no response".to_string())),
        }
    }
}

/// Returns the records of a fleet without relays.
fn three_entries() -> FleetUpdate {
    let entries = (1..=3_u8).map(|index| {
        let entry = RegisteredEntry {
            name: format!("entry-{index}"),
            address: ([10, 0, 0, index], 80).into(),
            data_centre: "mnl-a".to_string(),
            cpu_percent: 25,
        };
        NamedRecord { name: entry.name.clone(), record: Some(FleetRecord::Entry(entry)) }
    });
    FleetUpdate { records: entries.collect(), revision: 3 }
}

#[tokio::test(start_paused = true)]
async fn a_failed_call_to_the_platform_is_repeated_without_waiting_for_slow_processes() {
    for does_read_fail in [true, false] {
        let (node_state, records) = records();
        records.replace(FleetTopic::Entries, &three_entries());
        let source = FailingOnceSource { does_read_fail, failures_left: AtomicU32::new(1) };
        let peer_client = Arc::new(PeerClient::default());
        peer_client.set_network(Arc::new(SlowNetwork { delay: 20 * SECOND, response: None }));
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(Arc::new(source))),
            records,
            peer_client,
        });
        let task = tokio::spawn(watch_topic(watcher, FleetTopic::Targets));
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
    records.replace(FleetTopic::Entries, &three_entries());
    let response = PeerResponse::Records(PeerRecords {
        update: FleetUpdate { records: vec![draining("i-1")], revision: 50 },
        is_complete: true,
        age_ms: 0,
    });
    // Longer than the delay before the second call to the platform.
    let network = SlowNetwork { delay: 2 * SECOND, response: Some(response) };
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(Arc::new(network));
    let source = Arc::new(SilentSource { has_failed: AtomicBool::new(false) });
    let watcher =
        Arc::new(FleetWatcher { source: Arc::new(TestSource(source)), records, peer_client });
    let task = tokio::spawn(watch_topic(watcher, FleetTopic::Targets));
    tokio::time::sleep(3 * SECOND).await;
    assert_eq!(target_ids(&node_state), ["i-1"]);
    task.abort();
}
