//! Node state, platform records and other entry processes for tests.

use crate::{
    connection_pool::ConnectionPool,
    fleet::{FleetRecords, FleetWatcher},
    hand_over::ReachWatch,
    node_state::NodeState,
    peers::{CacheRelay, PeerClient, PeerMessageHandler, PeerResponse},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    Clock, CrashReport, DesiredSinceOutcome, FleetRecord, FleetSource, FleetTopic, FleetUpdate,
    NamedRecord, NodeLimits, PeerError, PeerHandler, PeerNetwork, PlatformError, RegisteredEntry,
    StoreRevision, TokioClock, WatchError, WeightVersion, WriteError,
};
use skylarkpick_schedule::PlacementPolicy;
use std::{
    sync::{Arc, Mutex, Weak},
    time::{Duration, SystemTime},
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a revision of a store that names no era.
pub(crate) fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

/// Returns an empty node state on tokio's clock.
pub(crate) fn empty_node_state() -> Arc<NodeState> {
    node_state_on(Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)))
}

/// Clock that stands still until it is set.
#[derive(Default)]
pub(crate) struct ManualClock(Mutex<Duration>);

impl ManualClock {
    pub(crate) fn set(&self, since_boot: Duration) {
        *self.0.lock().unwrap() = since_boot;
    }
}

impl Clock for ManualClock {
    fn since_boot(&self) -> Duration {
        *self.0.lock().unwrap()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.since_boot()
    }
}

/// Returns an empty node state on a clock.
pub(crate) fn node_state_on(clock: Arc<dyn Clock>) -> Arc<NodeState> {
    NodeState::open(clock, limits(), PlacementPolicy::default())
}

/// Returns an empty node state of a process that uses evacuations, on a clock.
pub(crate) fn evacuating_node_state(clock: Arc<dyn Clock>) -> Arc<NodeState> {
    let limits = NodeLimits { evacuation: Some(5 * SECOND), ..limits() };
    NodeState::open(clock, limits, PlacementPolicy::default())
}

fn limits() -> NodeLimits {
    NodeLimits {
        drain: 2 * SECOND,
        grace: 8 * SECOND,
        configuration: 2 * SECOND,
        retry_percent: 20,
        retry_window: 10 * SECOND,
        retry_extra: 54,
        lease: 3 * SECOND,
        weights: 12 * SECOND,
        cold: None,
        evacuation: None,
    }
}

/// Records of a platform in a test. Reads and watches never return and writes succeed, unless a test
/// overrides them.
#[async_trait]
pub(crate) trait TestRecords: Send + Sync {
    async fn read(&self, _: FleetTopic) -> Result<FleetUpdate, WatchError> {
        std::future::pending().await
    }

    async fn changes(
        &self,
        _: FleetTopic,
        _: StoreRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        std::future::pending().await
    }

    async fn unregister(&self, _: &str) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn record_crashes(&self, _: &str, _: &CrashReport) -> Result<(), WriteError> {
        Ok(())
    }

    async fn record_desired_since(
        &self,
        _: &str,
        _: WeightVersion,
        _: u64,
    ) -> Result<DesiredSinceOutcome, WriteError> {
        Ok(DesiredSinceOutcome::Recorded)
    }
}

/// Source of the records of a test.
pub(crate) struct TestSource<R>(pub(crate) Arc<R>);

#[async_trait]
impl<R: TestRecords> FleetSource for TestSource<R> {
    async fn read(&self, topic: FleetTopic) -> Result<FleetUpdate, WatchError> {
        self.0.read(topic).await
    }

    async fn changes(
        &self,
        topic: FleetTopic,
        since: StoreRevision,
        timeout: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        self.0.changes(topic, since, timeout).await
    }

    async fn register(&self, _: &RegisteredEntry) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn unregister(&self, name: &str) -> Result<(), PlatformError> {
        self.0.unregister(name).await
    }

    async fn record_crashes(&self, name: &str, report: &CrashReport) -> Result<(), WriteError> {
        self.0.record_crashes(name, report).await
    }

    async fn record_desired_since(
        &self,
        model: &str,
        version: WeightVersion,
        since_ms: u64,
    ) -> Result<DesiredSinceOutcome, WriteError> {
        self.0.record_desired_since(model, version, since_ms).await
    }
}

/// Network on which each request takes `delay`, and fails if there is no response to return.
pub(crate) struct SlowNetwork {
    pub(crate) delay: Duration,
    pub(crate) response: Option<PeerResponse>,
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

/// Returns the records of `count` entry processes, of which `entry-1` has the least CPU.
pub(crate) fn entry_records(count: u8) -> FleetUpdate {
    let entries = (0..count).map(|index| {
        let entry = RegisteredEntry {
            name: format!("entry-{index}"),
            address: ([10, 0, 0, index], 80).into(),
            data_centre: "mnl-a".to_string(),
            cpu_percent: if index == 1 { 12 } else { 25 },
            fetches_notices: true,
            crashes: Default::default(),
        };
        NamedRecord { name: entry.name.clone(), record: Some(FleetRecord::Entry(entry)) }
    });
    FleetUpdate { records: entries.collect(), revision: at(3) }
}

/// Platform that never responds.
struct UnreachableSource;

#[async_trait]
impl TestRecords for UnreachableSource {}

/// Returns the handler of a process with these records of a platform that no longer responds.
pub(crate) fn message_handler(
    node_state: Arc<NodeState>,
    records: FleetRecords,
    peer_client: Arc<PeerClient>,
    data_centre: &str,
) -> PeerMessageHandler {
    let source = Arc::new(TestSource(Arc::new(UnreachableSource)));
    let watcher = Arc::new(FleetWatcher { source, records, peer_client });
    let pool = ConnectionPool::open();
    let reach =
        ReachWatch::open(node_state.clone(), pool, watcher.clone(), data_centre.to_string());
    let relay = CacheRelay::open(node_state.clone());
    PeerMessageHandler { node_state, watcher, relay, reach, forwarder: None }
}
