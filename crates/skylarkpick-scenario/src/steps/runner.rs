//! `runner`: sets the faults of a runner.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Sets the faults of a runner.
pub(super) struct RunnerStep;

#[async_trait(?Send)]
impl Step for RunnerStep {
    fn name(&self) -> &'static str {
        "runner"
    }

    fn usage(&self) -> &'static str {
        "runner name=RUNNER [cuts_streams=BOOL] [strays_frames=BOOL] [lost_events=N]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("name", "a runner")?;
        let cuts_streams = arguments.take_optional("cuts_streams", "true or false")?;
        let strays_frames = arguments.take_optional("strays_frames", "true or false")?;
        let lost_events = arguments.take_optional("lost_events", "a count")?;
        arguments.finish()?;
        simulation.runner(&name)?.set_faults(|faults| {
            faults.breaks_streams = cuts_streams.unwrap_or(faults.breaks_streams);
            faults.injects_foreign_frames = strays_frames.unwrap_or(faults.injects_foreign_frames);
            faults.lost_events = lost_events.unwrap_or(faults.lost_events);
        });
        Ok(String::new())
    }
}
