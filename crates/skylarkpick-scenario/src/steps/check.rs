//! `check`: prints a count that the judge does not look at.

use super::{Step, world_of};
use crate::{
    arguments::{Arguments, bad_argument},
    error::StepError,
    world::World,
};
use async_trait::async_trait;
use skylarkpick_interface::Runner;

/// Prints a count that the judge does not look at.
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
        world: &mut Option<World>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        let what: String = arguments.take("what", "a count")?;
        arguments.finish()?;
        match what.as_str() {
            "calls" => Ok(calls(world)),
            "runs" => Ok(runs(world)),
            "active" => Ok(active(world)),
            "weights" => Ok(weights(world).await),
            "loads" => Ok(format!(
                "{} loads at once at most\n",
                world.weight_store.peak_concurrent_loads()
            )),
            "link" => Ok(link(world)),
            other => {
                Err(bad_argument("what", other, "calls, runs, active, weights, loads or link"))
            }
        }
    }
}

fn calls(world: &World) -> String {
    let count: usize = world.services.values().map(|target| target.ledger().len()).sum();
    format!("{count} calls ran\n")
}

fn runs(world: &World) -> String {
    let count: usize = world.runners.values().map(|target| target.ledger().len()).sum();
    format!("{count} runs were taken up\n")
}

/// Runs that a living runner goes on with.
fn active(world: &World) -> String {
    let ledgers = world.runners.values().map(|target| target.ledger());
    let count = ledgers.flatten().filter(|run| run.finished.is_none()).count();
    format!("{count} runs go on\n")
}

async fn weights(world: &World) -> String {
    let mut text = String::new();
    for (name, target) in &world.runners {
        let line = match target.status().await {
            Ok(status) => format!("{name}: weight version {}\n", status.weight_version),
            Err(_) => format!("{name}: not reached\n"),
        };
        text.push_str(&line);
    }
    text
}

fn link(world: &World) -> String {
    let bytes: u64 = world.stores.values().map(|target| target.link_carried_bytes()).sum();
    if bytes > 0 { "links were used\n".to_string() } else { "links were not used\n".to_string() }
}
