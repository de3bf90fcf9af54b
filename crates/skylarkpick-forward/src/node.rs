//! Starts and stops the entry process on a VM.

use crate::{
    client::ClientListener,
    connection_pool::ConnectionPool,
    crashes::{CrashWatch, send_cleared_causes, send_crashes, store_crashes},
    fleet::{
        CacheWatchers, FleetRecords, FleetWatcher, LoadSampler, PlannerParts, ServingConfirmer,
        fetch_retained, record_weights, run_planner, sample_loads, watch_caches,
        watch_topic_from_start,
    },
    forwarding::{BUFFERED_TOTAL_LIMIT_BYTES, BodyBudget, Forwarder},
    hand_over::ReachWatch,
    jitter::sleep_with_jitter,
    machine::MachineLimits,
    node_state::NodeState,
    pauses::{PausingControl, send_limits},
    peers::{CacheRelay, NetworkParts, PeerClient, PeerMessageHandler, follow_relay, open_network},
    readiness::{MetricsHandler, ReadinessHandler},
    streams::{StreamRegistry, share_streams, take_over_history},
};
use skylarkpick_http::{BufferBudget, Server, ServerLimits};
use skylarkpick_interface::{
    Clock, CrashReport, Dialect, FleetSource, FleetTopic, NodeSettings, ObjectStore,
    RegisteredEntry, TargetControl,
};
use skylarkpick_schedule::{BodyLimits, PlacementPolicy, connection_limit};
use skylarkpick_telemetry::Exposition;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinSet, time::Instant};

/// Time after SIGTERM in which the load balancer still opens new connections: it checks readiness
/// once a second and needs two failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);
/// Safety margin before SIGKILL.
const GRACE_MARGIN: Duration = Duration::from_millis(350);
/// Interval between checks for expired missing targets.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a process that drains checks whether it still serves requests of others.
const TAKEN_OVER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for a registration to appear in the fleet's list.
const LISTING_DELAY: Duration = Duration::from_secs(5);
/// Mean delay before a failed registration is retried.
const REGISTER_DELAY: Duration = Duration::from_secs(1);
/// Mean delay before a process that is no longer listed registers again. Many may be missing at once.
const REREGISTER_DELAY: Duration = Duration::from_millis(400);

/// Settings and external systems of a process.
pub struct NodeParts {
    /// Weights and switches of placement.
    pub policy: PlacementPolicy,
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Platform records of the fleet.
    pub fleet: Arc<dyn FleetSource>,
    /// Object store for leases and the fleet's certificate authority.
    pub objects: Arc<dyn ObjectStore>,
    /// Codec of request and response heads.
    pub dialect: Arc<dyn Dialect>,
    /// Client for control calls to targets.
    pub control: Arc<dyn TargetControl>,
    /// Metrics of the process, served on its metrics address.
    pub exposition: Exposition,
    /// Clock of the VM.
    pub clock: Arc<dyn Clock>,
}

/// Running entry process. Dropping it stops the process immediately.
pub struct Node {
    node_state: Arc<NodeState>,
    listener: ClientListener,
    /// Requests of other processes that this one serves.
    taken_over: Arc<AtomicUsize>,
    _handler: Arc<PeerMessageHandler>,
    ready: Server,
    metrics: Server,
    _tasks: JoinSet<()>,
}

impl Node {
    /// Starts a process. All its listeners are open when this returns.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
    pub async fn spawn(parts: NodeParts) -> std::io::Result<Node> {
        let settings = &parts.settings;
        let node_state = NodeState::open(parts.clock.clone(), settings.bounds, parts.policy);
        node_state.fair_turns.set_pressing(settings.has_pressing_clients);
        let control = PausingControl::open(parts.control.clone(), node_state.clone());
        let peer_client = Arc::new(PeerClient::default());
        let watcher = Arc::new(FleetWatcher {
            source: parts.fleet.clone(),
            records: FleetRecords::open(node_state.clone(), &settings.node),
            peer_client: peer_client.clone(),
        });
        let relay = CacheRelay::open(node_state.clone());
        let streams = Arc::new(StreamRegistry {
            node_state: node_state.clone(),
            watcher: watcher.clone(),
            data_centre: settings.data_centre.clone(),
        });
        let pool = ConnectionPool::open();
        let machine = MachineLimits::read(settings);
        let memory_bytes = usize::try_from(machine.memory_bytes).unwrap_or(usize::MAX);
        let body_limits = BodyLimits::of_memory(memory_bytes);
        let bodies = BodyBudget::open(body_limits);
        let taken_over: Arc<AtomicUsize> = Arc::default();
        let reach = ReachWatch::open(
            node_state.clone(),
            pool.clone(),
            watcher.clone(),
            settings.data_centre.clone(),
        );
        let crashes = CrashWatch::open(
            node_state.clone(),
            pool.clone(),
            watcher.clone(),
            parts.objects.clone(),
        );
        let forwarder = Arc::new(Forwarder {
            node_state: node_state.clone(),
            dialect: parts.dialect.clone(),
            pool,
            crashes: crashes.clone(),
            buffers: BufferBudget::open(BUFFERED_TOTAL_LIMIT_BYTES),
            bodies: bodies.clone(),
            confirmer: ServingConfirmer::open(watcher.clone()),
            data_centre: settings.data_centre.clone(),
            streams: streams.clone(),
            control: control.clone(),
            reach: reach.clone(),
            peer_client: peer_client.clone(),
            taken_over: taken_over.clone(),
        });
        let handler = Arc::new(PeerMessageHandler {
            node_state: node_state.clone(),
            watcher: watcher.clone(),
            relay: relay.clone(),
            reach,
            forwarder: Some(forwarder.clone()),
        });
        let ready = Server::bind(
            &settings.ready_address.to_string(),
            Arc::new(ReadinessHandler { node_state: node_state.clone() }),
            ServerLimits::default(),
        )
        .await?;
        let metrics_handler = MetricsHandler {
            node_state: node_state.clone(),
            bodies,
            exposition: parts.exposition.clone(),
        };
        let metrics = Server::bind(
            &settings.metrics_address.to_string(),
            Arc::new(metrics_handler),
            ServerLimits::default(),
        )
        .await?;
        let connections_limit = connection_limit(machine.descriptors, Some(machine.memory_bytes));
        let front = settings.front_address;
        let pace = body_limits.pressed_pace;
        let listener = ClientListener::bind(front, forwarder, connections_limit, pace).await?;
        let mut tasks = JoinSet::new();
        let topics =
            [FleetTopic::Serving, FleetTopic::Targets, FleetTopic::Weights, FleetTopic::Entries];
        let evacuations = settings.bounds.evacuation.map(|_| FleetTopic::Evacuations);
        for topic in topics.into_iter().chain(evacuations) {
            tasks.spawn(watch_topic_from_start(watcher.clone(), topic));
        }
        tasks.spawn(take_over_history(streams.clone()));
        tasks.spawn(share_streams(streams));
        tasks.spawn(send_limits(node_state.clone(), watcher.clone()));
        tasks.spawn(send_crashes(crashes.clone()));
        tasks.spawn(send_cleared_causes(crashes.clone()));
        tasks.spawn(store_crashes(crashes));
        tasks.spawn(record_weights(watcher.clone()));
        tasks.spawn(fetch_retained(watcher.clone()));
        tasks.spawn(expire_records(watcher.clone()));
        tasks.spawn(sample_loads(LoadSampler {
            node_state: node_state.clone(),
            control: control.clone(),
            watcher: watcher.clone(),
            data_centre: settings.data_centre.clone(),
        }));
        tasks.spawn(watch_caches(Arc::new(CacheWatchers {
            node_state: node_state.clone(),
            control: control.clone(),
            watcher: watcher.clone(),
            relay,
        })));
        tasks.spawn(follow_relay(node_state.clone(), peer_client.clone(), watcher.clone()));
        let network_parts = NetworkParts {
            settings: settings.clone(),
            objects: parts.objects.clone(),
            handler: handler.clone(),
        };
        tasks.spawn(async move {
            if let Some(network) = open_network(network_parts).await {
                peer_client.set_network(network);
            }
        });
        tasks.spawn(register(watcher.clone(), entry(settings)));
        tasks.spawn(run_planner(PlannerParts {
            node_state: node_state.clone(),
            objects: parts.objects.clone(),
            control,
            due_control: parts.control.clone(),
            clock: parts.clock.clone(),
            watcher,
            node: settings.node.clone(),
            // Names and addresses are each used again for later VMs.
            machine: format!("{} {}", settings.node, settings.peer_address),
        }));
        Ok(Node {
            node_state,
            listener,
            taken_over,
            _handler: handler,
            ready,
            metrics,
            _tasks: tasks,
        })
    }

    /// Returns the address for client connections.
    pub fn front_address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the address for readiness checks.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.address()
    }

    /// Returns the address that serves the metrics.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics.address()
    }

    /// Returns whether the process accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.node_state.is_ready()
    }

    /// Returns the number of registered targets that are not draining.
    pub fn available_targets(&self) -> usize {
        usize::try_from(self.node_state.count_targets().0).unwrap_or(usize::MAX)
    }

    /// Drains the process: reports it as not ready, stops accepting connections once the load
    /// balancer has noticed, and waits for all responses to be sent. Returns whether all were sent
    /// before the end of the grace period.
    pub async fn shutdown(self) -> bool {
        let began = Instant::now();
        let until = began + self.node_state.limits().grace.saturating_sub(GRACE_MARGIN);
        self.node_state.drain();
        spdlog::info!("draining", kv: { requests = self.node_state.requests_in_flight() });
        tokio::time::sleep_until((began + BALANCER_LAG).min(until)).await;
        let has_sent_all = self.listener.close(until).await;
        while self.taken_over.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            tokio::time::sleep(TAKEN_OVER_CHECK_INTERVAL).await;
        }
        has_sent_all && self.taken_over.load(Ordering::SeqCst) == 0
    }
}

fn entry(settings: &NodeSettings) -> RegisteredEntry {
    RegisteredEntry {
        name: settings.node.clone(),
        address: settings.peer_address,
        data_centre: settings.data_centre.clone(),
        cpu_percent: settings.cpu_percent,
        fetches_notices: true,
        crashes: CrashReport::default(),
    }
}

async fn expire_records(watcher: Arc<FleetWatcher>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        watcher.records.remove_expired_targets();
        watcher.records.remove_expired_entries();
        watcher.records.remove_expired_evacuations();
        watcher.records.decide_pending_role();
    }
}

/// Registers the process, and registers it again whenever it is missing from the fleet's list.
async fn register(watcher: Arc<FleetWatcher>, entry: RegisteredEntry) {
    let records = &watcher.records;
    loop {
        let mut changes = records.subscribe();
        let era = records.revision(FleetTopic::Entries).era;
        while let Err(error) = watcher.source.register(&entry).await {
            spdlog::info!("failed to register this process", kv: { error: });
            sleep_with_jitter(REGISTER_DELAY).await;
        }
        // After a return of the platform's store, the list is that of its copy.
        let is_listed =
            |_: &u64| records.is_listed(&entry) || records.revision(FleetTopic::Entries).era > era;
        let _ = tokio::time::timeout(LISTING_DELAY, changes.wait_for(is_listed)).await;
        let is_missing = |_: &u64| !records.is_listed(&entry);
        // It can't fail: the records own the sender.
        let _ = changes.wait_for(is_missing).await;
        sleep_with_jitter(REREGISTER_DELAY).await;
    }
}
