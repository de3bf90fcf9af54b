//! `cut` and `heal`: the network between data centres and the platform.

use super::{Step, started};
use crate::{
    arguments::{Arguments, bad_argument},
    error::StepError,
    network::Network,
    simulation::Simulation,
};
use async_trait::async_trait;

/// Cuts two places off from each other.
pub(super) struct CutStep;
/// Heals a cut.
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
        change_link(started(simulation)?, arguments, Network::cut)
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
        change_link(started(simulation)?, arguments, Network::heal)
    }
}

/// Changes the link between the two places that the arguments name.
fn change_link(
    simulation: &Simulation,
    arguments: Arguments,
    change: fn(&Network, &str, &str),
) -> Result<String, StepError> {
    let (one, other) = read_pair(arguments)?;
    change(&simulation.network, &one, &other);
    simulation.force.note_disturbance();
    Ok(String::new())
}

fn read_pair(mut arguments: Arguments) -> Result<(String, String), StepError> {
    let places = arguments.take_list("between");
    arguments.finish()?;
    match places.as_slice() {
        [one, other] => Ok((one.clone(), other.clone())),
        _ => Err(bad_argument("between", &places.join(","), "two places")),
    }
}
