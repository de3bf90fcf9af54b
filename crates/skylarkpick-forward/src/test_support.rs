//! Node state and platform records for tests.

use crate::node_state::NodeState;
use async_trait::async_trait;
use skylarkpick_interface::{
    DesiredSinceOutcome, FleetRevision, FleetSource, FleetTopic, FleetUpdate, NodeLimits,
    PlatformError, RegisteredEntry, TokioClock, WatchError, WeightVersion, WriteError,
};
use skylarkpick_schedule::PlacementPolicy;
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns an empty node state on tokio's clock.
pub(crate) fn empty_node_state() -> Arc<NodeState> {
    let limits = NodeLimits {
        drain: 2 * SECOND,
        grace: 8 * SECOND,
        configuration: 2 * SECOND,
        retry_percent: 20,
        retry_window: 10 * SECOND,
        retry_extra: 54,
        lease: 3 * SECOND,
        weights: 12 * SECOND,
    };
    NodeState::open(
        Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)),
        limits,
        PlacementPolicy::default(),
    )
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
        _: FleetRevision,
        _: Duration,
    ) -> Result<FleetUpdate, WatchError> {
        std::future::pending().await
    }

    async fn unregister(&self, _: &str) -> Result<(), PlatformError> {
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
        since: FleetRevision,
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

    async fn record_desired_since(
        &self,
        model: &str,
        version: WeightVersion,
        since_ms: u64,
    ) -> Result<DesiredSinceOutcome, WriteError> {
        self.0.record_desired_since(model, version, since_ms).await
    }
}
