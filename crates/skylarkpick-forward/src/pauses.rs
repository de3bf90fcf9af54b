//! Keeps to what targets and stores ask for: pauses, limits, and no requests once they leave.

use crate::{
    fleet::FleetWatcher,
    forwarding::milliseconds,
    jitter::with_jitter,
    log::request_log,
    node_state::NodeState,
    peers::{BrittleNotice, LimitNotice, Notice},
};
use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEpoch, CacheScope, ControlError, EngineLoad, LimitSignal, OrderOutcome, OrderState,
    PartChanges, PartId, ResponseMetadata, SignalObserver, TargetControl, TargetSignals,
    UnreadableHeader, WeightOrder,
};
use skylarkpick_schedule::{Assignment, LimitChange};
use skylarkpick_telemetry::{SIGNALS_UNREADABLE, metrics};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Time in which changed limits are collected before other processes are told.
const LIMIT_COLLECTION_TIME: Duration = Duration::from_millis(20);
/// Mean interval between checks whether others are to be told again that targets are brittle. Half of
/// the time after which they are, at most.
const REPEAT_CHECK_INTERVAL: Duration = Duration::from_millis(333);
/// Pause between two notices of limits: a target may name another one in each answer.
const LIMIT_NOTICE_PAUSE: Duration = Duration::from_millis(500);

impl NodeState {
    /// Applies the signals in a response to a request.
    pub(crate) fn note_signals(
        &self,
        assignment: &Assignment,
        request: &str,
        signals: &TargetSignals,
    ) {
        let target = assignment.target.as_str();
        if let Some(pause) = signals.pause {
            let kept = self.lock().placement.note_pause(assignment, pause, self.now());
            request_log!("target asks for a pause", kv: {
                target, request, asked_ms = milliseconds(pause), kept_ms = milliseconds(kept),
            });
        }
        let now = self.now();
        if signals.is_leaving && self.lock().placement.note_leaving(assignment, now) {
            request_log!("target says that it leaves", kv: { target, request });
        }
        if let LimitSignal::Named(limit) = signals.limit {
            let change = self.lock().placement.note_limit(assignment, limit, now);
            self.note_limit_change(target, assignment.started_at_ms, change, "its response");
        }
        if let Some(signal) = signals.brittle {
            self.note_brittle(assignment, signal);
        }
        for UnreadableHeader { name, value } in self.unreadable_to_log(assignment.address, signals)
        {
            request_log!("header of a target is unreadable", kv: {
                target, request, header = name.as_str(), value = value.as_str(),
            });
        }
    }

    /// Applies what a target says of itself in the head of a response that came through another process,
    /// to which this one handed a request over at `handed_over_ms` (Unix time in milliseconds). A pause
    /// was asked of the other process. A response that doesn't name its target says nothing here.
    pub(crate) fn note_signals_through_helper(
        &self,
        request: &str,
        metadata: &ResponseMetadata,
        handed_over_ms: u64,
    ) {
        let Some(target) = metadata.target.as_deref() else { return };
        let now = self.now();
        let mut state = self.lock();
        let Some(address) = state.placement.address_of(target, handed_over_ms) else { return };
        let signals = &metadata.signals;
        let is_new_leaving =
            signals.is_leaving && state.placement.note_leaving_at(address, now).is_some();
        let limit_change = match signals.limit {
            LimitSignal::Named(limit) => state.placement.note_limit_at(address, limit, now),
            LimitSignal::None | LimitSignal::Unreadable => LimitChange::None,
        };
        drop(state);
        if is_new_leaving {
            request_log!("target says that it leaves, in a response through another process", kv: {
                target, request,
            });
        }
        log_limit_change(target, limit_change, "its response through another process");
        if let Some(signal) = signals.brittle {
            self.note_brittle_at(address, signal, "its response through another process");
        }
    }

    /// Counts the headers that can't be decoded, and returns those that are to be logged: a target may
    /// send one with every answer.
    fn unreadable_to_log<'a>(
        &self,
        address: SocketAddr,
        signals: &'a TargetSignals,
    ) -> Vec<&'a UnreadableHeader> {
        let now = self.now();
        let is_due = |header: &&UnreadableHeader| {
            metrics().count(&SIGNALS_UNREADABLE, &[("header", &header.name)]);
            self.unreadable_headers.is_due((address, header.name.clone()), now)
        };
        signals.unreadable.iter().filter(is_due).collect()
    }

    /// Records that a target named no limit in its response to a request that was sent at `sent_at`.
    pub(crate) fn note_no_limit(&self, assignment: &Assignment, sent_at: Duration) {
        let change = self.lock().placement.note_no_limit(assignment, sent_at);
        let Assignment { target, started_at_ms, .. } = assignment;
        self.note_limit_change(target, *started_at_ms, change, "its response");
    }

    /// Applies what another process says of a limit.
    pub(crate) fn merge_limit(&self, notice: &LimitNotice) {
        let now = self.now();
        let LimitNotice { target, started_at_ms, limit } = notice;
        let change = self.lock().placement.merge_limit(target, *started_at_ms, *limit, now);
        log_limit_change(target, change, "another entry process");
    }

    /// Takes a request to the target of an assignment from the share in its limit. Returns whether it
    /// may be written.
    pub(crate) fn take_share(&self, assignment: &Assignment) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let is_taken = state.placement.take_share(assignment, now).is_ok();
        state.count_cold_share(assignment, is_taken, now);
        is_taken
    }

    /// Logs a change, and has other processes told.
    fn note_limit_change(
        &self,
        target: &str,
        started_at_ms: u64,
        change: LimitChange,
        from: &'static str,
    ) {
        log_limit_change(target, change, from);
        let limit = match change {
            LimitChange::None => return,
            LimitChange::Kept(limit) => Some(limit),
            LimitChange::Ended => None,
        };
        let notice = LimitNotice { target: target.to_string(), started_at_ms, limit };
        self.lock().untold_limits.insert(target.to_string(), notice);
        self.limits_changed.notify_one();
    }

    /// Takes what other processes are to be told now, if there is anything.
    fn take_untold(&self) -> Option<Notice> {
        let uses = self.take_brittle_uses();
        let now = self.now();
        let mut state = self.lock();
        let limits: Vec<_> = std::mem::take(&mut state.untold_limits).into_values().collect();
        let mut brittle = std::mem::take(&mut state.untold_brittle);
        for (target, started_at_ms) in state.placement.take_brittle_to_tell(now) {
            let notice = BrittleNotice { target: target.clone(), started_at_ms, is_brittle: true };
            brittle.insert(target, notice);
        }
        let ended = state.take_untold_ends();
        let is_quiet =
            limits.is_empty() && brittle.is_empty() && uses.is_empty() && ended.is_empty();
        let brittle = brittle.into_values().collect();
        (!is_quiet).then_some(Notice::Limits { limits, brittle, uses, ended })
    }

    /// Returns the rest of the pause that whoever has an address asked for.
    pub(crate) fn pause_rest(&self, address: &SocketAddr) -> Option<Duration> {
        self.lock().placement.pause_rest(address, self.now())
    }
}

fn log_limit_change(target: &str, change: LimitChange, from: &'static str) {
    match change {
        LimitChange::None => {}
        LimitChange::Kept(limit) => request_log!("target limits its requests", kv: {
            target, requests_per_second = limit.requests_per_second(), from,
        }),
        LimitChange::Ended => {
            request_log!("target no longer limits its requests", kv: { target, from });
        }
    }
}

/// Tells other processes the limits that targets name or no longer name, and which targets are brittle,
/// for as long as the task runs. Shares in limits don't depend on it, but they learn of a limit before
/// their first request, and of its end although they may not send any. Brittle targets are told again
/// while they say so.
pub(crate) async fn send_limits(node_state: Arc<NodeState>, watcher: Arc<FleetWatcher>) {
    loop {
        let changed = node_state.limits_changed.notified();
        if timeout(with_jitter(REPEAT_CHECK_INTERVAL), changed).await.is_ok() {
            tokio::time::sleep(LIMIT_COLLECTION_TIME).await;
        }
        node_state.log_silent_ends();
        node_state.log_cold_changes();
        node_state.log_speed_changes();
        if let Some(notice) = node_state.take_untold() {
            watcher.peer_client.broadcast(&watcher.records, &notice);
            // A target that turned a request away can't wait. Each makes this process pause there.
            let rejected = node_state.brittle_rejected.notified();
            let _ = timeout(LIMIT_NOTICE_PAUSE, rejected).await;
        }
    }
}

impl SignalObserver for NodeState {
    fn observe_signals(&self, address: SocketAddr, signals: &TargetSignals) {
        if let Some(pause) = signals.pause {
            let kept = self.lock().placement.note_pause_at(address, pause, self.now());
            request_log!("target asks for a pause in its response to a call", kv: {
                address:, asked_ms = milliseconds(pause), kept_ms = milliseconds(kept),
            });
        }
        let now = self.now();
        if let LimitSignal::Named(limit) = signals.limit {
            // Only responses to requests say that a limit has ended, and tell others of it.
            let change = self.lock().placement.note_limit_at(address, limit, now);
            log_limit_change(&address.to_string(), change, "its response to a call");
        }
        if let Some(signal) = signals.brittle {
            self.note_brittle_at(address, signal, "its response to a call");
        }
        if let Some(remaining) = signals.cold_remaining {
            self.note_cold_report_at(address, remaining);
        }
        let is_new = |address| self.lock().placement.note_leaving_at(address, now);
        if let Some(target) = signals.is_leaving.then_some(address).and_then(is_new) {
            request_log!("target says that it leaves, in its response to a call", kv: {
                target = target.as_str(),
            });
        }
        for UnreadableHeader { name, value } in self.unreadable_to_log(address, signals) {
            request_log!("header of a target is unreadable", kv: {
                address:, header = name.as_str(), value = value.as_str(),
            });
        }
    }
}

/// Makes no control call to a target or store that has asked for a pause.
pub(crate) struct PausingControl {
    control: Arc<dyn TargetControl>,
    node_state: Arc<NodeState>,
}

impl PausingControl {
    /// Wraps a client, whose responses then also begin pauses.
    pub(crate) fn open(
        control: Arc<dyn TargetControl>,
        node_state: Arc<NodeState>,
    ) -> Arc<PausingControl> {
        control.set_signal_observer(node_state.clone());
        Arc::new(PausingControl { control, node_state })
    }

    fn check(&self, address: &SocketAddr) -> Result<(), ControlError> {
        self.node_state.pause_rest(address).map_or(Ok(()), |rest| Err(ControlError::Paused(rest)))
    }

    /// Makes a call unless its receiver pauses. A call that is turned away with a pause fails for it.
    async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl Future<Output = Result<T, ControlError>> + Send,
    ) -> Result<T, ControlError> {
        self.check(&address)?;
        let result = call.await;
        if result.is_err() {
            self.check(&address)?;
        }
        result
    }
}

#[async_trait]
impl TargetControl for PausingControl {
    async fn order_state(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<OrderState, ControlError> {
        self.call(address, self.control.order_state(address, timeout)).await
    }

    async fn engine_load(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineLoad, ControlError> {
        self.call(address, self.control.engine_load(address, timeout)).await
    }

    async fn order(
        &self,
        order: &WeightOrder,
        timeout: Duration,
    ) -> Result<OrderOutcome, ControlError> {
        self.call(order.address, self.control.order(order, timeout)).await
    }

    async fn part_changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> Result<PartChanges, ControlError> {
        self.call(address, self.control.part_changes(address, since, wait)).await
    }

    async fn part_listing(&self, address: SocketAddr) -> Result<PartChanges, ControlError> {
        self.call(address, self.control.part_listing(address)).await
    }

    async fn free_parts(
        &self,
        address: SocketAddr,
        epoch: CacheEpoch,
        parts: &[(CacheScope, PartId)],
    ) -> Result<bool, ControlError> {
        self.call(address, self.control.free_parts(address, epoch, parts)).await
    }
}
