//! HTTP handlers for the load balancer's readiness checks and for metrics.

use crate::{forwarding::BodyBudget, node_state::NodeState};
use async_trait::async_trait;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{Handler, ResponseBody, empty_response, full_body};
use skylarkpick_telemetry::{
    BODIES_HELD_BYTES, BRITTLE_TARGETS, CONFIGURATION_VERSION, CONFIGURATION_VERSION_KNOWN,
    DATA_CENTRES_EVACUATED, ENGINES_MEMORY_PERCENT, Exposition, PARTS_BLAMED, READY,
    REQUESTS_BLAMED, REQUESTS_UNDER_WAY, REQUESTS_WAITING, RUNNERS_LEAVING, RUNNERS_SERVING,
    TARGETS_COLD, metrics,
};
use std::sync::Arc;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Handles readiness checks: 200 while the process accepts new connections, else 503.
pub(crate) struct ReadinessHandler {
    pub(crate) node_state: Arc<NodeState>,
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<ResponseBody> {
        let is_ready = self.node_state.is_ready();
        empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

/// Serves the metrics of the process.
pub(crate) struct MetricsHandler {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) bodies: BodyBudget,
    pub(crate) exposition: Exposition,
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() != METRICS_PATH {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let metrics = metrics();
        metrics.set(&REQUESTS_UNDER_WAY, self.node_state.requests_in_flight(), &[]);
        let (waiting, memory_percent) = self.node_state.capacity();
        metrics.set(&REQUESTS_WAITING, waiting, &[]);
        metrics.set(&ENGINES_MEMORY_PERCENT, memory_percent, &[]);
        metrics.set(&READY, u64::from(self.node_state.is_ready()), &[]);
        let version = self.node_state.serving().map_or(0, |serving| serving.version());
        metrics.set(&CONFIGURATION_VERSION, version, &[]);
        metrics.set(&CONFIGURATION_VERSION_KNOWN, self.node_state.newest_version.get(), &[]);
        let (serving, leaving) = self.node_state.count_targets();
        metrics.set(&RUNNERS_SERVING, serving, &[]);
        metrics.set(&RUNNERS_LEAVING, leaving, &[]);
        let (parts, requests) = self.node_state.count_blamed();
        metrics.set(&PARTS_BLAMED, parts, &[]);
        metrics.set(&REQUESTS_BLAMED, requests, &[]);
        self.node_state.set_speed_metric();
        metrics.set(&BRITTLE_TARGETS, self.node_state.count_brittle(), &[]);
        metrics.set(&TARGETS_COLD, self.node_state.count_cold(), &[]);
        if self.node_state.uses_evacuations() {
            metrics.set(&DATA_CENTRES_EVACUATED, self.node_state.count_evacuated(), &[]);
        }
        let bodies = self.bodies.use_bytes();
        metrics.set(&BODIES_HELD_BYTES, bodies.arriving_bytes as u64, &[("kind", "arriving")]);
        metrics.set(&BODIES_HELD_BYTES, bodies.kept_bytes as u64, &[("kind", "kept")]);
        Response::new(full_body(self.exposition.text()))
    }
}
