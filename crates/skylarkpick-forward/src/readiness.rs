//! Tells the balancer whether the process takes new connections, and shows its metrics.

use crate::desk::Desk;
use async_trait::async_trait;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use skylarkpick_http::{Handler, ResponseBody, empty_response};
use std::sync::Arc;

/// Answers the balancer's question whether the process takes new connections.
pub(crate) struct Readiness {
    pub(crate) desk: Arc<Desk>,
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, _: Request<Incoming>) -> Response<ResponseBody> {
        let is_ready = self.desk.is_ready();
        empty_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}
