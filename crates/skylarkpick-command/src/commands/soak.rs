//! `skylarkpick soak`.

use crate::{
    command::{Command, Example, Exit, Signature, option_or},
    console::Console,
};
use anyhow::Context;
use getopts::{Matches, Options};
use skylarkpick_soak::{SoakReport, SoakSettings, run_seed};
use std::{path::PathBuf, time::Duration};
use tokio::task::JoinSet;

/// First seed, seeds, seeds at once, seconds of faults, and entry processes, where nothing is said.
const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 1;
const JOBS: usize = 4;
const SECONDS: u64 = 20;
const PROCESSES: usize = 4;
/// Seeds at once for which there are loopback networks.
const JOBS_LIMIT: usize = 64;
/// Entry processes of a seed for which a loopback network has addresses.
const PROCESSES_LIMIT: usize = 200;

/// Plays random faults against real processes.
pub(crate) struct SoakCommand;

impl Command for SoakCommand {
    fn name(&self) -> &'static str {
        "soak"
    }

    fn summary(&self) -> &'static str {
        "Play random faults against real processes and judge what was seen"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "seed", "first seed (1)", "N");
        options.optopt("", "seeds", "how many seeds, one after the other (1)", "N");
        options.optopt("", "jobs", "seeds that are played at once (4)", "N");
        options.optopt("", "seconds", "time in which faults begin (20)", "N");
        options.optopt("", "processes", "entry processes of each seed (4)", "N");
        options.optopt("", "keep", "folder for settings and logs (a temporary one)", "FOLDER");
        Signature { usage: "[--seed N] [--seeds N]".to_string(), options, ..Signature::plain() }
    }

    fn description(&self) -> &'static str {
        "Starts entry processes of this program before stand-ins of the platform and of targets, \
         with clients that keep their connections, and plays the faults of each seed from outside: \
         signals, restarts, links that are delayed, reset, silenced or cut one way, outages of the \
         platform, targets that crash or leave, keys that change. Judges what clients got and what \
         targets ran. Logs of a seed that fails are kept. Exits with 1 if something did not hold."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A number of seeds that is no number",
            arguments: &["--seeds", "many"],
            exit: Exit::WrongUse,
            shows: "",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let first = option_or(matches, "seed", FIRST_SEED)?;
        let seeds = option_or(matches, "seeds", SEEDS)?;
        let jobs = option_or(matches, "jobs", JOBS)?.clamp(1, JOBS_LIMIT);
        let folder = matches.opt_str("keep").map_or_else(temporary_folder, PathBuf::from);
        let settings = SoakSettings {
            seed: first,
            fault_window: Duration::from_secs(option_or(matches, "seconds", SECONDS)?),
            processes: option_or(matches, "processes", PROCESSES)?.clamp(1, PROCESSES_LIMIT),
            program: std::env::current_exe().context("the program's own path is not known")?,
            folder,
            loopback_network: 0,
        };
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        runtime.block_on(play(&settings, first..first.saturating_add(seeds), jobs, console))
    }
}

async fn play(
    settings: &SoakSettings,
    mut seeds: std::ops::Range<u64>,
    jobs: usize,
    console: &mut Console,
) -> anyhow::Result<Exit> {
    let mut exit = Exit::Success;
    let mut free: Vec<u8> = networks(jobs);
    let mut running = JoinSet::new();
    loop {
        while let Some(network) = free.pop() {
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
        free.push(settings.loopback_network);
        let report = report.with_context(|| format!("seed {} was not played", settings.seed))?;
        if report.findings.is_empty() {
            std::fs::remove_dir_all(&settings.folder)
                .with_context(|| format!("{} cannot be removed", settings.folder.display()))?;
        } else {
            exit = Exit::Failed;
        }
        console.result(&describe(&settings, &report));
    }
}

/// Loopback networks that soaks of other processes are unlikely to use.
fn networks(jobs: usize) -> Vec<u8> {
    let own = usize::try_from(std::process::id()).unwrap_or_default() * JOBS_LIMIT;
    // 127.0 is everybody's.
    (0..jobs).filter_map(|job| u8::try_from(1 + (own + job) % 255).ok()).collect()
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("skylarkpick-soak-{}", std::process::id()))
}

fn describe(settings: &SoakSettings, report: &SoakReport) -> String {
    let SoakReport { calls, served, runs, faults, findings } = report;
    let mut text = format!(
        "seed {}: {calls} calls, {served} served, {runs} runs, {faults} faults, {} findings",
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
