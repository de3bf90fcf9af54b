//! Tests of roll-outs whose planners are killed, with stand-in runners and in virtual time.

use super::{
    planner::{PlannerParts, run_planner},
    planner_tests::{DeadNetwork, entry, runner, runner_address, serving, update, weights},
    records::FleetRecords,
    topic_watch::FleetWatcher,
};
use crate::{
    node_state::NodeState,
    peers::PeerClient,
    test_support::{TestRecords, TestSource, empty_node_state},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEpoch, CacheScope, Clock, ControlError, EngineLoad, FencingNumber, FleetRecord,
    FleetTopic, OrderOutcome, OrderState, PartChanges, PartId, TargetControl, TokioClock,
    WeightOrder, WeightVersion,
};
use skylarkpick_standin::{MemoryPlatform, PlatformRates};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};
use tokio::{task::JoinSet, time::Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Time that a runner takes to finish its runs and to load weights.
const LOAD_TIME: Duration = Duration::from_millis(1_500);
const RUNNERS: u8 = 9;
/// Time from the kill of a process until it is started again.
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// Interval at which the processes learn what the runners serve.
const TICK: Duration = Duration::from_millis(50);

struct LoadingRunner {
    weight_version: WeightVersion,
    orders_accepted: u64,
    load: Option<(WeightVersion, Instant)>,
}

struct ReceivedOrder {
    at: Instant,
    /// Name of the machine that sent it.
    machine: String,
    fencing_number: FencingNumber,
}

/// Runners that load ordered weights, and record every order that they receive.
struct Runners {
    runners: BTreeMap<SocketAddr, LoadingRunner>,
    orders: Vec<ReceivedOrder>,
}

impl Runners {
    fn open() -> Arc<Mutex<Runners>> {
        let runner = |index| {
            let runner = LoadingRunner { weight_version: 1, orders_accepted: 0, load: None };
            (runner_address(index), runner)
        };
        let runners = (1..=RUNNERS).map(runner).collect();
        Arc::new(Mutex::new(Runners { runners, orders: Vec::new() }))
    }

    fn finish_loads(&mut self) {
        for runner in self.runners.values_mut() {
            if let Some((version, _)) = runner.load.take_if(|(_, at)| Instant::now() >= *at) {
                runner.weight_version = version;
            }
        }
    }

    fn outdated(&self, version: WeightVersion) -> usize {
        self.runners.values().filter(|runner| runner.weight_version < version).count()
    }
}

/// Control calls of one machine.
struct MachineControl {
    runners: Arc<Mutex<Runners>>,
    machine: String,
}

#[async_trait]
impl TargetControl for MachineControl {
    async fn order_state(
        &self,
        address: SocketAddr,
        _: Duration,
    ) -> Result<OrderState, ControlError> {
        let runners = self.runners.lock().unwrap();
        let runner = &runners.runners[&address];
        Ok(OrderState {
            orders_accepted: runner.orders_accepted,
            is_busy: runner.load.is_some(),
            weights: BTreeMap::from([("tala".to_string(), runner.weight_version)]),
            started_at_ms: None,
        })
    }

    async fn engine_load(&self, _: SocketAddr, _: Duration) -> Result<EngineLoad, ControlError> {
        Ok(EngineLoad::default())
    }

    async fn order(&self, order: &WeightOrder, _: Duration) -> Result<OrderOutcome, ControlError> {
        let mut runners = self.runners.lock().unwrap();
        runners.orders.push(ReceivedOrder {
            at: Instant::now(),
            machine: self.machine.clone(),
            fencing_number: order.fencing_number,
        });
        let runner = runners.runners.get_mut(&order.address).unwrap();
        if runner.load.is_some() || runner.orders_accepted != order.orders_accepted {
            return Ok(OrderOutcome::Conflict);
        }
        runner.orders_accepted += 1;
        runner.load = Some((order.weight_version, Instant::now() + LOAD_TIME));
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

/// Records that are only set directly.
struct NoRecords;

impl TestRecords for NoRecords {}

struct Process {
    node_state: Arc<NodeState>,
    watcher: Arc<FleetWatcher>,
    _planner: JoinSet<()>,
}

struct Fleet {
    objects: Arc<MemoryPlatform>,
    clock: Arc<TokioClock>,
    runners: Arc<Mutex<Runners>>,
    processes: BTreeMap<u8, Process>,
    desired: WeightVersion,
}

impl Fleet {
    fn open() -> Fleet {
        Fleet {
            objects: MemoryPlatform::open(Duration::ZERO, PlatformRates::default()),
            clock: Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)),
            runners: Runners::open(),
            processes: BTreeMap::new(),
            desired: 1,
        }
    }

    fn start(&mut self, index: u8) {
        let node = format!("entry-{index}");
        let node_state = empty_node_state();
        let peer_client = Arc::new(PeerClient::default());
        peer_client.set_network(Arc::new(DeadNetwork { is_frozen: false }));
        let watcher = Arc::new(FleetWatcher {
            source: Arc::new(TestSource(Arc::new(NoRecords))),
            records: FleetRecords::open(node_state.clone(), &node),
            peer_client,
        });
        let topics = [
            (FleetTopic::Serving, vec![("serving".to_string(), FleetRecord::Serving(serving()))]),
            (FleetTopic::Targets, (1..=RUNNERS).map(runner).collect()),
            (FleetTopic::Weights, vec![weights(self.desired)]),
            (FleetTopic::Entries, (1..=3).map(entry).collect()),
        ];
        for (topic, records) in topics {
            watcher.records.replace(topic, &update(records, 1));
        }
        let control =
            Arc::new(MachineControl { runners: self.runners.clone(), machine: node.clone() });
        let mut planner = JoinSet::new();
        planner.spawn(run_planner(PlannerParts {
            node_state: node_state.clone(),
            objects: self.objects.clone(),
            control: control.clone(),
            due_control: control,
            clock: self.clock.clone() as Arc<dyn Clock>,
            watcher: watcher.clone(),
            machine: node.clone(),
            node,
        }));
        self.processes.insert(index, Process { node_state, watcher, _planner: planner });
    }

    fn name_weights(&mut self, version: WeightVersion) {
        self.desired = version;
        for process in self.processes.values() {
            let update = update(vec![weights(version)], 2);
            process.watcher.records.update(FleetTopic::Weights, &update);
        }
    }

    /// Lets time pass in which the processes see what the runners serve.
    async fn run_until(&self, until: Instant) {
        while Instant::now() < until {
            tokio::time::sleep(TICK).await;
            let mut runners = self.runners.lock().unwrap();
            runners.finish_loads();
            for process in self.processes.values() {
                for index in 1..=RUNNERS {
                    let version = runners.runners[&runner_address(index)].weight_version;
                    process.node_state.observe_weights(&format!("i-{index}"), 1, "tala", version);
                }
            }
        }
    }

    /// Returns the index of the process that has sent the last order.
    fn last_holder(&self) -> u8 {
        let runners = self.runners.lock().unwrap();
        let machine = runners.orders.last().unwrap().machine.clone();
        machine.trim_start_matches("entry-").parse().unwrap()
    }

    fn outdated(&self) -> usize {
        self.runners.lock().unwrap().outdated(self.desired)
    }

    fn has_order_since(&self, since: Instant) -> bool {
        self.runners.lock().unwrap().orders.iter().any(|order| order.at >= since)
    }

    /// Returns the orders with a lower fencing number than the one before, or too soon after one of
    /// another machine.
    fn order_violations(&self, gap: Duration, case: &str) -> Vec<String> {
        let runners = self.runners.lock().unwrap();
        let mut violations = Vec::new();
        for pair in runners.orders.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            if before.fencing_number > after.fencing_number {
                violations.push(format!("{case}: lower fencing number"));
            }
            let between = after.at - before.at;
            if before.machine != after.machine && between < gap {
                violations.push(format!("{case}: {between:?} between orders of two machines"));
            }
        }
        violations
    }
}

/// Kills of all processes at these times after weights were named.
struct KillCase {
    name: &'static str,
    kills_ms: &'static [u64],
    /// Time by which the process that sent the last order starts after the others; it never does
    /// if there is none.
    holder_lag: Option<Duration>,
    /// Maximum time from the last kill's end of downtime to the next order.
    order_delay_limit: Duration,
}

const KILL_CASES: &[KillCase] = &[
    KillCase {
        name: "all start again at once",
        kills_ms: &[1_000, 6_500],
        holder_lag: Some(Duration::ZERO),
        order_delay_limit: Duration::from_millis(1_300),
    },
    KillCase {
        name: "the holder starts again after the others",
        kills_ms: &[1_000, 6_500],
        holder_lag: Some(Duration::from_millis(1_200)),
        order_delay_limit: Duration::from_millis(2_500),
    },
    KillCase {
        name: "the holder's VM is gone",
        kills_ms: &[1_000],
        holder_lag: None,
        order_delay_limit: Duration::from_millis(5_200),
    },
];

#[tokio::test(start_paused = true)]
async fn a_rollout_goes_on_soon_after_all_planners_were_killed() {
    let mut failures = Vec::new();
    for case in KILL_CASES {
        let mut fleet = Fleet::open();
        (1..=3).for_each(|index| fleet.start(index));
        fleet.run_until(Instant::now() + 8 * SECOND).await;
        fleet.name_weights(2);
        let named_at = Instant::now();
        for kill_ms in case.kills_ms {
            fleet.run_until(named_at + Duration::from_millis(*kill_ms)).await;
            let holder = fleet.last_holder();
            fleet.processes.clear();
            fleet.run_until(Instant::now() + DOWNTIME).await;
            (1..=3).filter(|index| *index != holder).for_each(|index| fleet.start(index));
            let restarted_at = Instant::now();
            if let Some(lag) = case.holder_lag {
                fleet.run_until(restarted_at + lag).await;
                fleet.start(holder);
            }
            let needs_order = fleet.outdated() > 0;
            fleet.run_until(restarted_at + case.order_delay_limit).await;
            if needs_order && !fleet.has_order_since(restarted_at) {
                failures.push(format!("{}: no order after the kill at {kill_ms} ms", case.name));
            }
        }
        let node_state = empty_node_state();
        let limits = node_state.limits();
        fleet.run_until(named_at + limits.weights).await;
        let outdated = fleet.outdated();
        if outdated > 1 {
            failures.push(format!("{}: {outdated} of {RUNNERS} runners outdated", case.name));
        }
        failures.extend(fleet.order_violations(limits.lease, case.name));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
