//! State shared by all requests of a process: serving document, placement and retry budgets.

use crate::{
    evacuations::EvacuationKnowledge,
    fair_turns::FairTurns,
    log::MatterLog,
    newest_version::NewestVersion,
    peers::{BrittleNotice, LimitNotice},
    serving_index::ServingIndex,
};
use skylarkpick_interface::{
    Clock, CrashCause, EntryId, ModelName, NodeLimits, ReportedLoad, ServiceKind, ServiceName,
    TargetId, WeightVersion,
};
use skylarkpick_schedule::{
    Assignment, CrashEvidence, MemorySample, Placement, PlacementDecision, PlacementPolicy,
    PlacementPrompt, PlacementRequest, RetryLimits, RetryShare, SharingProcesses, SoftwareVersions,
    StreamOrigins, TargetOutcome, TargetView, UnplacedReason, WaitingRequests,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::{sync::Notify, time::Instant};

/// Safety margin before the time at which runs on previous weights must no longer start; covers
/// message and queue delays.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// The same for runs that were already sent; covers the time in which their runner notices that the
/// connection is closed.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);
/// Longest time for which an attempt on replaced weights doesn't look at the node time. Timers stand still
/// while the VM is suspended. A fifth of the margin for withdrawals.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Node time at boot, so that the node time of what happened before the boot is not negative.
const NODE_TIME_AT_BOOT: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest time after which a request that waits for capacity is placed again.
pub(crate) const CAPACITY_POLL: Duration = Duration::from_millis(25);

/// State shared by all requests of a process.
pub(crate) struct NodeState {
    state: Mutex<RoutingState>,
    clock: Arc<dyn Clock>,
    limits: NodeLimits,
    /// Wakes the tasks that watch caches when the set of caches may have changed.
    pub(crate) caches_changed: Notify,
    /// Wakes the planner when weights or targets have changed.
    pub(crate) weights_changed: Notify,
    /// Wakes the attempts that have not started when desired weights have changed.
    desired_weights_changed: Notify,
    /// Wakes the requests that wait for capacity when some may have become free.
    capacity_changed: Notify,
    /// Turns of the requests that wait for capacity.
    pub(crate) fair_turns: Arc<FairTurns>,
    /// Wakes the attempts that have not started when the causes that are blamed change.
    pub(crate) blame_changed: Notify,
    /// Wakes the task that writes the evidence of ended targets to the platform.
    pub(crate) evidence_changed: Notify,
    /// Wakes the task that tells other processes the limits of targets, and which are brittle.
    pub(crate) limits_changed: Notify,
    /// Ends the pause of that task when a brittle target has turned a request away.
    pub(crate) brittle_rejected: Notify,
    /// Whether the desired weights have been read since the start.
    knows_weights: AtomicBool,
    /// Whether the entry processes have been read since the start, with their evidence.
    knows_evidence: AtomicBool,
    /// Whether the evacuations of data centres are known.
    pub(crate) evacuations: EvacuationKnowledge,
    /// Whether this process reaches no engine of a service that others reach.
    is_cut_off_from_engines: AtomicBool,
    /// Newest version of the configuration that is known.
    pub(crate) newest_version: NewestVersion,
    /// Headers that were logged as unreadable, by the address of their target.
    pub(crate) unreadable_headers: MatterLog<(SocketAddr, String)>,
    draining: AtomicBool,
    in_flight: AtomicU64,
}

/// Routing state behind a lock that is never held across an await.
pub(crate) struct RoutingState {
    serving: Option<Arc<ServingIndex>>,
    pub(crate) placement: Placement,
    /// Shares in the retry budgets by service.
    retry_shares: BTreeMap<ServiceName, RetryShare>,
    /// Entry processes that share the additional retries.
    sharing: SharingProcesses,
    /// Requests that wait until a target has capacity.
    waiting: WaitingRequests,
    /// Software versions of the registered targets.
    pub(crate) software_versions: SoftwareVersions,
    /// Runs that began streams at this process, and at others for which it keeps them.
    pub(crate) stream_origins: StreamOrigins,
    /// Ends of targets, and the parts of prompts and requests that may be why.
    pub(crate) crash_evidence: CrashEvidence,
    /// Suspected and tried causes with a request under way.
    pub(crate) permitted_causes: BTreeSet<CrashCause>,
    /// Changed limits of targets that other processes are to be told.
    pub(crate) untold_limits: BTreeMap<TargetId, LimitNotice>,
    /// Targets of which other processes are to be told that they are brittle, or no longer are.
    pub(crate) untold_brittle: BTreeMap<TargetId, BrittleNotice>,
    /// Brittle targets, with their starts, of which other processes are to be told that they turned a
    /// request away.
    pub(crate) untold_rejections: BTreeSet<(TargetId, u64)>,
    /// Targets that were logged as brittle.
    pub(crate) known_brittle: BTreeSet<TargetId>,
    /// Targets, with their starts, of which other processes are to be told that they have ended.
    pub(crate) untold_ends: BTreeSet<(TargetId, u64)>,
    /// Targets that were logged as cold.
    pub(crate) known_cold: BTreeSet<TargetId>,
}

/// Whether a request may be sent again, with what decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryDecision {
    pub(crate) is_allowed: bool,
    /// First attempts for the service in the window.
    pub(crate) first_attempts: usize,
    /// Retries that this process may still make, with a fraction of the next one.
    pub(crate) available: f64,
    /// Additional retries of this process in a window; 0 while the number of processes is not certain.
    pub(crate) extra_share: f64,
}

impl NodeState {
    pub(crate) fn open(
        clock: Arc<dyn Clock>,
        limits: NodeLimits,
        policy: PlacementPolicy,
    ) -> Arc<NodeState> {
        let evacuations = EvacuationKnowledge::open(limits.evacuation, node_time(&*clock));
        let usable_for = limits.weights.saturating_sub(OLD_WEIGHTS_MARGIN);
        let mut placement = Placement::open_with_policy(usable_for, policy);
        placement.set_cold_bound(limits.cold);
        Arc::new(NodeState {
            state: Mutex::new(RoutingState {
                serving: None,
                placement,
                retry_shares: BTreeMap::new(),
                sharing: SharingProcesses::open(limits.retry_window, node_time(&*clock)),
                waiting: WaitingRequests::default(),
                software_versions: SoftwareVersions::default(),
                stream_origins: StreamOrigins::default(),
                crash_evidence: CrashEvidence::default(),
                permitted_causes: BTreeSet::new(),
                untold_limits: BTreeMap::new(),
                untold_brittle: BTreeMap::new(),
                untold_rejections: BTreeSet::new(),
                known_brittle: BTreeSet::new(),
                untold_ends: BTreeSet::new(),
                known_cold: BTreeSet::new(),
            }),
            clock,
            limits,
            caches_changed: Notify::new(),
            weights_changed: Notify::new(),
            desired_weights_changed: Notify::new(),
            capacity_changed: Notify::new(),
            fair_turns: Arc::default(),
            blame_changed: Notify::new(),
            evidence_changed: Notify::new(),
            limits_changed: Notify::new(),
            brittle_rejected: Notify::new(),
            knows_weights: AtomicBool::new(false),
            knows_evidence: AtomicBool::new(false),
            evacuations,
            is_cut_off_from_engines: AtomicBool::new(false),
            newest_version: NewestVersion::default(),
            unreadable_headers: MatterLog::default(),
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the node time: monotonic, including time for which the VM was suspended, and a day
    /// ahead of the time since boot.
    pub(crate) fn now(&self) -> Duration {
        node_time(&*self.clock)
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub(crate) fn wall_ms(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        // A clock before 1970 has no usable time; 0 makes recorded times look like those of now.
        since_epoch.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
    }

    pub(crate) fn limits(&self) -> &NodeLimits {
        &self.limits
    }

    pub(crate) fn serving(&self) -> Option<Arc<ServingIndex>> {
        self.lock().serving.clone()
    }

    /// Installs a serving document if it is newer than the current one. Returns whether it was.
    pub(crate) fn install_serving(&self, serving: ServingIndex) -> bool {
        let mut state = self.lock();
        if state.serving.as_ref().is_some_and(|known| known.version() >= serving.version()) {
            return false;
        }
        state.placement.set_services(&serving.document.services);
        state.placement.set_cold_starts(&serving.document.cold_starts, self.now());
        state.serving = Some(Arc::new(serving));
        drop(state);
        self.caches_changed.notify_waiters();
        true
    }

    /// Sets the entry processes that share the additional retries and the limits of targets.
    pub(crate) fn set_entries(&self, own: &str, names: Vec<EntryId>) {
        let now = self.now();
        let mut state = self.lock();
        state.sharing.set_listed(u32::try_from(names.len()).unwrap_or(u32::MAX), now);
        state.placement.set_entries(own, names, now);
    }

    /// Records that the list of entry processes was current at a node time.
    pub(crate) fn note_entries_current(&self, at: Duration) {
        self.lock().sharing.note_current(at);
    }

    /// Chooses a target. No target is chosen while more urgent requests wait for the service, none of
    /// a brittle service while others wait for it, unless the request has waited too, and none for a
    /// prompt before the desired weights are known or for any request before the evacuations are.
    pub(crate) fn choose(&self, request: &PlacementRequest, has_waited: bool) -> PlacementDecision {
        self.choose_behind(request, has_waited, None)
    }

    /// Chooses a target for a request with so many requests ahead of it; `None` if all that wait are.
    pub(crate) fn choose_behind(
        &self,
        request: &PlacementRequest,
        has_waited: bool,
        ahead: Option<u32>,
    ) -> PlacementDecision {
        let lacks_weights = request.prompt.is_some() && !self.knows_weights.load(Ordering::SeqCst);
        if lacks_weights || self.awaits_evacuations() {
            return PlacementDecision::Unplaced(UnplacedReason::NoneUsable);
        }
        let now = self.now();
        let mut state = self.lock();
        state.placement.refresh_places(now);
        let decision = state.placement.choose(request, now);
        if request.is_continuation {
            return decision;
        }
        let (service, rank) = (&request.service, request.rank);
        let ahead = ahead.unwrap_or_else(|| state.waiting.count_ahead(service, rank));
        let place_wait = || state.placement.place_wait(request, ahead, now);
        let has_more_urgent = state.waiting.has_more_urgent(service, rank);
        match decision {
            PlacementDecision::Assigned(_) if has_more_urgent || (!has_waited && ahead > 0) => {
                match place_wait() {
                    // Only requests to engines wait for their turn without a brittle target.
                    None if has_more_urgent && request.prompt.is_some() => {
                        PlacementDecision::Unplaced(UnplacedReason::Full { wait: CAPACITY_POLL })
                    }
                    None => decision,
                    wait => PlacementDecision::Unplaced(UnplacedReason::NoPlace { wait }),
                }
            }
            PlacementDecision::Unplaced(UnplacedReason::NoPlace { .. }) => {
                PlacementDecision::Unplaced(UnplacedReason::NoPlace { wait: place_wait() })
            }
            decision => decision,
        }
    }

    /// Returns why a request can't be placed while so many others go first; `None` if requests of the
    /// service don't wait.
    pub(crate) fn wait_for_others(
        &self,
        request: &PlacementRequest,
        ahead: u32,
    ) -> Option<UnplacedReason> {
        match self.lock().placement.place_wait(request, ahead, self.now()) {
            None if request.prompt.is_some() => Some(UnplacedReason::Full { wait: CAPACITY_POLL }),
            None => None,
            wait => Some(UnplacedReason::NoPlace { wait }),
        }
    }

    /// Counts a request as waiting for capacity until the guard is dropped.
    pub(crate) fn count_waiting(&self, request: &PlacementRequest) -> WaitingGuard<'_> {
        WaitingGuard::begin(self, request)
    }

    /// Waits until a target may have capacity for the request, or until `until`.
    pub(crate) async fn wait_for_capacity(
        self: &Arc<Self>,
        request: &PlacementRequest,
        until: Instant,
    ) {
        let _waiting = WaitingGuard::begin(self, request);
        let until = until.min(Instant::now() + CAPACITY_POLL);
        // After the timeout the request is placed again, or rejected.
        let _ = tokio::time::timeout_at(until, self.capacity_changed.notified()).await;
    }

    /// Has the requests that wait for capacity placed again.
    pub(crate) fn note_capacity_changed(&self) {
        self.capacity_changed.notify_waiters();
        self.fair_turns.begin_round();
    }

    /// Applies a sample of an engine's memory that the engine returned `age` ago.
    pub(crate) fn observe_memory(&self, target: &str, sample: MemorySample, age: Duration) {
        let reported_at = self.now().saturating_sub(age);
        self.lock().placement.observe_memory(target, sample, reported_at);
        self.note_capacity_changed();
    }

    /// Counts a request as in flight at the assigned target until the guard is dropped.
    pub(crate) fn begin(
        self: &Arc<Self>,
        assignment: Assignment,
        prompt: Option<&PlacementPrompt>,
    ) -> AssignmentGuard {
        let now = self.now();
        self.lock().placement.begin(&assignment, prompt, now);
        AssignmentGuard {
            node_state: self.clone(),
            assignment,
            model: prompt.map(|prompt| prompt.model.clone()),
            sent_at: now,
            outcome: TargetOutcome::Unknown,
            first_response_at: None,
        }
    }

    pub(crate) fn observe_load(&self, target: &str, load: ReportedLoad) {
        self.lock().placement.observe_load(target, load, self.now());
    }

    /// Records the weights of one start of a target.
    pub(crate) fn observe_weights(
        &self,
        target: &str,
        started_at_ms: u64,
        model: &str,
        version: WeightVersion,
    ) {
        self.lock().placement.observe_weights(target, started_at_ms, model, version);
    }

    /// Sets the node time since which a weight version of a model has been desired. Returns whether
    /// anything changed.
    pub(crate) fn set_desired_weights(
        &self,
        model: &str,
        version: WeightVersion,
        since: Duration,
    ) -> bool {
        let is_changed = self.lock().placement.weights.set_desired(model, version, since);
        if is_changed {
            self.weights_changed.notify_one();
            self.desired_weights_changed.notify_waiters();
        }
        is_changed
    }

    /// Records that the desired weights have been read.
    pub(crate) fn note_weights_read(&self) {
        self.knows_weights.store(true, Ordering::SeqCst);
    }

    /// Waits until runs on a weight version must no longer start, which may never be the case.
    pub(crate) async fn wait_for_expiry(&self, model: &str, version: WeightVersion) {
        let startable_for = self.limits.weights.saturating_sub(WITHDRAWAL_MARGIN);
        loop {
            let changed = self.desired_weights_changed.notified();
            let replaced_at = self.lock().placement.weights.replaced_at(model, version);
            let Some(replaced_at) = replaced_at else {
                changed.await;
                continue;
            };
            let remaining = (replaced_at + startable_for).saturating_sub(self.now());
            if remaining.is_zero() {
                return;
            }
            // After the timeout the remaining time is checked again.
            let _ = tokio::time::timeout(remaining.min(EXPIRY_CHECK_INTERVAL), changed).await;
        }
    }

    /// Records that the entry processes have been read.
    pub(crate) fn note_entries_read(&self) {
        self.knows_evidence.store(true, Ordering::SeqCst);
    }

    /// Returns whether the evidence that outlasted the start of this process is known.
    pub(crate) fn knows_evidence(&self) -> bool {
        self.knows_evidence.load(Ordering::SeqCst)
    }

    /// Records that a target is about to swap its weights.
    pub(crate) fn note_swapping(&self, target: &str, model: &str, version: WeightVersion) {
        let now = self.now();
        self.lock().placement.note_swapping(target, model, version, now);
    }

    pub(crate) fn note_first_attempt(&self, service: &str) {
        let now = self.now();
        let mut state = self.lock();
        let extra_share = self.extra_retry_share(&state, now);
        self.retry_share(&mut state, service).note_first_attempt(extra_share, now);
    }

    /// Takes a retry from the share of this process in the budget of a service, and returns what
    /// decided.
    pub(crate) fn try_take_retry(&self, service: &str) -> RetryDecision {
        let now = self.now();
        let mut state = self.lock();
        let extra_share = self.extra_retry_share(&state, now);
        let share = self.retry_share(&mut state, service);
        let is_allowed = share.take(extra_share, now);
        let (first_attempts, available) = (share.first_attempts(), share.available());
        RetryDecision { is_allowed, first_attempts, available, extra_share }
    }

    fn retry_limits(&self) -> RetryLimits {
        let ratio = f64::from(self.limits.retry_percent) / 100.0;
        RetryLimits { window: self.limits.retry_window, ratio, extra: self.limits.retry_extra }
    }

    /// Returns the additional retries of this process in a window.
    fn extra_retry_share(&self, state: &RoutingState, now: Duration) -> f64 {
        let processes = state.sharing.number(now);
        processes.map_or(0.0, |number| self.retry_limits().extra_share(number))
    }

    fn retry_share<'a>(&self, state: &'a mut RoutingState, service: &str) -> &'a mut RetryShare {
        let filled_from = state.sharing.certain_from();
        let open = || RetryShare::open(self.retry_limits(), filled_from);
        state.retry_shares.entry(service.to_string()).or_insert_with(open)
    }

    /// Sets the services of which this process reaches no target, while others do.
    pub(crate) fn set_cut_off(&self, services: &BTreeSet<ServiceName>) {
        let serving = self.serving();
        let is_engine = |service: &ServiceName| {
            let kind = serving.as_ref().and_then(|it| it.document.services.get(service));
            matches!(kind, Some(ServiceKind::Engines(_)))
        };
        self.is_cut_off_from_engines.store(services.iter().any(is_engine), Ordering::SeqCst);
    }

    /// Returns whether this process reaches no engine of a service that others reach, so that it can't
    /// give orders.
    pub(crate) fn is_cut_off_from_engines(&self) -> bool {
        self.is_cut_off_from_engines.load(Ordering::SeqCst)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the load balancer may send new connections to this process.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock();
        let knows_targets = !state.placement.targets().is_empty();
        let knows_weights = self.knows_weights.load(Ordering::SeqCst);
        let knows_rest = knows_weights && self.knows_evidence() && !self.awaits_evacuations();
        state.serving.is_some() && knows_targets && knows_rest && !self.is_draining()
    }

    /// Returns the number of targets that accept new requests, and of those that are draining.
    pub(crate) fn count_targets(&self) -> (u64, u64) {
        let state = self.lock();
        let targets = state.placement.targets();
        let is_leaving = |it: &&TargetView| state.placement.is_leaving(&it.registration);
        let draining = targets.values().filter(is_leaving).count();
        ((targets.len() - draining) as u64, draining as u64)
    }

    /// Returns the number of requests that wait for capacity, and the memory in use at engines in
    /// hundredths of their capacity.
    pub(crate) fn capacity(&self) -> (u64, u64) {
        let state = self.lock();
        (state.waiting.len() as u64, state.placement.memory_percent(self.now()))
    }

    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }
}

/// Counts a client request as in flight until dropped.
pub(crate) struct InFlightGuard(Arc<NodeState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a request as waiting for capacity until dropped.
pub(crate) struct WaitingGuard<'a> {
    node_state: &'a NodeState,
    service: ServiceName,
    rank: u8,
}

impl<'a> WaitingGuard<'a> {
    fn begin(node_state: &'a NodeState, request: &PlacementRequest) -> WaitingGuard<'a> {
        node_state.lock().waiting.begin(&request.service, request.rank);
        WaitingGuard { node_state, service: request.service.clone(), rank: request.rank }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.node_state.lock().waiting.end(&self.service, self.rank);
    }
}

/// Counts a request as in flight at its assigned target until dropped, and then records its
/// outcome.
pub(crate) struct AssignmentGuard {
    node_state: Arc<NodeState>,
    pub(crate) assignment: Assignment,
    /// Model of the prompt; `None` for a call to a plain service.
    model: Option<ModelName>,
    pub(crate) outcome: TargetOutcome,
    sent_at: Duration,
    /// Node time at which the first part of the response arrived.
    first_response_at: Option<Duration>,
}

impl AssignmentGuard {
    /// Returns the node time at which the attempt began.
    pub(crate) fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// Returns the time since the first part of the response arrived, if it has.
    pub(crate) fn since_first_response(&self) -> Option<Duration> {
        self.first_response_at.map(|at| self.node_state.now().saturating_sub(at))
    }

    /// Returns the time since weights newer than those of the attempt became the desired ones, if
    /// there are newer ones.
    pub(crate) fn newer_weights_age(&self) -> Option<Duration> {
        let version = self.assignment.weight_version?;
        let now = self.node_state.now();
        self.node_state.lock().placement.weights.age_of_newer(self.model.as_ref()?, version, now)
    }

    /// Waits until the run must no longer start on its weights, which may never be the case.
    pub(crate) async fn wait_for_expiry(&self) {
        match (&self.model, self.assignment.weight_version) {
            (Some(model), Some(version)) => self.node_state.wait_for_expiry(model, version).await,
            _ => std::future::pending().await,
        }
    }

    /// Records that the first part of the response has arrived.
    pub(crate) fn note_first_response(&mut self) {
        if self.first_response_at.is_none() {
            let now = self.node_state.now();
            self.first_response_at = Some(now);
            let elapsed = now.saturating_sub(self.sent_at);
            let mut state = self.node_state.lock();
            state.placement.note_first_response(&self.assignment, elapsed);
            state.placement.observe_prompt_speed(&self.assignment, elapsed, now);
        }
    }
}

impl Drop for AssignmentGuard {
    fn drop(&mut self) {
        let now = self.node_state.now();
        let elapsed = now.saturating_sub(self.sent_at);
        let mut state = self.node_state.lock();
        if self.first_response_at.is_none() {
            state.placement.end_prefill(&self.assignment);
        }
        state.placement.end(&self.assignment, self.outcome, elapsed, now);
        drop(state);
        self.node_state.note_capacity_changed();
    }
}

/// Returns the node time of a clock.
fn node_time(clock: &dyn Clock) -> Duration {
    NODE_TIME_AT_BOOT + clock.since_boot()
}

impl RoutingState {
    pub(crate) fn serving(&self) -> Option<&Arc<ServingIndex>> {
        self.serving.as_ref()
    }

    /// Returns the longest time that a stream of any route may last.
    pub(crate) fn stream_window(&self) -> Duration {
        self.serving.as_ref().map_or(Duration::MAX, |serving| serving.stream_window())
    }
}
