//! Notes each request in the log and the metrics: never its body, path or token.

use super::response::Answer;
use skylarkpick_telemetry::{REQUESTS_ANSWER_START, REQUESTS_ANSWERED, metrics};
use tokio::time::Instant;

/// What is noted of a request.
pub(super) struct RequestLog {
    pub(super) request_id: String,
    /// Client account, once it is known.
    pub(super) account: String,
    /// Path in the route table, once it is found.
    pub(super) path: &'static str,
    begun_at: Instant,
}

impl RequestLog {
    pub(super) fn begin(request_id: String) -> RequestLog {
        RequestLog { request_id, account: String::new(), path: "none", begun_at: Instant::now() }
    }

    /// Notes that the answer begins.
    pub(super) fn end(&self, answer: &Answer) {
        let (status, path) = (answer.status(), self.path);
        let time = self.begun_at.elapsed();
        let time_ms = time.as_secs_f64() * 1_000.0;
        let tags = [("path", path), ("status", status.as_str())];
        metrics().count(&REQUESTS_ANSWERED, &tags);
        metrics().time(&REQUESTS_ANSWER_START, time, &tags[..1]);
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
