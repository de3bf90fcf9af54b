//! `check`: prints a count that the guarantees do not cover.

use super::{Step, started_simulation};
use crate::{
    arguments::{Arguments, bad_argument},
    error::StepError,
    simulation::Simulation,
};
use async_trait::async_trait;
use skylarkpick_interface::Runner;

/// Prints a count that the guarantees do not cover.
pub(super) struct CheckStep;

#[async_trait(?Send)]
impl Step for CheckStep {
    fn name(&self) -> &'static str {
        "check"
    }

    fn usage(&self) -> &'static str {
        "check what=calls|runs|active|weights|loads|link"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let what: String = arguments.take("what", "a count")?;
        arguments.finish()?;
        match what.as_str() {
            "calls" => Ok(calls(simulation)),
            "runs" => Ok(runs(simulation)),
            "active" => Ok(active(simulation)),
            "weights" => Ok(weights(simulation).await),
            "loads" => Ok(format!(
                "{} loads at once at most\n",
                simulation.weight_store.peak_concurrent_loads()
            )),
            "link" => Ok(link(simulation)),
            other => {
                Err(bad_argument("what", other, "calls, runs, active, weights, loads or link"))
            }
        }
    }
}

fn calls(simulation: &Simulation) -> String {
    let count: usize = simulation.services.values().map(|target| target.ledger().len()).sum();
    format!("{count} calls ran\n")
}

fn runs(simulation: &Simulation) -> String {
    let count: usize = simulation.runners.values().map(|target| target.ledger().len()).sum();
    format!("{count} runs were taken up\n")
}

/// Prints the number of runs that have not ended.
fn active(simulation: &Simulation) -> String {
    let ledgers = simulation.runners.values().map(|target| target.ledger());
    let count = ledgers.flatten().filter(|run| run.finished.is_none()).count();
    format!("{count} runs go on\n")
}

async fn weights(simulation: &Simulation) -> String {
    let mut text = String::new();
    for (name, target) in &simulation.runners {
        let line = match target.status().await {
            Ok(status) => format!("{name}: weight version {}\n", status.weight_version),
            Err(_) => format!("{name}: not reached\n"),
        };
        text.push_str(&line);
    }
    text
}

fn link(simulation: &Simulation) -> String {
    let bytes: u64 = simulation.stores.values().map(|target| target.link_carried_bytes()).sum();
    if bytes > 0 { "links were used\n".to_string() } else { "links were not used\n".to_string() }
}
