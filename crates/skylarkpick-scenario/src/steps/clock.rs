//! `clock`: steps the wall clock of an entry process.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Steps the wall clock of an entry process.
pub(super) struct ClockStep;

#[async_trait(?Send)]
impl Step for ClockStep {
    fn name(&self) -> &'static str {
        "clock"
    }

    fn usage(&self) -> &'static str {
        "clock name=PROCESS step_ms=N"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("name", "an entry process")?;
        let step_ms = arguments.take("step_ms", "milliseconds")?;
        arguments.finish()?;
        simulation.entry(&name)?.clock.step(step_ms);
        Ok(String::new())
    }
}
