//! `skylarkpick scenario`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
};
use getopts::{Matches, Options};
use serde_json::{Value, json};
use skylarkpick_scenario::{FileOutcome, find_files, run_file};
use std::path::{Path, PathBuf};

/// Runs failure scenarios in virtual time.
pub(crate) struct ScenarioCommand;

impl Command for ScenarioCommand {
    fn name(&self) -> &'static str {
        "scenario"
    }

    fn summary(&self) -> &'static str {
        "Run scripted failure scenarios and check the guarantees"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optflag("", "trace", "print each step with its result");
        Signature {
            usage: "FILE-OR-FOLDER... [--json] [--trace]".to_string(),
            options,
            min_arguments: 1,
            max_arguments: usize::MAX,
        }
    }

    fn description(&self) -> &'static str {
        "Runs scenario files in virtual time; docs/SCENARIOS.md describes their format. Prints a \
         line for each file. If a guarantee was violated or the result of a step differs from the \
         file, prints the trace and exits with 1."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A missing file is a usage error",
            arguments: &["no-such-file.txt"],
            exit: Exit::UsageError,
            expected_output: "",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let files = list_files(&matches.free)?;
        let mut results = Vec::new();
        let mut exit = Exit::Success;
        for file in &files {
            let outcome = run_without_panic_output(file)?;
            if !outcome.passed() {
                exit = Exit::Failed;
            }
            if matches.opt_present("json") {
                results.push(to_json(file, &outcome));
            } else {
                print(file, &outcome, matches.opt_present("trace"), console);
            }
        }
        if matches.opt_present("json") {
            console.print(&serde_json::to_string_pretty(&results)?);
        }
        Ok(exit)
    }
}

fn list_files(paths: &[String]) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        let found = find_files(Path::new(path)).map_err(|error| UsageError(error.to_string()))?;
        files.extend(found);
    }
    if files.is_empty() {
        return Err(UsageError("no scenario files were found".to_string()).into());
    }
    Ok(files)
}

/// Runs a file with panic messages suppressed: the scenario library reports a mismatch by a panic,
/// and the outcome already contains its message.
fn run_without_panic_output(file: &Path) -> anyhow::Result<FileOutcome> {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let outcome = run_file(file);
    std::panic::set_hook(previous_hook);
    Ok(outcome?)
}

fn print(file: &Path, outcome: &FileOutcome, trace: bool, console: &mut Console) {
    let verdict = if outcome.passed() { "held" } else { "FAILED" };
    console.print(&format!("{verdict} {} ({} steps)", file.display(), outcome.steps));
    if trace || !outcome.passed() {
        console.print(&outcome.trace);
    }
    for violation in &outcome.violations {
        console.print(&violation.to_string());
    }
    if let Some(mismatch) = &outcome.mismatch {
        console.print(mismatch);
    }
}

fn to_json(file: &Path, outcome: &FileOutcome) -> Value {
    let violations: Vec<Value> = outcome
        .violations
        .iter()
        .map(|violation| json!({"promise": violation.guarantee.name(), "detail": violation.detail}))
        .collect();
    json!({
        "file": file.display().to_string(),
        "held": outcome.passed(),
        "steps": outcome.steps,
        "broken": violations,
        "mismatch": outcome.mismatch,
    })
}
