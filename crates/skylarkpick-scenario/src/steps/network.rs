//! `cut` and `heal`: network partitions between data centres, or a data centre and the platform.

use super::{Step, started_simulation};
use crate::{
    arguments::{Arguments, bad_argument},
    error::StepError,
    network::Network,
    simulation::Simulation,
};
use async_trait::async_trait;

/// Starts a network partition.
pub(super) struct CutStep;
/// Ends a network partition.
pub(super) struct HealStep;

#[async_trait(?Send)]
impl Step for CutStep {
    fn name(&self) -> &'static str {
        "cut"
    }

    fn usage(&self) -> &'static str {
        "cut between=(CENTRE,CENTRE-OR-platform)"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        change_link(started_simulation(simulation)?, arguments, Network::partition)
    }
}

#[async_trait(?Send)]
impl Step for HealStep {
    fn name(&self) -> &'static str {
        "heal"
    }

    fn usage(&self) -> &'static str {
        "heal between=(CENTRE,CENTRE-OR-platform)"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        change_link(started_simulation(simulation)?, arguments, Network::heal)
    }
}

/// Changes the link between the two data centres, or the data centre and the platform, that the
/// arguments name.
fn change_link(
    simulation: &Simulation,
    arguments: Arguments,
    change: fn(&Network, &str, &str),
) -> Result<String, StepError> {
    let (one, other) = read_pair(arguments)?;
    change(&simulation.network, &one, &other);
    simulation.configurations.record_disturbance();
    Ok(String::new())
}

fn read_pair(mut arguments: Arguments) -> Result<(String, String), StepError> {
    let names = arguments.take_list("between");
    arguments.finish()?;
    match names.as_slice() {
        [one, other] => Ok((one.clone(), other.clone())),
        _ => Err(bad_argument(
            "between",
            &names.join(","),
            "two data centres, or a data centre and `platform`",
        )),
    }
}
