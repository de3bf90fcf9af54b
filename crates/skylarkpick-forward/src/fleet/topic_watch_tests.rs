//! Tests of how a topic is watched while the platform or other processes don't respond.

use super::{
    tests::{SECOND, draining, is_draining, records, target, target_ids},
    topic_watch::{FleetWatcher, watch_topic},
};
use crate::{
    peers::{PeerClient, PeerRecords, PeerResponse},
    test_support::{SlowNetwork, TestRecords, TestSource, entry_records},
};
use async_trait::async_trait;
use skylarkpick_interface::{FleetRevision, FleetTopic, FleetUpdate, PlatformError, WatchError};
use std::{
    sync::{
        Arc,
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
    records.replace(FleetTopic::Entries, &entry_records(3));
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
