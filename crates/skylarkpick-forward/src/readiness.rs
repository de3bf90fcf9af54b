//! HTTP handlers for the load balancer's readiness checks and for metrics.

use crate::desk::Desk;
use async_trait::async_trait;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{Handler, ResponseBody, empty_response, full_body};
use skylarkpick_telemetry::{
    CONFIGURATION_VERSION, Exposition, READY, REQUESTS_UNDER_WAY, RUNNERS_LEAVING, RUNNERS_SERVING,
    metrics,
};
use std::sync::Arc;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Handles readiness checks: 200 while the process accepts new connections, else 503.
pub(crate) struct ReadinessHandler {
    pub(crate) desk: Arc<Desk>,
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<ResponseBody> {
        let is_ready = self.desk.is_ready();
        empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}

/// Serves the metrics of the process.
pub(crate) struct MetricsHandler {
    pub(crate) desk: Arc<Desk>,
    pub(crate) exposition: Exposition,
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() != METRICS_PATH {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let metrics = metrics();
        metrics.set(&REQUESTS_UNDER_WAY, self.desk.requests_under_way(), &[]);
        metrics.set(&READY, u64::from(self.desk.is_ready()), &[]);
        let version = self.desk.serving().map_or(0, |serving| serving.version());
        metrics.set(&CONFIGURATION_VERSION, version, &[]);
        let (serving, leaving) = self.desk.count_targets();
        metrics.set(&RUNNERS_SERVING, serving, &[]);
        metrics.set(&RUNNERS_LEAVING, leaving, &[]);
        Response::new(full_body(self.exposition.text()))
    }
}
