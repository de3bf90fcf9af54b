//! Keeps to what targets and stores ask for: pauses, and no requests once they leave.

use crate::{forwarding::milliseconds, log::request_log, node_state::NodeState};
use async_trait::async_trait;
use skylarkpick_interface::{
    CacheEpoch, CacheScope, ControlError, EngineLoad, LimitSignal, OrderOutcome, OrderState,
    PartChanges, PartId, SignalObserver, TargetControl, TargetSignals, WeightOrder,
};
use skylarkpick_schedule::Assignment;
use std::{net::SocketAddr, sync::Arc, time::Duration};

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
        if signals.is_leaving && self.lock().placement.note_leaving(assignment) {
            request_log!("target says that it leaves", kv: { target, request });
        }
        if let LimitSignal::Named(limit) = signals.limit {
            request_log!("target limits its requests", kv: {
                target, request, requests_per_second = limit.requests_per_second(),
            });
        }
        if let Some(header) = &signals.unreadable {
            request_log!("header of a target is unreadable", kv: {
                target, request, header = header.as_str(),
            });
        }
    }

    /// Returns the rest of the pause that whoever has an address asked for.
    pub(crate) fn pause_rest(&self, address: &SocketAddr) -> Option<Duration> {
        self.lock().placement.pause_rest(address, self.now())
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
        let is_new = |address| self.lock().placement.note_leaving_at(address);
        if let Some(target) = signals.is_leaving.then_some(address).and_then(is_new) {
            request_log!("target says that it leaves, in its response to a call", kv: {
                target = target.as_str(),
            });
        }
        if let Some(header) = &signals.unreadable {
            request_log!("header of a target is unreadable", kv: {
                address:, header = header.as_str(),
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
