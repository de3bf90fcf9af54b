//! `service`: sets the faults of an instance of the plain service.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Sets the faults of an instance of the plain service.
pub(super) struct ServiceStep;

#[async_trait(?Send)]
impl Step for ServiceStep {
    fn name(&self) -> &'static str {
        "service"
    }

    fn usage(&self) -> &'static str {
        "service name=INSTANCE [delay_ms=N] [refuses=BOOL] [lost_answers=N]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("name", "an instance")?;
        let delay = arguments.take_time("delay_ms")?;
        let refuses = arguments.take_optional("refuses", "true or false")?;
        let lost_answers = arguments.take_optional("lost_answers", "a count")?;
        arguments.finish()?;
        simulation.service(&name)?.set_faults(|faults| {
            faults.delay = delay.unwrap_or(faults.delay);
            faults.refuses = refuses.unwrap_or(faults.refuses);
            faults.lost_responses = lost_answers.unwrap_or(faults.lost_responses);
        });
        Ok(String::new())
    }
}
