//! `skylarkpick scenario`.

use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
    console::Console,
};
use getopts::{Matches, Options};
use serde_json::{Value, json};
use skylarkpick_scenario::{FileOutcome, find_files, run_file};
use std::path::{Path, PathBuf};

/// Runs scripted scenarios.
pub(crate) struct ScenarioCommand;

impl Command for ScenarioCommand {
    fn name(&self) -> &'static str {
        "scenario"
    }

    fn summary(&self) -> &'static str {
        "Run scripted scenarios of failures and judge the promises"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optflag("", "trace", "print each step with its result");
        Signature {
            usage: "FILE-OR-FOLDER... [--json] [--trace]".to_string(),
            options,
            arguments_floor: 1,
            arguments_limit: usize::MAX,
        }
    }

    fn description(&self) -> &'static str {
        "Runs scenario files, as docs/SCENARIOS.md describes them, on virtual time. Prints a line \
         for each file. Exits with 1 if a promise was broken or a step gave another result than \
         the file says, and prints the trace then."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A file that does not exist is wrong use",
            arguments: &["no-such-file.txt"],
            exit: Exit::WrongUse,
            shows: "",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let files = list_files(&matches.free)?;
        let mut results = Vec::new();
        let mut exit = Exit::Success;
        for file in &files {
            let outcome = run_quietly(file)?;
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
            console.result(&serde_json::to_string_pretty(&results)?);
        }
        Ok(exit)
    }
}

fn list_files(paths: &[String]) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        let found = find_files(Path::new(path)).map_err(|error| WrongUse(error.to_string()))?;
        files.extend(found);
    }
    if files.is_empty() {
        return Err(WrongUse("there is no scenario file".to_string()).into());
    }
    Ok(files)
}

/// Runs a file without the library's own message about a mismatch, which the outcome holds.
fn run_quietly(file: &Path) -> anyhow::Result<FileOutcome> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let outcome = run_file(file);
    std::panic::set_hook(hook);
    Ok(outcome?)
}

fn print(file: &Path, outcome: &FileOutcome, trace: bool, console: &mut Console) {
    let word = if outcome.passed() { "held" } else { "FAILED" };
    console.result(&format!("{word} {} ({} steps)", file.display(), outcome.steps));
    if trace || !outcome.passed() {
        console.result(&outcome.trace);
    }
    for broken in &outcome.violations {
        console.result(&broken.to_string());
    }
    if let Some(mismatch) = &outcome.mismatch {
        console.result(mismatch);
    }
}

fn to_json(file: &Path, outcome: &FileOutcome) -> Value {
    let broken: Vec<Value> = outcome
        .violations
        .iter()
        .map(|broken| json!({"promise": broken.guarantee.name(), "detail": broken.detail}))
        .collect();
    json!({
        "file": file.display().to_string(),
        "held": outcome.passed(),
        "steps": outcome.steps,
        "broken": broken,
        "mismatch": outcome.mismatch,
    })
}
