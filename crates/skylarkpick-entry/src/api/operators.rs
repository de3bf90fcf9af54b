//! Operator endpoints: configuration and state.

use super::{json::read_json, response::ApiResponse};
use crate::{
    entry::Entry,
    failure::{Failure, FailureCode},
};
use http::{Method, StatusCode};
use serde_json::json;
use skylarkpick_config::{ConfigurationRecord, Patch, PatchError, PatchOutcome};
use skylarkpick_http::json_response;
use skylarkpick_telemetry::{PATCHES_ENDED, metrics};
use std::time::Duration;

/// Retry delay that the operator is given while the platform is unavailable.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Handles an operator's request.
pub(super) async fn handle(
    entry: &Entry,
    account: &str,
    method: &Method,
    path: &str,
    content: &[u8],
) -> Result<ApiResponse, Failure> {
    match (method, path) {
        (&Method::GET, "/v1/configuration") => {
            let record = read(entry).await?;
            let body = json!({
                "version": record.version,
                "configuration": record.configuration,
            });
            Ok(json_response(StatusCode::OK, &body))
        }
        (&Method::PATCH, "/v1/configuration") => patch(entry, account, content).await,
        (&Method::GET, "/v1/configuration/history") => {
            Ok(json_response(StatusCode::OK, &read(entry).await?.history))
        }
        (&Method::GET, "/v1/configuration/status") => {
            Ok(json_response(StatusCode::OK, &entry.configuration_status().await))
        }
        (&Method::GET, "/state") => Ok(json_response(StatusCode::OK, &entry.state().await)),
        _ => Err(Failure::not_run(FailureCode::NotFound, "no such path")),
    }
}

/// Logs and counts a patch, without its content.
fn log_patch(patch: &Patch, account: &str, outcome: &PatchOutcome) {
    let name = match outcome {
        PatchOutcome::Accepted(_) => "accepted",
        PatchOutcome::Refused(_) => "refused",
        PatchOutcome::NotSent(_) => "not_sent",
        PatchOutcome::Unknown(_) => "unknown",
    };
    metrics().count(&PATCHES_ENDED, &[("outcome", name)]);
    spdlog::info!("patch ended", kv: {
        account,
        patch_id = patch.patch_id.as_str(),
        base_version = patch.base_version,
        outcome = name,
    });
}

async fn read(entry: &Entry) -> Result<ConfigurationRecord, Failure> {
    entry.read_configuration().await.map_err(|error| {
        Failure::not_run(FailureCode::PlatformAway, error.to_string())
            .retry_after(PLATFORM_RETRY_DELAY)
    })
}

async fn patch(entry: &Entry, account: &str, content: &[u8]) -> Result<ApiResponse, Failure> {
    let patch: Patch = read_json(content)?;
    let outcome = entry.patch(&patch, account).await;
    log_patch(&patch, account, &outcome);
    match outcome {
        PatchOutcome::Accepted(version) => {
            let body = json!({"patch_id": patch.patch_id, "version": version});
            Ok(json_response(StatusCode::OK, &body))
        }
        PatchOutcome::Refused(refusal) => {
            let code = match refusal {
                PatchError::VersionConflict { .. } => FailureCode::Conflict,
                PatchError::Invalid(_) => FailureCode::BadRequest,
            };
            Err(Failure::not_run(code, refusal.to_string()))
        }
        PatchOutcome::NotSent(cause) => {
            Err(Failure::not_run(FailureCode::PlatformAway, cause)
                .retry_after(PLATFORM_RETRY_DELAY))
        }
        PatchOutcome::Unknown(cause) => {
            let message = format!("{cause}; retry with the same `patch_id`");
            Err(Failure::unknown(FailureCode::PlatformAway, message)
                .retry_after(PLATFORM_RETRY_DELAY))
        }
    }
}
