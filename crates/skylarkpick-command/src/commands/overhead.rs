//! `skylarkpick overhead`.

use crate::{
    command::{Command, Example, Exit, Signature, WrongUse, option_or},
    console::Console,
    overhead::{self, OverheadPlan},
};
use anyhow::Context;
use getopts::{Matches, Options};
use serde_json::json;

/// Requests a second when no option says otherwise.
const DEFAULT_RATE: u32 = 500;
/// Seconds on each path when no option says otherwise.
const DEFAULT_SECONDS: u32 = 10;
/// Largest rate that is sent.
const RATE_LIMIT: u32 = 5_000;
/// Longest measurement.
const SECONDS_LIMIT: u32 = 120;

/// Measures what an entry process adds to the time to first token.
pub(crate) struct OverheadCommand;

impl Command for OverheadCommand {
    fn name(&self) -> &'static str {
        "overhead"
    }

    fn summary(&self) -> &'static str {
        "Measure what an entry process adds to the time to first token"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "rate", "requests a second (default 500)", "N");
        options.optopt("", "seconds", "seconds on each path (default 10)", "N");
        options.optflag("", "check", "exit with 1 when a target is missed");
        options.optflag("", "json", "print the result as one JSON document");
        Signature {
            usage: "[--rate N] [--seconds N] [--check] [--json]".to_string(),
            options,
            ..Signature::plain()
        }
    }

    fn description(&self) -> &'static str {
        "Sends streaming requests at a fixed rate over loopback, by turns through one entry \
         process and straight to the runner stand-in behind it, and prints the times to first \
         token of both, what the entry adds at the median, and the memory before the load. \
         Everything runs in this one process. Use a release build."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A short measurement at a low rate, as JSON",
            arguments: &["--rate", "50", "--seconds", "1", "--json"],
            exit: Exit::Success,
            shows: "\"added_p50_us\"",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let plan = OverheadPlan {
            requests_per_second: number(matches, "rate", DEFAULT_RATE, RATE_LIMIT)?,
            seconds: number(matches, "seconds", DEFAULT_SECONDS, SECONDS_LIMIT)?,
        };
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        console.message(&format!("measuring for {} s", 2 * (plan.seconds + 1)));
        let report = runtime.block_on(overhead::run(plan))?;
        if matches.opt_present("json") {
            let mut document = serde_json::to_value(report)?;
            document["added_p50_us"] = json!(report.added_p50_us());
            document["meets_targets"] = json!(report.meets_targets());
            console.result(&serde_json::to_string_pretty(&document)?);
        } else {
            console.result(&report.table());
        }
        let is_missed = matches.opt_present("check") && !report.meets_targets();
        Ok(if report.is_whole() && !is_missed { Exit::Success } else { Exit::Failed })
    }
}

fn number(matches: &Matches, name: &str, default: u32, limit: u32) -> Result<u32, WrongUse> {
    let number = option_or(matches, name, default)?;
    if (1..=limit).contains(&number) {
        return Ok(number);
    }
    Err(WrongUse(format!("--{name} cannot be {number}; expected a number from 1 to {limit}")))
}
