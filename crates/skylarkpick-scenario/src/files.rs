//! Finds and runs scenario files.

use crate::{arguments::Arguments, guarantees::Violation, simulation::Simulation, steps::run_step};
use std::{
    cell::RefCell,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
};

/// The result of a scenario file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FileOutcome {
    /// Number of steps that were run.
    pub steps: usize,
    /// Violations of the guarantees, as of the end of the file.
    pub violations: Vec<Violation>,
    /// The first step with a result that differs from the file, with both results.
    pub mismatch: Option<String>,
    /// Each step with its result.
    pub trace: String,
}

impl FileOutcome {
    /// Whether all results are as written in the file and no guarantee is violated.
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
        /// The error of the operating system.
        why: String,
    },
    /// No runtime could be started.
    #[error("no runtime could be started: {0}")]
    NoRuntime(#[from] std::io::Error),
}

/// Returns the scenario files at a path, in the order of their names: the path itself if it is a
/// file, otherwise all `.txt` files below it.
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
/// If the environment variable `REWRITE` is set, the `datadriven` library replaces the results in
/// the file by the actual ones.
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
    // The library panics on a mismatch. The panic becomes a part of the outcome.
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
        outcome.violations = simulation.check_guarantees();
    }
    Ok(outcome)
}

fn describe_panic(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("a step failed").to_string()
}
