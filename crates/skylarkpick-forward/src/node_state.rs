//! What the requests of a process share: the serving document, placement, and budgets.

use crate::serving_index::ServingIndex;
use skylarkpick_interface::{Clock, NodeLimits, ReportedLoad, ServiceName, WeightVersion};
use skylarkpick_schedule::{
    Assignment, Placement, PlacementDecision, PlacementPrompt, PlacementRequest, TargetOutcome,
    WindowRetryBudget,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Part of the time for which replaced weights may be used that is left unused, for messages and
/// queues on the way.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// Entry processes that share the retries allowed besides, until more are known.
const ENTRIES_FLOOR: u32 = 8;

/// What the requests of a process share.
pub(crate) struct NodeState {
    state: Mutex<RoutingState>,
    clock: Arc<dyn Clock>,
    bounds: NodeLimits,
    /// Wakes the tasks that follow caches when the set of caches may have changed.
    pub(crate) caches_changed: Notify,
    /// Wakes the planner when weights or targets changed.
    pub(crate) weights_changed: Notify,
    draining: AtomicBool,
    in_flight: AtomicU64,
}

/// State behind the lock; never held across an await.
pub(crate) struct RoutingState {
    serving: Option<Arc<ServingIndex>>,
    pub(crate) placement: Placement,
    budgets: BTreeMap<ServiceName, WindowRetryBudget>,
    entries: u32,
}

impl NodeState {
    pub(crate) fn open(clock: Arc<dyn Clock>, bounds: NodeLimits) -> Arc<NodeState> {
        let usable_for = bounds.weights.saturating_sub(OLD_WEIGHTS_MARGIN);
        Arc::new(NodeState {
            state: Mutex::new(RoutingState {
                serving: None,
                placement: Placement::open(usable_for),
                budgets: BTreeMap::new(),
                entries: ENTRIES_FLOOR,
            }),
            clock,
            bounds,
            caches_changed: Notify::new(),
            weights_changed: Notify::new(),
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since boot, which goes on while the VM is suspended.
    pub(crate) fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    pub(crate) fn bounds(&self) -> &NodeLimits {
        &self.bounds
    }

    pub(crate) fn serving(&self) -> Option<Arc<ServingIndex>> {
        self.lock().serving.clone()
    }

    /// Takes a serving document over if it is newer; gives whether it did.
    pub(crate) fn install(&self, serving: ServingIndex) -> bool {
        let mut state = self.lock();
        if state.serving.as_ref().is_some_and(|known| known.version() >= serving.version()) {
            return false;
        }
        state.placement.set_services(&serving.document.services);
        state.serving = Some(Arc::new(serving));
        drop(state);
        self.caches_changed.notify_waiters();
        true
    }

    /// Sets the number of entry processes that share the retries allowed besides.
    pub(crate) fn set_entries(&self, count: usize) {
        self.lock().entries = u32::try_from(count).unwrap_or(u32::MAX).max(ENTRIES_FLOOR);
    }

    pub(crate) fn choose(&self, ask: &PlacementRequest) -> PlacementDecision {
        self.lock().placement.choose(ask, self.now())
    }

    /// Counts a request as under way at its place until the guard goes.
    pub(crate) fn begin(
        self: &Arc<Self>,
        place: Assignment,
        prompt: Option<&PlacementPrompt>,
    ) -> AssignmentGuard {
        self.lock().placement.begin(&place, prompt, self.now());
        AssignmentGuard {
            node_state: self.clone(),
            place,
            outcome: TargetOutcome::Unknown,
            is_first_answer_noted: false,
        }
    }

    pub(crate) fn observe_load(&self, target: &str, load: ReportedLoad) {
        self.lock().placement.observe_load(target, load, self.now());
    }

    pub(crate) fn observe_weights(&self, target: &str, model: &str, version: WeightVersion) {
        self.lock().placement.observe_weights(target, model, version);
    }

    /// Notes that a target was ordered to swap its weights.
    pub(crate) fn note_swapping(&self, target: &str, model: &str, version: WeightVersion) {
        let now = self.now();
        self.lock().placement.note_swapping(target, model, version, now);
    }

    pub(crate) fn note_first_attempt(&self, service: &str) {
        let now = self.now();
        let mut state = self.lock();
        self.budget(&mut state, service).note_first_attempt(now);
    }

    /// Takes one retry out of the budget of a service; gives whether it may be made.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let extra = self.bounds.retry_extra / state.entries;
        self.budget(&mut state, service).take(extra, now)
    }

    fn budget<'a>(&self, state: &'a mut RoutingState, service: &str) -> &'a mut WindowRetryBudget {
        let (window, percent) = (self.bounds.retry_window, self.bounds.retry_percent);
        state
            .budgets
            .entry(service.to_string())
            .or_insert_with(|| WindowRetryBudget::open(window, percent))
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether the process should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.lock();
        let knows_targets = !state.placement.targets().is_empty();
        state.serving.is_some() && knows_targets && !self.is_draining()
    }

    /// Targets that may get new requests, and those that leave.
    pub(crate) fn count_targets(&self) -> (u64, u64) {
        let state = self.lock();
        let targets = state.placement.targets();
        let leaving = targets.values().filter(|it| it.registration.is_draining).count();
        ((targets.len() - leaving) as u64, leaving as u64)
    }

    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }
}

/// Counts a request of a client as under way until dropped.
pub(crate) struct InFlightGuard(Arc<NodeState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a request as under way at a target until dropped.
pub(crate) struct AssignmentGuard {
    node_state: Arc<NodeState>,
    pub(crate) place: Assignment,
    pub(crate) outcome: TargetOutcome,
    is_first_answer_noted: bool,
}

impl AssignmentGuard {
    /// Notes that the request has its first answer.
    pub(crate) fn note_first_response(&mut self) {
        if !std::mem::replace(&mut self.is_first_answer_noted, true) {
            self.node_state.lock().placement.note_first_response(&self.place);
        }
    }
}

impl Drop for AssignmentGuard {
    fn drop(&mut self) {
        self.note_first_response();
        let now = self.node_state.now();
        self.node_state.lock().placement.end(&self.place, self.outcome, now);
    }
}

impl RoutingState {
    pub(crate) fn serving(&self) -> Option<&Arc<ServingIndex>> {
        self.serving.as_ref()
    }
}
