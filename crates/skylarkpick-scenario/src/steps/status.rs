//! `status`: prints the version in force in each entry process.

use super::{Step, started};
use crate::{arguments::Arguments, error::StepError, process::LifeState, simulation::Simulation};
use async_trait::async_trait;

/// Prints the version in force in each entry process.
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
        let simulation = started(simulation)?;
        arguments.finish()?;
        let mut text = String::new();
        for (name, process) in &simulation.entries {
            let life = match process.life.state() {
                LifeState::Running if process.entry.is_ready() => "ready",
                LifeState::Running => "not ready",
                LifeState::Paused => "paused",
                LifeState::Dead => "dead",
            };
            let version = process.entry.active_configuration().version;
            text.push_str(&format!("{name}: {life}, version {version}\n"));
        }
        Ok(text)
    }
}
