//! `platform`: sets the faults of the platform.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Sets the faults of the platform.
pub(super) struct PlatformStep;

#[async_trait(?Send)]
impl Step for PlatformStep {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn usage(&self) -> &'static str {
        "platform [away] [back] [delay_ms=N] [lost_write_answers=N] [lost_writes=N]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let (away, back) = (arguments.take_flag("away"), arguments.take_flag("back"));
        let delay = arguments.take_time("delay_ms")?;
        let lost_write_answers = arguments.take_optional("lost_write_answers", "a count")?;
        let lost_writes = arguments.take_optional("lost_writes", "a count")?;
        arguments.finish()?;
        simulation.platform.set_faults(|faults| {
            faults.unavailable = (faults.unavailable || away) && !back;
            faults.delay = delay.unwrap_or(faults.delay);
            faults.lost_write_responses = lost_write_answers.unwrap_or(faults.lost_write_responses);
            faults.lost_writes = lost_writes.unwrap_or(faults.lost_writes);
        });
        simulation.configurations.record_disturbance();
        Ok(String::new())
    }
}
