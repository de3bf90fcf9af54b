//! What happens in the demo, step by step, and what is checked at its end.

use super::{
    callers::{Callers, Log},
    fleet::{Fleet, MODEL, serves, token},
    report::Report,
    streams::Received,
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

/// Time for an operator's request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a patch to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time for a roll-out over all runners.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(12);
/// Weights that may be loaded at once, by the serving configuration.
const LOADS_LIMIT: u32 = 2;
/// Time after which a leaving runner gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Runs the demo for about `seconds` and reports what it saw.
pub(crate) async fn run(seconds: u64, console: &mut Console) -> anyhow::Result<Report> {
    console.message("starting stand-ins and four entry processes in two data centres");
    let mut fleet = Fleet::spawn().await?;
    let addresses: Vec<String> =
        fleet.fronts.iter().map(|front| front.address().to_string()).collect();
    let (offer, offered) = watch::channel(addresses.clone());
    let callers = Callers::spawn(&offered);
    let step = Duration::from_millis(seconds * 1_000 / 6);
    let mut broken = Vec::new();

    tokio::time::sleep(step).await;
    console.message("an operator patches the serving configuration");
    let change = json!({"serving": {"ordinary": {"recompute_weight": 0.5}}});
    patch(&addresses[0], "demo-weights", 1, &change).await?;
    check_in_force(&fleet, 2, &mut broken).await;

    tokio::time::sleep(step).await;
    console.message("a patch wants new weights; the planners swap them, runner by runner");
    let change =
        json!({"models": {MODEL: {"weight_version": 2, "also_served_weight_versions": [1]}}});
    patch(&addresses[1], "demo-swap", 2, &change).await?;
    check_in_force(&fleet, 3, &mut broken).await;
    wait_rolled_out(&fleet, 2).await?;

    console.message("a runner leaves");
    let (left_name, left_at) = leave(&fleet)?;

    tokio::time::sleep(step).await;
    console.message("one entry process shuts down gracefully");
    offer.send_replace(addresses[..3].to_vec());
    let front = fleet.fronts.pop().context("no entry process to shut down")?;
    fleet.entries.pop();
    if !front.shutdown().await {
        broken.push("a graceful shutdown cut off a request".to_string());
    }

    tokio::time::sleep(step).await;
    console.message("the callers finish");
    let log = callers.stop().await;
    let mut report = judge(&fleet, &log, broken);
    check_leaving(&fleet, &left_name, left_at, &mut report.broken);
    Ok(report)
}

async fn patch(address: &str, id: &str, base: u64, change: &Value) -> anyhow::Result<()> {
    let body = json!({"patch_id": id, "base_version": base, "change": change});
    let request = http::Request::builder()
        .method("PATCH")
        .uri(format!("http://{address}/v1/configuration"))
        .header("authorization", format!("Bearer {}", token("operator")))
        .body(http_body_util::Full::new(bytes::Bytes::from(body.to_string())))?;
    let answer = HttpClient::open().send_buffered(request, OPERATOR_TIMEOUT).await?;
    if !answer.status().is_success() {
        bail!("the patch was refused: {}", String::from_utf8_lossy(answer.body()));
    }
    Ok(())
}

async fn check_in_force(fleet: &Fleet, version: u64, broken: &mut Vec<String>) {
    let everywhere = async {
        while fleet.entries.iter().any(|entry| entry.active_configuration().version < version) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    if tokio::time::timeout(IN_FORCE_LIMIT, everywhere).await.is_err() {
        broken.push(format!("version {version} was not in force everywhere in time"));
    }
}

/// Waits until the planners have brought every runner to new weights.
async fn wait_rolled_out(fleet: &Fleet, weight_version: u64) -> anyhow::Result<()> {
    let rolled_out = async {
        for runner in fleet.runners.values() {
            while !serves(runner, weight_version).await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    let in_time = tokio::time::timeout(ROLLOUT_LIMIT, rolled_out).await;
    in_time.context("the runners did not get the new weights in time")
}

fn leave(fleet: &Fleet) -> anyhow::Result<(String, Instant)> {
    let (name, runner) = fleet.runners.iter().next().context("no runner")?;
    runner.leave();
    fleet.platform.set_vm(name, skylarkpick_interface::VmState::Leaving);
    Ok((name.clone(), Instant::now()))
}

fn check_leaving(fleet: &Fleet, name: &str, left_at: Instant, broken: &mut Vec<String>) {
    let late = fleet.runners.get(name).map(FakeRunner::ledger).unwrap_or_default();
    if late.iter().any(|record| record.started_at > left_at + LEAVING_LIMIT) {
        broken.push(format!("{name} got new work long after it began to leave"));
    }
}

/// Judges by what targets ran and callers got, not by what the entries say.
fn judge(fleet: &Fleet, log: &Log, mut broken: Vec<String>) -> Report {
    let mut report = Report { entries: fleet.entries.len(), ..Report::default() };
    let mut first_tokens_us = Vec::new();
    for answer in &log.answers {
        match answer {
            Received::Whole { first_token, .. } => {
                report.whole += 1;
                first_tokens_us.push(u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX));
            }
            Received::NotRun(why) => {
                report.not_run += 1;
                report.reasons.insert(why.clone());
            }
            Received::Unknown(why) => {
                report.unknown += 1;
                report.reasons.insert(why.clone());
            }
            Received::Wrong(what) => broken.push(what.clone()),
        }
    }
    report.set_first_tokens(&first_tokens_us);
    report.recomputed_share = recomputed_share(log);
    report.link_bytes = fleet.stores.iter().map(|store| store.link_carried_bytes()).sum();
    report.loads_at_once = fleet.weight_store.peak_concurrent_loads();
    judge_bookings(fleet, log, &mut report);
    judge_versions(fleet, &mut report);
    if report.whole == 0 {
        broken.push("no request got its answer".to_string());
    }
    if report.doubled > 0 {
        broken.push(format!("{} bookings ran more than once", report.doubled));
    }
    if report.lost > 0 {
        broken.push(format!("{} confirmed bookings never ran", report.lost));
    }
    if report.loads_at_once > LOADS_LIMIT {
        broken.push(format!("{} weights were loaded at once", report.loads_at_once));
    }
    if report.in_force_on < report.entries {
        broken.push("the newest configuration is not in force everywhere".to_string());
    }
    report.broken = broken;
    report
}

/// Share of prompt tokens that no cache spared.
fn recomputed_share(log: &Log) -> f64 {
    let (mut prompt, mut cached) = (0, 0);
    for answer in &log.answers {
        if let Received::Whole { prompt_tokens, cached_tokens, .. } = answer {
            prompt += prompt_tokens;
            cached += cached_tokens;
        }
    }
    if prompt == 0 { 0.0 } else { 1.0 - cached as f64 / prompt as f64 }
}

fn judge_bookings(fleet: &Fleet, log: &Log, report: &mut Report) {
    let mut runs: BTreeMap<Vec<u8>, u64> = BTreeMap::new();
    for record in fleet.service.ledger() {
        *runs.entry(record.body).or_default() += 1;
    }
    report.doubled = runs.values().filter(|count| **count > 1).count() as u64;
    let ran: BTreeSet<&[u8]> = runs.keys().map(Vec::as_slice).collect();
    for (key, status) in &log.bookings {
        let body = format!("{{\"pass\": \"{key}\"}}").into_bytes();
        if *status == Some(200) && !ran.contains(body.as_slice()) {
            report.lost += 1;
        }
    }
}

fn judge_versions(fleet: &Fleet, report: &mut Report) {
    let versions = fleet.entries.iter().map(|entry| entry.active_configuration().version);
    report.configuration_version = versions.clone().max().unwrap_or_default();
    report.in_force_on =
        versions.filter(|version| *version == report.configuration_version).count();
}
