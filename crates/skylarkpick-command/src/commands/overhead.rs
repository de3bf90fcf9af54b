//! `skylarkpick overhead`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError, option_or},
    console::Console,
    overhead::{self, OverheadPlan},
};
use anyhow::Context;
use getopts::{Matches, Options};
use serde_json::json;

/// Requests per second.
const DEFAULT_RATE: u32 = 500;
/// Duration of the measurement of each path.
const DEFAULT_SECONDS: u32 = 10;
/// Maximum for `--rate`, in requests per second.
const RATE_LIMIT: u32 = 5_000;
/// Maximum for `--seconds`.
const SECONDS_LIMIT: u32 = 120;

/// Measures the latency that an entry process adds to the time to first token.
pub(crate) struct OverheadCommand;

impl Command for OverheadCommand {
    fn name(&self) -> &'static str {
        "overhead"
    }

    fn summary(&self) -> &'static str {
        "Measure the latency that an entry process adds to the time to first token"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "rate", "requests per second (default 500)", "N");
        options.optopt("", "seconds", "seconds on each path (default 10)", "N");
        options.optflag("", "check", "exit with 1 if a performance target is missed");
        options.optflag("", "json", "print the result as one JSON document");
        Signature {
            usage: "[--rate N] [--seconds N] [--check] [--json]".to_string(),
            options,
            ..Signature::empty()
        }
    }

    fn description(&self) -> &'static str {
        "Sends streaming requests at a fixed rate over loopback, alternating between one entry \
         process and the runner stand-in behind it. Prints the time to first token on both paths, \
         the latency that the entry process adds at the median, and the resident memory before \
         the load. Client, entry process and stand-in run in this one process. Use a release \
         build."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A short measurement at a low rate, as JSON",
            arguments: &["--rate", "50", "--seconds", "1", "--json"],
            exit: Exit::Success,
            expected_output: "\"added_p50_us\"",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let plan = OverheadPlan {
            requests_per_second: parse_bounded(matches, "rate", DEFAULT_RATE, RATE_LIMIT)?,
            seconds: parse_bounded(matches, "seconds", DEFAULT_SECONDS, SECONDS_LIMIT)?,
        };
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        console.print_message(&format!("measuring for {} s", 2 * (plan.seconds + 1)));
        let report = runtime.block_on(overhead::run(plan))?;
        if matches.opt_present("json") {
            let mut document = serde_json::to_value(report)?;
            document["added_p50_us"] = json!(report.added_p50_us());
            document["meets_targets"] = json!(report.meets_targets());
            console.print(&serde_json::to_string_pretty(&document)?);
        } else {
            console.print(&report.table());
        }
        let is_missed = matches.opt_present("check") && !report.meets_targets();
        Ok(if report.is_complete() && !is_missed { Exit::Success } else { Exit::Failed })
    }
}

/// Returns the value of an option, which must be from 1 to `limit`.
fn parse_bounded(
    matches: &Matches,
    name: &str,
    default: u32,
    limit: u32,
) -> Result<u32, UsageError> {
    let number = option_or(matches, name, default)?;
    if (1..=limit).contains(&number) {
        return Ok(number);
    }
    Err(UsageError(format!("--{name} cannot be {number}; expected a number from 1 to {limit}")))
}
