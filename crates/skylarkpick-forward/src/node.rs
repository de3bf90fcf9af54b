//! A running process on a VM.

use crate::{
    client::ClientListener,
    connection_pool::ConnectionPool,
    desk::Desk,
    fleet::{
        CacheFollowers, FleetFollower, PlannerParts, Recorder, ServingConfirmer, follow_caches,
        follow_topic, run_planner,
    },
    jitter::sleep_with_jitter,
    life::Lives,
    peers::{CacheRelay, Handler, PeerParts, PeerRescue, follow_relay, open_peers},
    readiness::{MetricsHandler, ReadinessHandler},
};
use skylarkpick_http::{Server, ServerLimits};
use skylarkpick_interface::{
    Clock, Dialect, FleetSource, FleetTopic, NodeSettings, ObjectStore, RegisteredEntry,
    TargetControl,
};
use skylarkpick_telemetry::Exposition;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::Instant};

/// Time after SIGTERM in which the balancer still sends new connections: it asks once a second and
/// takes two refusals.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);
/// Part of the time before SIGKILL that is left unused.
const GRACE_MARGIN: Duration = Duration::from_millis(350);
/// Pause between looks for records that lapsed.
const LAPSE_PAUSE: Duration = Duration::from_millis(200);
/// Time for a registration to show in the fleet's list.
const LISTED_PAUSE: Duration = Duration::from_secs(5);
/// Pause before a failed registration is made again.
const REGISTER_PAUSE: Duration = Duration::from_secs(1);

/// Settings and outside systems of a process.
pub struct NodeParts {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// The platform's own records.
    pub fleet: Arc<dyn FleetSource>,
    /// The product's own objects.
    pub objects: Arc<dyn ObjectStore>,
    /// How heads of requests and answers are read and written.
    pub dialect: Arc<dyn Dialect>,
    /// Calls to targets that are not requests of clients.
    pub control: Arc<dyn TargetControl>,
    /// Metrics of the process, shown on its metrics address.
    pub exposition: Exposition,
    /// The clock of the VM.
    pub clock: Arc<dyn Clock>,
}

/// A running process on a VM. Dropping it stops it at once.
pub struct Node {
    desk: Arc<Desk>,
    listener: ClientListener,
    _handler: Arc<Handler>,
    ready: Server,
    metrics: Server,
    _tasks: JoinSet<()>,
}

impl Node {
    /// Starts a process: its doors are open when this returns.
    ///
    /// # Errors
    /// When an address cannot be taken.
    pub async fn spawn(parts: NodeParts) -> std::io::Result<Node> {
        let settings = &parts.settings;
        let desk = Desk::open(parts.clock.clone(), settings.bounds);
        let rescue = Arc::new(PeerRescue::default());
        let follower = Arc::new(FleetFollower {
            source: parts.fleet.clone(),
            recorder: Recorder::open(desk.clone(), &settings.node),
            rescue: rescue.clone(),
        });
        let relay = CacheRelay::open(desk.clone());
        let handler = Arc::new(Handler {
            desk: desk.clone(),
            follower: follower.clone(),
            relay: relay.clone(),
        });
        let lives = Arc::new(Lives {
            desk: desk.clone(),
            dialect: parts.dialect.clone(),
            pool: ConnectionPool::open(),
            confirmer: ServingConfirmer::open(follower.clone()),
            data_centre: settings.data_centre.clone(),
        });
        let ready = Server::bind(
            &settings.ready_address.to_string(),
            Arc::new(ReadinessHandler { desk: desk.clone() }),
            ServerLimits::default(),
        )
        .await?;
        let page = MetricsHandler { desk: desk.clone(), exposition: parts.exposition.clone() };
        let metrics = Server::bind(
            &settings.metrics_address.to_string(),
            Arc::new(page),
            ServerLimits::default(),
        )
        .await?;
        let listener = ClientListener::bind(settings.front_address, lives).await?;
        let mut tasks = JoinSet::new();
        let topics =
            [FleetTopic::Serving, FleetTopic::Targets, FleetTopic::Weights, FleetTopic::Entries];
        for topic in topics {
            tasks.spawn(follow_topic(follower.clone(), topic));
        }
        tasks.spawn(look_for_lapses(follower.clone()));
        tasks.spawn(follow_caches(Arc::new(CacheFollowers {
            desk: desk.clone(),
            control: parts.control.clone(),
            fleet: follower.clone(),
            relay,
        })));
        tasks.spawn(follow_relay(desk.clone(), rescue.clone(), follower.clone()));
        let peer_parts = PeerParts {
            settings: settings.clone(),
            objects: parts.objects.clone(),
            handler: handler.clone(),
        };
        tasks.spawn(async move {
            if let Some(network) = open_peers(peer_parts).await {
                rescue.set_network(network);
            }
        });
        tasks.spawn(register(follower.clone(), entry(settings)));
        tasks.spawn(run_planner(PlannerParts {
            desk: desk.clone(),
            objects: parts.objects.clone(),
            control: parts.control.clone(),
            clock: parts.clock.clone(),
            fleet: follower,
            node: settings.node.clone(),
        }));
        Ok(Node { desk, listener, _handler: handler, ready, metrics, _tasks: tasks })
    }

    /// Where clients' connections arrive.
    pub fn front_address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Where the balancer asks whether the process takes new connections.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.address()
    }

    /// Where metrics are read.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics.address()
    }

    /// Whether the process takes new connections.
    pub fn is_ready(&self) -> bool {
        self.desk.is_ready()
    }

    /// Targets that may get new requests, as far as their records tell.
    pub fn listed_targets(&self) -> usize {
        usize::try_from(self.desk.count_targets().0).unwrap_or(usize::MAX)
    }

    /// Takes no new connections once the balancer has noticed, and waits until every answer is
    /// out. Gives whether all of them are.
    pub async fn shutdown(self) -> bool {
        let began = Instant::now();
        let until = began + self.desk.bounds().grace.saturating_sub(GRACE_MARGIN);
        self.desk.drain();
        spdlog::info!("draining", kv: { requests = self.desk.requests_under_way() });
        tokio::time::sleep_until((began + BALANCER_LAG).min(until)).await;
        self.listener.close(until).await
    }
}

fn entry(settings: &NodeSettings) -> RegisteredEntry {
    RegisteredEntry {
        name: settings.node.clone(),
        address: settings.peer_address,
        data_centre: settings.data_centre.clone(),
        cpu_percent: settings.cpu_percent,
    }
}

async fn look_for_lapses(follower: Arc<FleetFollower>) {
    loop {
        tokio::time::sleep(LAPSE_PAUSE).await;
        follower.recorder.remove_lapsed();
    }
}

/// Registers the process, and again whenever the fleet's list does not name it.
async fn register(follower: Arc<FleetFollower>, entry: RegisteredEntry) {
    loop {
        while let Err(error) = follower.source.register(&entry).await {
            spdlog::info!("not registered yet", kv: { error: });
            sleep_with_jitter(REGISTER_PAUSE).await;
        }
        tokio::time::sleep(LISTED_PAUSE).await;
        while follower.recorder.is_listed() {
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
    }
}
