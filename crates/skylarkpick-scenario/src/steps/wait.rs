//! `wait`: waits until requests have an outcome, and prints it.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;
use std::{collections::BTreeMap, time::Duration};

/// Maximum wait if the step does not set one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until requests have an outcome, and prints it.
pub(super) struct WaitStep;

#[async_trait(?Send)]
impl Step for WaitStep {
    fn name(&self) -> &'static str {
        "wait"
    }

    fn usage(&self) -> &'static str {
        "wait [id=(ID,ID)] [timeout_ms=N] [cached] [summary]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let mut ids = arguments.take_list("id");
        let timeout = arguments.take_time("timeout_ms")?.unwrap_or(DEFAULT_TIMEOUT);
        let cached = arguments.take_flag("cached");
        let summary = arguments.take_flag("summary");
        arguments.finish()?;
        if ids.is_empty() {
            ids = simulation.clients.records().keys().cloned().collect();
        }
        let all = async {
            for id in &ids {
                simulation.clients.wait_for_outcome(id).await;
            }
        };
        // After the timeout, requests without an outcome are printed as waiting.
        let _ = tokio::time::timeout(timeout, all).await;
        if summary {
            return Ok(summarise(simulation));
        }
        let mut text = String::new();
        for id in ids {
            let record = simulation.clients.record(&id);
            let record = record.ok_or_else(|| StepError::UnknownName(id.clone()))?;
            text.push_str(&format!("{id}: {}", record.describe()));
            if cached {
                text.push_str(&format!(", {} tokens cached", record.cached_tokens));
            }
            text.push('\n');
        }
        Ok(text)
    }
}

/// Prints the number of requests of each client account by their outcome, without the request ids.
fn summarise(simulation: &Simulation) -> String {
    let mut counts = BTreeMap::new();
    for record in simulation.clients.records().values() {
        let line = format!("{}: {}", record.account, record.describe());
        *counts.entry(line).or_insert(0) += 1;
    }
    counts.into_iter().map(|(line, count)| format!("{count} of {line}\n")).collect()
}
