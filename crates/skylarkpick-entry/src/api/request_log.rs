//! Logs and counts each request, without its body, its own path or its token.

use super::response::ApiResponse;
use skylarkpick_telemetry::{REQUESTS_ANSWER_START, REQUESTS_ANSWERED, metrics};
use tokio::time::Instant;

/// The logged fields of a request.
pub(super) struct RequestLog {
    pub(super) request_id: String,
    /// Client account, once authenticated; empty before.
    pub(super) account: String,
    /// Path of the matching route; `none` before a route is found.
    pub(super) path: &'static str,
    started_at: Instant,
}

impl RequestLog {
    pub(super) fn begin(request_id: String) -> RequestLog {
        RequestLog { request_id, account: String::new(), path: "none", started_at: Instant::now() }
    }

    /// Logs the request and counts it when its response starts.
    pub(super) fn end(&self, response: &ApiResponse) {
        let (status, path) = (response.status(), self.path);
        let elapsed = self.started_at.elapsed();
        let time_ms = elapsed.as_secs_f64() * 1_000.0;
        let tags = [("path", path), ("status", status.as_str())];
        metrics().count(&REQUESTS_ANSWERED, &tags);
        metrics().time(&REQUESTS_ANSWER_START, elapsed, &tags[..1]);
        if path == "/live" || path == "/ready" {
            return;
        }
        spdlog::info!("request answered", kv: {
            request_id = self.request_id.as_str(),
            account = self.account.as_str(),
            path,
            status = status.as_u16(),
            time_ms,
        });
    }
}
