//! Generates the load on both paths and collects the times to first token.

use super::{
    client::{LoadClient, Path},
    fleet::Fleet,
    report::{OverheadReport, PathTimes},
};
use anyhow::Context;
use hdrhistogram::Histogram;
use skylarkpick_http::HttpConnector;
use skylarkpick_interface::TargetConnector;
use std::time::Duration;
use tokio::{task::JoinSet, time::MissedTickBehavior};

/// Number of distinct prompts, which the load repeats.
const DISTINCT_PROMPTS: u64 = 32;
/// Length of a prompt, without its number.
const PROMPT_CHARACTERS: usize = 4_000;
/// Largest time that the histogram can record.
const MAX_TIME_US: u64 = 60_000_000;
/// Wait after startup before the idle memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Rate and duration of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverheadPlan {
    /// Request rate on the path that is being measured.
    pub(crate) requests_per_second: u32,
    /// Measured seconds on each path, after one second of warm-up on each.
    pub(crate) seconds: u32,
}

/// Starts a fleet and sends the load to both paths, alternating every second.
pub(crate) async fn run(plan: OverheadPlan) -> anyhow::Result<OverheadReport> {
    let fleet = Fleet::spawn().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let idle_memory_bytes = resident_bytes()?;
    let runner = HttpConnector::open().runner(&fleet.runner_address);
    let client = LoadClient::open(&fleet.api_server.address().to_string(), runner);
    let (mut direct, mut entry) = (Times::open()?, Times::open()?);
    let mut number = 0;
    for second in 0..=plan.seconds {
        for (path, times) in [(Path::Direct, &mut direct), (Path::Entry, &mut entry)] {
            let results =
                send_for_one_second(&client, path, plan.requests_per_second, number).await;
            number += u64::from(plan.requests_per_second);
            if second > 0 {
                times.add(results)?;
            }
        }
    }
    fleet.api_server.shutdown().await;
    Ok(OverheadReport {
        requests_per_second: plan.requests_per_second,
        direct: direct.summary(),
        entry: entry.summary(),
        idle_memory_bytes,
    })
}

/// Sends requests at a fixed rate for one second without waiting for earlier responses, and returns
/// the time to first token of each.
async fn send_for_one_second(
    client: &LoadClient,
    path: Path,
    requests_per_second: u32,
    first_number: u64,
) -> Vec<anyhow::Result<Duration>> {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / requests_per_second);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut requests = JoinSet::new();
    for index in 0..u64::from(requests_per_second) {
        ticks.tick().await;
        let (client, number) = (client.clone(), first_number + index);
        requests.spawn(async move { client.send(path, number, prompt(number)).await });
    }
    requests.join_all().await
}

fn prompt(number: u64) -> String {
    let mut text = format!("prompt {} ", number % DISTINCT_PROMPTS);
    text.extend("orbit ".chars().cycle().take(PROMPT_CHARACTERS));
    text
}

/// Times to first token on one path, and the number of failed requests.
struct Times {
    histogram: Histogram<u64>,
    failed: u64,
}

impl Times {
    fn open() -> anyhow::Result<Times> {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 3)?;
        Ok(Times { histogram, failed: 0 })
    }

    fn add(&mut self, results: Vec<anyhow::Result<Duration>>) -> anyhow::Result<()> {
        for result in results {
            match result {
                Ok(time) => self.histogram.record(u64::try_from(time.as_micros())?)?,
                Err(_) => self.failed += 1,
            }
        }
        Ok(())
    }

    fn summary(&self) -> PathTimes {
        PathTimes {
            answered: self.histogram.len(),
            failed: self.failed,
            p50_us: self.histogram.value_at_quantile(0.5),
            p95_us: self.histogram.value_at_quantile(0.95),
            p99_us: self.histogram.value_at_quantile(0.99),
        }
    }
}

/// Returns the resident memory of this process, from `/proc/self/status`.
fn resident_bytes() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: u64 = kilobytes.context("no VmRSS in /proc/self/status")?.parse()?;
    Ok(kilobytes * 1_024)
}
