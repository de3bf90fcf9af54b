//! `skylarkpick demo`.

use crate::{
    command::{Command, Example, Exit, Signature},
    console::Console,
    demo,
};
use anyhow::Context;
use getopts::{Matches, Options};

/// Runs a small fleet in one process.
pub(crate) struct DemoCommand;

impl Command for DemoCommand {
    fn name(&self) -> &'static str {
        "demo"
    }

    fn summary(&self) -> &'static str {
        "Run a small fleet in one process and check its promises"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optopt("", "seconds", "how long the callers go on (default 12)", "N");
        Signature { usage: "[--json] [--seconds N]".to_string(), options, ..Signature::plain() }
    }

    fn description(&self) -> &'static str {
        "Runs two data centres with two entry processes each, over stand-ins for the platform, \
         runners, stores and a plain service, all on loopback in one process. Callers return to \
         long prompts while a patch, a weight swap, a leaving runner and a graceful shutdown \
         happen. Exits with 1 if a promise that it checks was broken."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "Run for five seconds and print JSON",
            arguments: &["--json", "--seconds", "5"],
            exit: Exit::Success,
            shows: "\"doubled\": 0",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let seconds = matches
            .opt_get_default("seconds", 12_u64)
            .map_err(|error| crate::command::WrongUse(format!("--seconds: {error}")))?;
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        let report = runtime.block_on(demo::run(seconds.clamp(4, 25), console))?;
        if matches.opt_present("json") {
            console.result(&serde_json::to_string_pretty(&report)?);
        } else {
            console.result(&report.table());
        }
        Ok(if report.broken.is_empty() { Exit::Success } else { Exit::Failed })
    }
}
