//! Notes each attempt in the log and the metrics. What runners say is left out: it may quote the
//! prompt.

use crate::request::CompletionRequest;
use skylarkpick_interface::AttemptId;
use skylarkpick_telemetry::{ATTEMPTS_ENDED, metrics};

/// Notes how an attempt ended.
pub(crate) fn note_attempt(
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
