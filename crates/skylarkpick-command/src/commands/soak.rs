//! `skylarkpick soak`.

use crate::{
    command::{Command, Example, Exit, Signature, option_or},
    console::Console,
};
use anyhow::Context;
use getopts::{Matches, Options};
use skylarkpick_soak::{LoopbackNetwork, SoakReport, SoakSettings, run_seed};
use std::{path::PathBuf, time::Duration};
use tokio::task::JoinSet;

const DEFAULT_FIRST_SEED: u64 = 1;
const DEFAULT_SEEDS: u64 = 1;
const DEFAULT_JOBS: usize = 4;
/// Length of the window in which faults begin.
const DEFAULT_FAULT_WINDOW_SECONDS: u64 = 20;
/// Entry processes per seed.
const DEFAULT_PROCESSES: usize = 4;
/// Maximum number of concurrent seeds; each uses a loopback network of its own.
const JOBS_LIMIT: usize = 64;
/// Maximum number of entry processes per seed; bounded by the addresses of a loopback network.
const PROCESSES_LIMIT: usize = 200;

/// Runs soak tests: injects random faults into real processes.
pub(crate) struct SoakCommand;

impl Command for SoakCommand {
    fn name(&self) -> &'static str {
        "soak"
    }

    fn summary(&self) -> &'static str {
        "Inject random faults into real processes and check the guarantees"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "seed", "first seed (default 1)", "N");
        options.optopt("", "seeds", "number of consecutive seeds (default 1)", "N");
        options.optopt("", "jobs", "seeds that run concurrently (default 4)", "N");
        options.optopt(
            "",
            "seconds",
            "length of the window in which faults begin (default 20)",
            "N",
        );
        options.optopt("", "processes", "entry processes per seed (default 4)", "N");
        options.optopt(
            "",
            "program",
            "executable whose `node` is started (default: this one)",
            "PATH",
        );
        options.optopt(
            "",
            "keep",
            "folder for settings and logs (default: a temporary folder)",
            "FOLDER",
        );
        Signature { usage: "[--seed N] [--seeds N]".to_string(), options, ..Signature::empty() }
    }

    fn description(&self) -> &'static str {
        "Starts entry processes of this binary, or of another build, in front of stand-ins for the \
         platform and the targets, with clients that reuse their connections. Injects the faults of \
         each seed from outside the processes: signals, restarts, links that are delayed, reset, \
         blackholed or cut in one direction, platform outages, targets that crash or shut down, \
         answers that come twice or don't say whether the request has run, and key changes. Checks \
         what the clients received and what the targets ran. Keeps the logs of a seed that fails. \
         Exits with 1 if a check failed."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A seed count that is not a number is a usage error",
            arguments: &["--seeds", "many"],
            exit: Exit::UsageError,
            expected_output: "",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let first = option_or(matches, "seed", DEFAULT_FIRST_SEED)?;
        let seeds = option_or(matches, "seeds", DEFAULT_SEEDS)?;
        let jobs = option_or(matches, "jobs", DEFAULT_JOBS)?.clamp(1, JOBS_LIMIT);
        let folder = matches.opt_str("keep").map_or_else(temporary_folder, PathBuf::from);
        let settings = SoakSettings {
            seed: first,
            fault_window: Duration::from_secs(option_or(
                matches,
                "seconds",
                DEFAULT_FAULT_WINDOW_SECONDS,
            )?),
            processes: option_or(matches, "processes", DEFAULT_PROCESSES)?
                .clamp(1, PROCESSES_LIMIT),
            program: matches
                .opt_str("program")
                .map_or_else(this_program, |path| Ok(path.into()))?,
            folder,
            loopback_network: 0,
        };
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        runtime.block_on(run_seeds(&settings, first..first.saturating_add(seeds), jobs, console))
    }
}

/// Runs the seeds, at most `jobs` at a time, and prints a summary of each as it ends.
async fn run_seeds(
    settings: &SoakSettings,
    mut seeds: std::ops::Range<u64>,
    jobs: usize,
    console: &mut Console,
) -> anyhow::Result<Exit> {
    let mut exit = Exit::Success;
    let networks = reserve_networks(jobs)?;
    let mut free_networks: Vec<u8> = networks.iter().map(|network| network.number).collect();
    let mut running = JoinSet::new();
    loop {
        while let Some(network) = free_networks.pop() {
            let Some(seed) = seeds.next() else { break };
            let folder = settings.folder.join(format!("seed-{seed}"));
            let settings =
                SoakSettings { seed, folder, loopback_network: network, ..settings.clone() };
            running.spawn(async move {
                let report = run_seed(settings.clone()).await;
                (settings, report)
            });
        }
        let Some(ended) = running.join_next().await else { return Ok(exit) };
        let (settings, report) = ended?;
        free_networks.push(settings.loopback_network);
        let report = report.with_context(|| format!("failed to run seed {}", settings.seed))?;
        if report.findings.is_empty() {
            std::fs::remove_dir_all(&settings.folder)
                .with_context(|| format!("failed to remove {}", settings.folder.display()))?;
        } else {
            exit = Exit::Failed;
        }
        console.print(&summary(&settings, &report));
    }
}

/// Reserves the loopback networks for `jobs` concurrent seeds.
fn reserve_networks(jobs: usize) -> anyhow::Result<Vec<LoopbackNetwork>> {
    // Soaks that start together begin their search at different networks.
    let start = usize::try_from(std::process::id()).unwrap_or_default() * JOBS_LIMIT;
    (0..jobs)
        .map(|_| LoopbackNetwork::reserve(start).context("no loopback network is free"))
        .collect()
}

fn this_program() -> anyhow::Result<PathBuf> {
    std::env::current_exe().context("the path of this executable is unknown")
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("skylarkpick-soak-{}", std::process::id()))
}

fn summary(settings: &SoakSettings, report: &SoakReport) -> String {
    let SoakReport { calls, served, runs, taken_up, continued, faults, findings } = report;
    let mut text = format!(
        "seed {}: {calls} calls, {served} served, {runs} runs, {taken_up} streams taken up, {continued} \
         of them went on, {faults} faults, {} findings",
        settings.seed,
        findings.len()
    );
    for finding in findings {
        text.push_str(&format!("\n  {}: {}", finding.rule, finding.evidence));
    }
    if !findings.is_empty() {
        text.push_str(&format!("\n  logs: {}", settings.folder.display()));
    }
    text
}
