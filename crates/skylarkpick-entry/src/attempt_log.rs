//! Logs each attempt and counts it in the metrics. Error texts of runners are left out, because
//! they may quote the prompt.

use crate::request::CompletionRequest;
use skylarkpick_interface::AttemptId;
use skylarkpick_telemetry::{ATTEMPTS_ENDED, metrics};

/// Logs and counts the end of an attempt.
pub(crate) fn record_attempt_end(
    request: &CompletionRequest,
    attempt: AttemptId,
    runner: &str,
    end: &'static str,
) {
    metrics().count(&ATTEMPTS_ENDED, &[("end", end)]);
    spdlog::info!("attempt ended", kv: {
        request_id = request.request_id.as_str(),
        account = request.account.as_str(),
        attempt,
        runner,
        end,
    });
}
