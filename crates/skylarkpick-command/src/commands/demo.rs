//! `skylarkpick demo`.

use crate::{
    command::{Command, Example, Exit, Signature},
    console::Console,
    demo,
};
use anyhow::Context;
use getopts::{Matches, Options};

/// Runs a small fleet in one process and checks the system's guarantees.
pub(crate) struct DemoCommand;

impl Command for DemoCommand {
    fn name(&self) -> &'static str {
        "demo"
    }

    fn summary(&self) -> &'static str {
        "Run a small fleet in one process and check its guarantees"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optopt("", "seconds", "approximate duration, from 4 to 25 (default 12)", "N");
        Signature { usage: "[--json] [--seconds N]".to_string(), options, ..Signature::empty() }
    }

    fn description(&self) -> &'static str {
        "Runs two data centres with two entry processes each, against stand-ins for the platform, \
         runners, stores and a service, all on loopback in one process. Callers repeat long \
         prompts during a configuration patch, a weight swap, the shutdown of a runner and the \
         graceful shutdown of an entry process. Exits with 1 if a guarantee was violated."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "Run for five seconds and print JSON",
            arguments: &["--json", "--seconds", "5"],
            exit: Exit::Success,
            expected_output: "\"doubled\": 0",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let seconds = matches
            .opt_get_default("seconds", 12_u64)
            .map_err(|error| crate::command::UsageError(format!("--seconds: {error}")))?;
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        let report = runtime.block_on(demo::run(seconds.clamp(4, 25), console))?;
        if matches.opt_present("json") {
            console.print(&serde_json::to_string_pretty(&report)?);
        } else {
            console.print(&report.table());
        }
        Ok(if report.violations.is_empty() { Exit::Success } else { Exit::Failed })
    }
}
