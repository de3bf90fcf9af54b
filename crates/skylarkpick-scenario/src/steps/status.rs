//! `status`: prints the run state and the configuration version of each entry process.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, process::RunState, simulation::Simulation};
use async_trait::async_trait;

/// Prints the run state and the configuration version of each entry process.
pub(super) struct StatusStep;

#[async_trait(?Send)]
impl Step for StatusStep {
    fn name(&self) -> &'static str {
        "status"
    }

    fn usage(&self) -> &'static str {
        "status"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        arguments.finish()?;
        let mut text = String::new();
        for (name, process) in &simulation.entries {
            let state = match process.control.state() {
                RunState::Running if process.entry.is_ready() => "ready",
                RunState::Running => "not ready",
                RunState::Paused => "paused",
                RunState::Dead => "dead",
            };
            let version = process.entry.active_configuration().version;
            text.push_str(&format!("{name}: {state}, version {version}\n"));
        }
        Ok(text)
    }
}
