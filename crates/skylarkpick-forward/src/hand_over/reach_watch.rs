//! Watches which services this process reaches, and which other processes do.

use crate::{
    connection_pool::ConnectionPool,
    fleet::FleetWatcher,
    node_state::NodeState,
    peers::{PeerRequest, PeerResponse},
};
use futures::future::join_all;
use rand::seq::{IndexedRandom, SliceRandom};
use skylarkpick_interface::{
    DataCentreId, EntryId, RegisteredEntry, RegisteredTarget, ServiceName, TargetId,
};
use skylarkpick_schedule::{ConnectFailure, HelperAddress, Helpers, ServiceReach};
use skylarkpick_telemetry::{SERVICES_CUT_OFF, metrics};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet, time::Instant};

/// Targets of a service that a round of probes connects to at the same time. Several may have ended at
/// once.
const TARGETS_PER_ROUND: usize = 8;
/// Interval between rounds of probes while the process is cut off from a service and another serves it.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The same while nobody is known to reach the service: its targets may be about to start again.
const UNSERVED_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which other processes are asked whether they reach such a service.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// The same while nobody is known to.
const UNSERVED_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of such a question. One that times out closes its connection, on which others may wait.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the first answers are waited for.
const ANSWER_WAIT: Duration = Duration::from_millis(250);
/// Processes of the own data centre, and of others, that are asked at the same time.
const ASKED_PER_ROUND: usize = 3;
/// Age up to which a connection shows that a service is reached.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(1);

/// Watches which services this process reaches.
pub(crate) struct ReachWatch {
    node_state: Arc<NodeState>,
    pool: Arc<ConnectionPool>,
    watcher: Arc<FleetWatcher>,
    data_centre: DataCentreId,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    reach: ServiceReach,
    helpers: BTreeMap<ServiceName, Helpers>,
    /// Checks of suspected services that are under way; they end when the sender is dropped.
    checks: BTreeMap<ServiceName, watch::Receiver<()>>,
}

/// Counts a request as served by another process until dropped.
pub(crate) struct HelperGuard {
    watch: Arc<ReachWatch>,
    service: ServiceName,
    address: HelperAddress,
}

impl State {
    /// Returns whether another process is known to reach a service.
    fn has_helper(&self, service: &str, now: Duration) -> bool {
        self.helpers.get(service).is_some_and(|it| it.is_any_known(now))
    }
}

impl ReachWatch {
    pub(crate) fn open(
        node_state: Arc<NodeState>,
        pool: Arc<ConnectionPool>,
        watcher: Arc<FleetWatcher>,
        data_centre: DataCentreId,
    ) -> Arc<ReachWatch> {
        let state = Mutex::default();
        Arc::new(ReachWatch { node_state, pool, watcher, data_centre, state })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this process reaches no target of a service.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        self.lock().reach.is_cut_off(service)
    }

    /// Records that a connection to a target of a service was opened.
    pub(crate) fn note_connected(&self, service: &str) {
        self.lock().reach.note_connected(service, self.node_state.now());
    }

    /// Records that a connection to a target failed that was begun at the node time `began`. If the
    /// service is suspected then, returns after it has been checked.
    pub(crate) async fn note_failed(
        self: &Arc<Self>,
        service: &str,
        target: &str,
        failure: ConnectFailure,
        began: Duration,
    ) {
        let targets = self.targets(service).len();
        let now = self.node_state.now();
        let mut checked = {
            let mut state = self.lock();
            if !state.reach.note_failed(service, target, failure, targets, began, now) {
                return;
            }
            match state.checks.get(service) {
                Some(check) => check.clone(),
                None => {
                    let (end, check) = watch::channel(());
                    state.checks.insert(service.to_string(), check.clone());
                    let (watch, service) = (self.clone(), service.to_string());
                    tokio::spawn(async move { watch.check(service, end).await });
                    check
                }
            }
        };
        // An error means that the check has ended.
        while checked.changed().await.is_ok() {}
    }

    /// Checks a suspected service. While the process is cut off from it, goes on until it isn't, for
    /// those that wait only until other processes were asked.
    async fn check(self: Arc<Self>, service: ServiceName, end: watch::Sender<()>) {
        self.probe(&service).await;
        if self.is_cut_off(&service) {
            for (_, address) in self.targets(&service) {
                self.pool.close(&address);
            }
            self.ask(&service).await;
        }
        self.lock().checks.remove(&service);
        drop(end);
        let mut asked_at = Instant::now();
        while self.is_cut_off(&service) {
            let has_helper = self.lock().has_helper(&service, self.node_state.now());
            let interval = if has_helper { PROBE_INTERVAL } else { UNSERVED_PROBE_INTERVAL };
            tokio::time::sleep(interval).await;
            if self.targets(&service).is_empty() {
                self.lock().reach.forget(&service);
                self.publish();
                return;
            }
            self.probe(&service).await;
            let ask_interval = if has_helper { ASK_INTERVAL } else { UNSERVED_ASK_INTERVAL };
            if asked_at.elapsed() >= ask_interval && self.is_cut_off(&service) {
                asked_at = Instant::now();
                self.ask(&service).await;
            }
        }
    }

    /// Probes a suspected service, or one that the process is cut off from.
    async fn probe(&self, service: &str) {
        let is_reached = self.connects(service).await;
        let now = self.node_state.now();
        let is_changed = {
            let mut state = self.lock();
            let has_helper = state.has_helper(service, now);
            state.reach.note_probed(service, is_reached, has_helper, now)
        };
        if is_changed {
            self.publish();
            spdlog::warn!("reach of a service changed", kv: { service, is_cut_off = !is_reached });
        }
    }

    /// Tells metrics and roles what the process is cut off from. A role is left only if others can take
    /// it over.
    fn publish(&self) {
        let now = self.node_state.now();
        let state = self.lock();
        let mut cut_off = state.reach.cut_off();
        metrics().set(&SERVICES_CUT_OFF, cut_off.len() as u64, &[]);
        cut_off.retain(|service| state.has_helper(service, now));
        drop(state);
        self.node_state.set_cut_off(&cut_off);
    }

    /// Connects to a few targets of a service. Returns whether one was reached.
    async fn connects(&self, service: &str) -> bool {
        let mut targets = self.targets(service);
        targets.shuffle(&mut rand::rng());
        targets.truncate(TARGETS_PER_ROUND);
        let probes = targets.iter().map(|(_, address)| self.pool.is_open(*address));
        join_all(probes).await.contains(&true)
    }

    /// Asks a few other processes whether they reach a service.
    async fn ask(self: &Arc<Self>, service: &str) {
        let asked = self.processes_to_ask();
        let count = asked.len();
        let mut questions = JoinSet::new();
        for entry in asked {
            let (watch, service) = (self.clone(), service.to_string());
            questions.spawn(async move { watch.ask_process(&entry, &service).await });
        }
        let until = Instant::now() + ANSWER_WAIT;
        let (mut reaching, mut answered) = (0, 0);
        // A timeout leaves the other answers to the questions, which go on.
        while let Ok(Some(answer)) = tokio::time::timeout_at(until, questions.join_next()).await {
            answered += 1;
            reaching += usize::from(answer.is_ok_and(|reaches| reaches));
        }
        questions.detach_all();
        spdlog::info!("asked other entry processes for the reach of a service", kv: {
            service, asked = count, answered, reaching,
        });
    }

    /// Asks a process whether it reaches a service.
    async fn ask_process(&self, entry: &RegisteredEntry, service: &str) -> bool {
        let (address, request) =
            (entry.address.to_string(), PeerRequest::Reach { service: service.to_string() });
        let answer = self.watcher.peer_client.ask(&address, &request, ASK_TIMEOUT).await;
        if let Err(error) = &answer {
            spdlog::debug!("failed to ask another entry process for its reach", kv: {
                address = address.as_str(), error = error.as_str(),
            });
        }
        let reaches = matches!(answer, Ok(PeerResponse::Reach { is_reached: true }));
        let is_in_data_centre = entry.data_centre == self.data_centre;
        let now = self.node_state.now();
        let mut state = self.lock();
        let helpers = state.helpers.entry(service.to_string()).or_default();
        helpers.note_answer(&address, reaches, is_in_data_centre, now);
        drop(state);
        self.publish();
        reaches
    }

    fn processes_to_ask(&self) -> Vec<RegisteredEntry> {
        let mut others = self.watcher.records.other_entries();
        others.shuffle(&mut rand::rng());
        let (near, far): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|entry| entry.data_centre == self.data_centre);
        let missing = ASKED_PER_ROUND.saturating_sub(near.len());
        let far = far.into_iter().take(ASKED_PER_ROUND + missing);
        near.into_iter().take(ASKED_PER_ROUND).chain(far).collect()
    }

    /// Returns whether this process reaches a service, for another one that doesn't.
    pub(crate) async fn serves(&self, service: &str) -> bool {
        if self.node_state.is_draining() || self.is_cut_off(service) {
            return false;
        }
        let now = self.node_state.now();
        let connected_at = self.lock().reach.connected_at(service);
        if connected_at.is_some_and(|at| now < at + CONNECTION_LIFETIME) {
            return true;
        }
        let is_reached = self.connects(service).await;
        if is_reached {
            self.note_connected(service);
        }
        is_reached
    }

    /// Returns a process that serves a request for a service, other than those in `avoid`.
    pub(crate) fn helper(
        self: &Arc<Self>,
        service: &str,
        avoid: &[HelperAddress],
    ) -> Option<HelperGuard> {
        let mut state = self.lock();
        let helpers = state.helpers.get_mut(service)?;
        let address = helpers.choose(avoid, self.node_state.now())?;
        helpers.begin(&address);
        Some(HelperGuard { watch: self.clone(), service: service.to_string(), address })
    }

    /// Returns a process that may send requests to the brittle targets of a service, other than those in
    /// `avoid`. Each is returned as often as it may have requests under way there.
    pub(crate) fn place_owner(
        self: &Arc<Self>,
        service: &str,
        avoid: &[HelperAddress],
    ) -> Option<HelperGuard> {
        let now = self.node_state.now();
        let places: BTreeMap<EntryId, u32> =
            self.node_state.lock().placement.place_owners(service, now).into_iter().collect();
        let owners: Vec<(HelperAddress, u32)> = self
            .watcher
            .records
            .other_entries()
            .into_iter()
            .filter_map(|entry| Some((entry.address.to_string(), *places.get(&entry.name)?)))
            .filter(|(address, _)| !avoid.contains(address))
            .collect();
        // An error means that there is none.
        let (address, _) = owners.choose_weighted(&mut rand::rng(), |(_, places)| *places).ok()?;
        self.lock().helpers.entry(service.to_string()).or_default().begin(address);
        let (service, address) = (service.to_string(), address.clone());
        Some(HelperGuard { watch: self.clone(), service, address })
    }

    /// Returns the targets of a service that are not leaving, without those of evacuated data centres:
    /// a process that reaches only these can't serve requests.
    fn targets(&self, service: &str) -> Vec<(TargetId, SocketAddr)> {
        let state = self.node_state.lock();
        let targets = state.placement.targets().values().map(|target| &target.registration);
        let placement = &state.placement;
        let is_used =
            |it: &&RegisteredTarget| !placement.is_leaving(it) && !placement.is_evacuated(it);
        let usable = targets.filter(|it| it.service == service).filter(is_used);
        usable.map(|it| (it.id.clone(), it.address)).collect()
    }
}

impl HelperGuard {
    pub(crate) fn address(&self) -> &HelperAddress {
        &self.address
    }

    /// Records that the process doesn't take requests for the service.
    pub(crate) fn note_refused(&self) {
        if let Some(helpers) = self.watch.lock().helpers.get_mut(&self.service) {
            helpers.note_refused(&self.address);
        }
    }
}

impl Drop for HelperGuard {
    fn drop(&mut self) {
        if let Some(helpers) = self.watch.lock().helpers.get_mut(&self.service) {
            helpers.end(&self.address);
        }
    }
}
