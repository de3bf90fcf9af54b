//! The steps of the demo and the checks at its end.

use super::{
    callers::{CallerLog, Callers},
    completions::CompletionOutcome,
    fleet::{Fleet, MODEL, serves_weights, token},
    report::Report,
};
use crate::console::Console;
use anyhow::{Context, bail};
use serde_json::{Value, json};
use skylarkpick_http::HttpClient;
use skylarkpick_standin::FakeRunner;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Maximum time for the response to a patch.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time until an accepted patch is active on every entry process.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time until every runner serves new weights.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum number of concurrent weight loads in the serving configuration.
const CONCURRENT_LOADS_LIMIT: u32 = 2;
/// Maximum time until entry processes stop sending runs to a runner that shuts down.
const RUNNER_DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Runs the demo for about `seconds` and returns its report.
pub(crate) async fn run(seconds: u64, console: &mut Console) -> anyhow::Result<Report> {
    console.print_message("starting stand-ins and four entry processes in two data centres");
    let mut fleet = Fleet::spawn().await?;
    let addresses: Vec<String> =
        fleet.api_servers.iter().map(|server| server.address().to_string()).collect();
    let (address_sender, address_receiver) = watch::channel(addresses.clone());
    let callers = Callers::spawn(&address_receiver);
    let step = Duration::from_millis(seconds * 1_000 / 6);
    let mut violations = Vec::new();

    tokio::time::sleep(step).await;
    console.print_message("an operator patches the serving configuration");
    let change = json!({"serving": {"ordinary": {"recompute_weight": 0.5}}});
    patch(&addresses[0], "demo-weights", 1, &change).await?;
    check_activation(&fleet, 2, &mut violations).await;

    tokio::time::sleep(step).await;
    console.print_message(
        "a patch sets a new weight version; the planners roll it out to the runners",
    );
    let change =
        json!({"models": {MODEL: {"weight_version": 2, "also_served_weight_versions": [1]}}});
    patch(&addresses[1], "demo-swap", 2, &change).await?;
    check_activation(&fleet, 3, &mut violations).await;
    wait_for_rollout(&fleet, 2).await?;

    console.print_message("a runner shuts down");
    let (leaving_runner, leaving_since) = shut_down_runner(&fleet)?;

    tokio::time::sleep(step).await;
    console.print_message("one entry process shuts down gracefully");
    address_sender.send_replace(addresses[..3].to_vec());
    let api_server = fleet.api_servers.pop().context("no entry process to shut down")?;
    fleet.entries.pop();
    if !api_server.shutdown().await {
        violations.push("a graceful shutdown aborted a request".to_string());
    }

    tokio::time::sleep(step).await;
    console.print_message("stopping the callers");
    let log = callers.stop().await;
    let mut report = build_report(&fleet, &log, violations);
    check_no_late_runs(&fleet, &leaving_runner, leaving_since, &mut report.violations);
    Ok(report)
}

/// Sends a configuration patch as the operator.
async fn patch(address: &str, id: &str, base: u64, change: &Value) -> anyhow::Result<()> {
    let body = json!({"patch_id": id, "base_version": base, "change": change});
    let request = http::Request::builder()
        .method("PATCH")
        .uri(format!("http://{address}/v1/configuration"))
        .header("authorization", format!("Bearer {}", token("operator")))
        .body(http_body_util::Full::new(bytes::Bytes::from(body.to_string())))?;
    let response = HttpClient::open().send_buffered(request, OPERATOR_TIMEOUT).await?;
    if !response.status().is_success() {
        bail!("the patch was rejected: {}", String::from_utf8_lossy(response.body()));
    }
    Ok(())
}

/// Waits until the version is active on every entry process; records a violation on timeout.
async fn check_activation(fleet: &Fleet, version: u64, violations: &mut Vec<String>) {
    let active_everywhere = async {
        while fleet.entries.iter().any(|entry| entry.active_configuration().version < version) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    if tokio::time::timeout(ACTIVATION_TIMEOUT, active_everywhere).await.is_err() {
        violations.push(format!(
            "version {version} was not active on every entry process within {} s",
            ACTIVATION_TIMEOUT.as_secs()
        ));
    }
}

/// Waits until every runner serves the weight version.
async fn wait_for_rollout(fleet: &Fleet, weight_version: u64) -> anyhow::Result<()> {
    let rolled_out = async {
        for runner in fleet.runners.values() {
            while !serves_weights(runner, weight_version).await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    let in_time = tokio::time::timeout(ROLLOUT_TIMEOUT, rolled_out).await;
    in_time.context("the runners did not load the new weights in time")
}

/// Starts the shutdown of a runner; returns its name and the time.
fn shut_down_runner(fleet: &Fleet) -> anyhow::Result<(String, Instant)> {
    let (name, runner) = fleet.runners.iter().next().context("no runner")?;
    runner.leave();
    fleet.platform.set_vm(name, skylarkpick_interface::VmState::Leaving);
    Ok((name.clone(), Instant::now()))
}

/// Records a violation if the runner started a run later than [`RUNNER_DRAIN_LIMIT`] after it began
/// to shut down.
fn check_no_late_runs(
    fleet: &Fleet,
    name: &str,
    leaving_since: Instant,
    violations: &mut Vec<String>,
) {
    let runs = fleet.runners.get(name).map(FakeRunner::ledger).unwrap_or_default();
    if runs.iter().any(|record| record.started_at > leaving_since + RUNNER_DRAIN_LIMIT) {
        violations.push(format!("{name} received a new run long after it began to shut down"));
    }
}

/// Builds the report from what the targets ran and the callers received. The state that the entry
/// processes report is used only for the active configuration versions.
fn build_report(fleet: &Fleet, log: &CallerLog, mut violations: Vec<String>) -> Report {
    let mut report = Report { entries: fleet.entries.len(), ..Report::default() };
    let mut first_tokens_us = Vec::new();
    for outcome in &log.completions {
        match outcome {
            CompletionOutcome::Complete { first_token, .. } => {
                report.complete += 1;
                first_tokens_us.push(u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX));
            }
            CompletionOutcome::NotRun(reason) => {
                report.not_run += 1;
                report.reasons.insert(reason.clone());
            }
            CompletionOutcome::Unknown(reason) => {
                report.unknown += 1;
                report.reasons.insert(reason.clone());
            }
            CompletionOutcome::Invalid(detail) => violations.push(detail.clone()),
        }
    }
    report.set_first_tokens(&first_tokens_us);
    report.recomputed_share = recomputed_share(log);
    report.link_bytes = fleet.stores.iter().map(|store| store.link_carried_bytes()).sum();
    report.peak_concurrent_loads = fleet.weight_store.peak_concurrent_loads();
    count_bookings(fleet, log, &mut report);
    count_active_versions(fleet, &mut report);
    if report.complete == 0 {
        violations.push("no request received a complete response".to_string());
    }
    if report.duplicated > 0 {
        violations.push(format!("{} bookings ran more than once", report.duplicated));
    }
    if report.lost > 0 {
        violations.push(format!("{} confirmed bookings never ran", report.lost));
    }
    if report.peak_concurrent_loads > CONCURRENT_LOADS_LIMIT {
        violations.push(format!("{} weight loads ran concurrently", report.peak_concurrent_loads));
    }
    if report.active_on < report.entries {
        violations
            .push("the newest configuration is not active on every entry process".to_string());
    }
    report.violations = violations;
    report
}

/// Returns the share of prompt tokens that were not read from a cache.
fn recomputed_share(log: &CallerLog) -> f64 {
    let (mut prompt, mut cached) = (0, 0);
    for outcome in &log.completions {
        if let CompletionOutcome::Complete { prompt_tokens, cached_tokens, .. } = outcome {
            prompt += prompt_tokens;
            cached += cached_tokens;
        }
    }
    if prompt == 0 { 0.0 } else { 1.0 - cached as f64 / prompt as f64 }
}

/// Counts bookings that ran more than once, and confirmed bookings that never ran.
fn count_bookings(fleet: &Fleet, log: &CallerLog, report: &mut Report) {
    let mut runs: BTreeMap<Vec<u8>, u64> = BTreeMap::new();
    for record in fleet.service.ledger() {
        *runs.entry(record.body).or_default() += 1;
    }
    report.duplicated = runs.values().filter(|count| **count > 1).count() as u64;
    let ran: BTreeSet<&[u8]> = runs.keys().map(Vec::as_slice).collect();
    for (key, status) in &log.bookings {
        let body = format!("{{\"pass\": \"{key}\"}}").into_bytes();
        if *status == Some(200) && !ran.contains(body.as_slice()) {
            report.lost += 1;
        }
    }
}

/// Sets the newest active configuration version and the number of entry processes that have it.
fn count_active_versions(fleet: &Fleet, report: &mut Report) {
    let versions = fleet.entries.iter().map(|entry| entry.active_configuration().version);
    report.configuration_version = versions.clone().max().unwrap_or_default();
    report.active_on = versions.filter(|version| *version == report.configuration_version).count();
}
