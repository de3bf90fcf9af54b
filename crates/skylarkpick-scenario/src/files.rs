//! Reads and runs scenario files.

use crate::{arguments::Arguments, judge::Violation, simulation::Simulation, steps::run_step};
use std::{
    cell::RefCell,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
};

/// How a scenario file ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FileOutcome {
    /// Steps that were carried out.
    pub steps: usize,
    /// Promises that were broken, as of the end of the file.
    pub violations: Vec<Violation>,
    /// The first step whose result is not the written one, with both.
    pub mismatch: Option<String>,
    /// Each step with its result.
    pub trace: String,
}

impl FileOutcome {
    /// Whether every step gave what is written and every promise held.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.mismatch.is_none()
    }
}

/// Why a scenario file was not run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path} cannot be read: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        why: String,
    },
    /// No runtime could be started.
    #[error("no runtime could be started: {0}")]
    NoRuntime(#[from] std::io::Error),
}

/// Scenario files at a path: itself, or every `.txt` file below it, in order of their names.
///
/// # Errors
/// When the path cannot be read.
pub fn find_files(path: &Path) -> Result<Vec<PathBuf>, ScenarioError> {
    let unreadable = |error: std::io::Error| ScenarioError::Unreadable {
        path: path.display().to_string(),
        why: error.to_string(),
    };
    if path.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(unreadable)? {
        let found = entry.map_err(unreadable)?.path();
        if found.is_dir() {
            files.extend(find_files(&found)?);
        } else if found.extension().is_some_and(|extension| extension == "txt") {
            files.push(found);
        }
    }
    files.sort();
    Ok(files)
}

/// Runs one scenario file on paused time.
///
/// With the environment variable `REWRITE` set, the library writes the results that it sees into
/// the file in place of the written ones.
///
/// # Errors
/// When the file cannot be read or no runtime can be started.
pub fn run_file(path: &Path) -> Result<FileOutcome, ScenarioError> {
    let name = path.display().to_string();
    std::fs::metadata(path).map_err(|error| ScenarioError::Unreadable {
        path: name.clone(),
        why: error.to_string(),
    })?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    let outcome = RefCell::new(FileOutcome::default());
    let simulation = RefCell::new(None::<Simulation>);
    // The library reports a mismatch by a panic with a message; a caller wants a value.
    let walked = catch_unwind(AssertUnwindSafe(|| {
        datadriven::walk(&name, |file| {
            file.run(|case| {
                let arguments = Arguments::open(case.args.drain(), &case.input);
                let mut simulation = simulation.borrow_mut();
                let step = run_step(&case.directive, &mut simulation, arguments);
                let result = runtime.block_on(step).unwrap_or_else(|error| format!("{error}\n"));
                let mut outcome = outcome.borrow_mut();
                outcome.steps += 1;
                outcome.trace.push_str(&format!("{}\n{result}", case.directive));
                result
            });
        });
    }));
    let mut outcome = outcome.into_inner();
    outcome.mismatch = walked.err().map(|panic| describe_panic(&*panic));
    if let Some(simulation) = &*simulation.borrow() {
        let _context = runtime.enter();
        outcome.violations = simulation.judge();
    }
    Ok(outcome)
}

fn describe_panic(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("a step failed").to_string()
}
