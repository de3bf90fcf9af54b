//! Tests of the planner's lease, orders and health checks, without a network.

use super::{
    planner::{PlannerParts, run_planner},
    records::FleetRecords,
    topic_watch::FleetWatcher,
};
use crate::{
    node_state::NodeState,
    pauses::PausingControl,
    peers::PeerClient,
    test_support::{TestRecords, TestSource, at, empty_node_state},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEpoch, CacheScope, ClientLimits, ContextMemory, ControlError, DesiredWeights, EngineLoad,
    FleetRecord, FleetTopic, FleetUpdate, NamedRecord, OrderOutcome, OrderState, PartChanges,
    PartId, PeerError, PeerHandler, PeerNetwork, PlatformError, RegisteredEntry, RegisteredTarget,
    ServiceKind, ServingDocument, TargetControl, TargetId, TokioClock, WeightOrder, WeightVersion,
};
use skylarkpick_standin::{MemoryPlatform, PlatformRates};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, SystemTime},
};

const SECOND: Duration = Duration::from_secs(1);

/// Time that runners take to report their weights.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Platform whose records the tests set directly.
#[derive(Default)]
struct CountingSource {
    unregistered: AtomicU32,
}

#[async_trait]
impl TestRecords for CountingSource {
    async fn unregister(&self, _: &str) -> Result<(), PlatformError> {
        self.unregistered.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

/// Network to processes that are frozen (requests never end) or gone (requests fail).
pub(super) struct DeadNetwork {
    pub(super) is_frozen: bool,
}

#[async_trait]
impl PeerNetwork for DeadNetwork {
    fn address(&self) -> String {
        "10.0.0.1:80".to_string()
    }

    fn listen(&self, _: Weak<dyn PeerHandler>) {}

    async fn send(&self, _: &str, _: Vec<u8>) -> Result<(), PeerError> {
        Ok(())
    }

    async fn request(&self, _: &str, _: Vec<u8>, _: Duration) -> Result<Vec<u8>, PeerError> {
        if self.is_frozen {
            std::future::pending().await
        }
        Err(PeerError::Unreachable("no such process".to_string()))
    }
}

/// Runners that accept every order, but for the first ones, which never respond.
#[derive(Default)]
pub(super) struct CountingControl {
    orders: AtomicU32,
    silent_runners: u8,
    /// Weights that runners report, after `REPORT_DELAY`.
    pub(super) reported_weights: Mutex<BTreeMap<SocketAddr, WeightVersion>>,
    /// Number of such reports that were asked for.
    pub(super) reports: AtomicU32,
    /// Whether runners leave orders without a response and without effect.
    loses_orders: AtomicBool,
    /// Orders by target.
    pub(super) orders_by_target: Mutex<BTreeMap<TargetId, u32>>,
}

#[async_trait]
impl TargetControl for CountingControl {
    async fn order_state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<OrderState, ControlError> {
        let is_silent = (1..=self.silent_runners).any(|index| runner_address(index) == address);
        if is_silent {
            tokio::time::sleep(timeout).await;
            return Err(ControlError::NoResponse("timed out".to_string()));
        }
        let reported = self.reported_weights.lock().unwrap().get(&address).copied();
        let Some(version) = reported else { return Ok(OrderState::default()) };
        self.reports.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(REPORT_DELAY).await;
        let weights = BTreeMap::from([("tala".to_string(), version)]);
        Ok(OrderState { weights, ..OrderState::default() })
    }

    async fn engine_load(&self, _: SocketAddr, _: Duration) -> Result<EngineLoad, ControlError> {
        Ok(EngineLoad::default())
    }

    async fn order(
        &self,
        order: &WeightOrder,
        timeout: Duration,
    ) -> Result<OrderOutcome, ControlError> {
        self.orders.fetch_add(1, Ordering::SeqCst);
        *self.orders_by_target.lock().unwrap().entry(order.target.clone()).or_default() += 1;
        if self.loses_orders.load(Ordering::SeqCst) {
            tokio::time::sleep(timeout).await;
            return Err(ControlError::NoResponse("timed out".to_string()));
        }
        Ok(OrderOutcome::Accepted)
    }

    async fn part_changes(
        &self,
        _: SocketAddr,
        _: u64,
        _: Duration,
    ) -> Result<PartChanges, ControlError> {
        std::future::pending().await
    }

    async fn part_listing(&self, _: SocketAddr) -> Result<PartChanges, ControlError> {
        Ok(PartChanges::default())
    }

    async fn free_parts(
        &self,
        _: SocketAddr,
        _: CacheEpoch,
        _: &[(CacheScope, PartId)],
    ) -> Result<bool, ControlError> {
        Ok(true)
    }
}

pub(super) struct Fixture {
    source: Arc<CountingSource>,
    pub(super) control: Arc<CountingControl>,
    objects: Arc<MemoryPlatform>,
    pub(super) watcher: Arc<FleetWatcher>,
    pub(super) node_state: Arc<NodeState>,
    _planner: tokio::task::JoinSet<()>,
}

/// Starts the planner of `entry-1` in a fleet with one other process, which doesn't respond, and
/// five runners on weights 1, the first of which are silent.
pub(super) fn start_planner(is_frozen: bool, silent_runners: u8) -> Fixture {
    let node_state = empty_node_state();
    let source = Arc::new(CountingSource::default());
    let control = Arc::new(CountingControl { silent_runners, ..CountingControl::default() });
    let objects = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let peer_client = Arc::new(PeerClient::default());
    peer_client.set_network(Arc::new(DeadNetwork { is_frozen }));
    let watcher = Arc::new(FleetWatcher {
        source: Arc::new(TestSource(source.clone())),
        records: FleetRecords::open(node_state.clone(), "entry-1"),
        peer_client,
    });
    let topics = [
        (FleetTopic::Serving, vec![("serving".to_string(), FleetRecord::Serving(serving()))]),
        (FleetTopic::Targets, (1..=5).map(runner).collect()),
        (FleetTopic::Weights, vec![weights(1)]),
        (FleetTopic::Entries, (1..=2).map(entry).collect()),
    ];
    for (topic, records) in topics {
        watcher.records.replace(topic, &update(records, 1));
    }
    let mut planner = tokio::task::JoinSet::new();
    planner.spawn(run_planner(PlannerParts {
        node_state: node_state.clone(),
        objects: objects.clone(),
        control: PausingControl::open(control.clone(), node_state.clone()),
        due_control: control.clone(),
        clock: Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)),
        watcher: watcher.clone(),
        node: "entry-1".to_string(),
        machine: "entry-1 10.0.0.1:80".to_string(),
    }));
    Fixture { source, control, objects, watcher, node_state, _planner: planner }
}

pub(super) fn update(records: Vec<(String, FleetRecord)>, revision: u64) -> FleetUpdate {
    let named = |(name, record)| NamedRecord { name, record: Some(record) };
    FleetUpdate { records: records.into_iter().map(named).collect(), revision: at(revision) }
}

pub(super) fn serving() -> Box<ServingDocument> {
    let memory = ContextMemory {
        capacity_tokens: 40_000,
        token_size_bytes: 18_432,
        link_megabits_per_second: 1_000.0,
        first_byte_delay: Duration::ZERO,
        event_readers_limit: 12,
    };
    Box::new(ServingDocument {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([("engines".to_string(), ServiceKind::Engines(memory))]),
        limits: ClientLimits {
            head_size_bytes: 16_384,
            body_size_bytes: 1_048_576,
            head_timeout: SECOND,
            idle_timeout: SECOND,
        },
        accounts: None,
        cold_starts: BTreeMap::new(),
    })
}

pub(super) fn runner_address(index: u8) -> SocketAddr {
    ([10, 1, 0, index], 80).into()
}

pub(super) fn runner(index: u8) -> (String, FleetRecord) {
    started_runner(index, 1)
}

/// Returns the record of a runner on weights 1 that started at `started_at_ms`.
pub(super) fn started_runner(index: u8, started_at_ms: u64) -> (String, FleetRecord) {
    let id = format!("i-{index}");
    let registration = RegisteredTarget {
        id: id.clone(),
        service: "engines".to_string(),
        address: runner_address(index),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::from([("tala".to_string(), 1)]),
        started_at_ms,
        software_version: Some("v1".to_string()),
        cold_remaining: None,
    };
    (id, FleetRecord::Target(registration))
}

pub(super) fn weights(weight_version: WeightVersion) -> (String, FleetRecord) {
    let weights = DesiredWeights {
        model: "tala".to_string(),
        weight_version,
        desired_since_ms: BTreeMap::new(),
    };
    ("tala".to_string(), FleetRecord::Weights(weights))
}

pub(super) fn entry(index: u8) -> (String, FleetRecord) {
    let entry = RegisteredEntry {
        name: format!("entry-{index}"),
        address: ([10, 0, 0, index], 80).into(),
        data_centre: "mnl-a".to_string(),
        cpu_percent: 25,
        fetches_notices: true,
        crashes: Default::default(),
    };
    (entry.name.clone(), FleetRecord::Entry(entry))
}

#[tokio::test(start_paused = true)]
async fn a_process_that_never_responds_does_not_delay_orders_of_new_weights() {
    for is_frozen in [false, true] {
        let fixture = start_planner(is_frozen, 0);
        // The lease is held and the health checks have begun.
        tokio::time::sleep(6 * SECOND).await;
        assert_eq!(fixture.control.orders.load(Ordering::SeqCst), 0, "frozen: {is_frozen}");
        fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
        tokio::time::sleep(SECOND).await;
        let orders = fixture.control.orders.load(Ordering::SeqCst);
        assert!(orders > 0, "frozen: {is_frozen}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_registration_is_removed_only_after_checks_in_one_term_of_the_lease() {
    let fixture = start_planner(false, 0);
    let unregistered = || fixture.source.unregistered.load(Ordering::SeqCst);
    tokio::time::sleep(6 * SECOND).await;
    fixture.objects.set_faults(|faults| faults.unavailable = true);
    tokio::time::sleep(20 * SECOND).await;
    assert_eq!(unregistered(), 0, "without the lease");
    fixture.objects.set_faults(|faults| faults.unavailable = false);
    tokio::time::sleep(7 * SECOND).await;
    assert_eq!(unregistered(), 0, "checks of an earlier term don't count");
    tokio::time::sleep(8 * SECOND).await;
    assert_eq!(unregistered(), 1, "unresponsive throughout this term");
}

#[tokio::test(start_paused = true)]
async fn runners_that_never_respond_do_not_delay_orders_to_others_on_expired_weights() {
    let fixture = start_planner(false, 4);
    tokio::time::sleep(6 * SECOND).await;
    fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    // Replaced weights expire after 10.5 s, and orders follow their announcement by 0.45 s.
    tokio::time::sleep(Duration::from_millis(11_800)).await;
    assert!(fixture.control.orders.load(Ordering::SeqCst) > 0);
}

#[tokio::test(start_paused = true)]
async fn a_lost_order_to_a_runner_on_expired_weights_is_repeated_before_the_limit() {
    let fixture = start_planner(false, 0);
    tokio::time::sleep(6 * SECOND).await;
    fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    // Until the weights expire, the limits of the rollout keep some runners waiting.
    tokio::time::sleep(Duration::from_millis(10_400)).await;
    let ordered = || fixture.control.orders_by_target.lock().unwrap().clone();
    let before = ordered();
    assert!(before.len() < 5, "no runner waits: {before:?}");
    fixture.control.loses_orders.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    for id in (1..=5).map(|index| format!("i-{index}")).filter(|id| !before.contains_key(id)) {
        assert!(ordered().get(&id) > Some(&1), "{id}: {:?} after {before:?}", ordered());
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_that_was_lost_before_the_weights_expired_is_repeated_once_they_have() {
    let fixture = start_planner(false, 0);
    tokio::time::sleep(6 * SECOND).await;
    fixture.control.loses_orders.store(true, Ordering::SeqCst);
    fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    let ordered = || fixture.control.orders_by_target.lock().unwrap().clone();
    tokio::time::sleep(8 * SECOND).await;
    let early = ordered();
    tokio::time::sleep(2 * SECOND).await;
    let before = ordered();
    assert_eq!(before.len(), 2, "{before:?}");
    assert!(before.iter().all(|(id, orders)| *orders == early[id] + 1), "{early:?}, {before:?}");
    tokio::time::sleep(SECOND / 2).await;
    for (id, orders) in before {
        assert!(ordered()[&id] > orders, "{id}: {:?} after {orders}", ordered());
    }
}

#[tokio::test(start_paused = true)]
async fn orders_to_runners_on_expired_weights_are_repeated_only_without_a_response_and_a_few_times()
{
    struct Case {
        name: &'static str,
        loses_orders: bool,
        /// Orders to each runner in the 3.5 s after the first one.
        orders: u32,
    }
    let cases = [
        Case { name: "accepted", loses_orders: false, orders: 1 },
        Case { name: "lost", loses_orders: true, orders: 4 },
    ];
    for case in cases {
        let fixture = start_planner(false, 0);
        tokio::time::sleep(6 * SECOND).await;
        fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
        tokio::time::sleep(Duration::from_millis(10_400)).await;
        let ordered = || fixture.control.orders_by_target.lock().unwrap().clone();
        let before = ordered();
        fixture.control.loses_orders.store(case.loses_orders, Ordering::SeqCst);
        tokio::time::sleep(4 * SECOND).await;
        let after = ordered();
        for id in (1..=5).map(|index| format!("i-{index}")).filter(|id| !before.contains_key(id)) {
            assert_eq!(after.get(&id), Some(&case.orders), "{}: {id}", case.name);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn orders_to_runners_on_expired_weights_leave_when_these_expire() {
    let fixture = start_planner(false, 0);
    tokio::time::sleep(6 * SECOND).await;
    fixture.watcher.records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    let ordered = || fixture.control.orders_by_target.lock().unwrap().len();
    tokio::time::sleep(Duration::from_millis(10_490)).await;
    assert!(ordered() < 5, "no runner waits");
    // Two passes of the planner.
    tokio::time::sleep(Duration::from_millis(410)).await;
    assert_eq!(ordered(), 5);
}

#[tokio::test(start_paused = true)]
async fn runners_whose_registration_ended_are_ordered_once_their_weights_expire() {
    struct Case {
        name: &'static str,
        /// Time from the naming of the new weights at which the registration ends, in milliseconds.
        ended_at_ms: u64,
        returns_newer: bool,
        orders: u32,
    }
    let cases = [
        Case { name: "in the rollout", ended_at_ms: 9_000, returns_newer: false, orders: 1 },
        Case { name: "just before", ended_at_ms: 10_000, returns_newer: false, orders: 1 },
        Case { name: "back on new weights", ended_at_ms: 9_000, returns_newer: true, orders: 0 },
        Case { name: "long before", ended_at_ms: 0, returns_newer: false, orders: 0 },
    ];
    for case in cases {
        let fixture = start_planner(false, 0);
        let records = &fixture.watcher.records;
        tokio::time::sleep(6 * SECOND).await;
        let ended = || {
            let gone = NamedRecord { name: "i-5".to_string(), record: None };
            records
                .update(FleetTopic::Targets, &FleetUpdate { records: vec![gone], revision: at(3) });
        };
        if case.ended_at_ms == 0 {
            ended();
            tokio::time::sleep(3 * SECOND).await;
        }
        records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
        tokio::time::sleep(Duration::from_millis(case.ended_at_ms)).await;
        if case.ended_at_ms > 0 {
            ended();
        }
        if case.returns_newer {
            let (id, mut record) = runner(5);
            if let FleetRecord::Target(target) = &mut record {
                target.weights.insert("tala".to_string(), 2);
            }
            records.update(FleetTopic::Targets, &update(vec![(id, record)], 4));
        }
        let limit = Duration::from_millis(11_500 - case.ended_at_ms);
        tokio::time::sleep(limit).await;
        let orders = || fixture.control.orders_by_target.lock().unwrap().get("i-5").copied();
        assert_eq!(orders().unwrap_or_default(), case.orders, "{}", case.name);
        tokio::time::sleep(20 * SECOND).await;
        assert_eq!(orders().unwrap_or_default(), case.orders, "{}, later", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_is_gone_does_not_delay_orders_to_others_on_expired_weights() {
    let fixture = start_planner(false, 1);
    let records = &fixture.watcher.records;
    tokio::time::sleep(6 * SECOND).await;
    records.update(FleetTopic::Weights, &update(vec![weights(2)], 2));
    tokio::time::sleep(10 * SECOND).await;
    let gone = NamedRecord { name: "i-1".to_string(), record: None };
    records.update(FleetTopic::Targets, &FleetUpdate { records: vec![gone], revision: at(3) });
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(fixture.control.orders_by_target.lock().unwrap().len(), 4);
}
