//! `judge`: judges every promise.

use super::{Step, started};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Judges every promise by what targets, callers and the platform show.
pub(super) struct JudgeStep;

#[async_trait(?Send)]
impl Step for JudgeStep {
    fn name(&self) -> &'static str {
        "judge"
    }

    fn usage(&self) -> &'static str {
        "judge"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started(simulation)?;
        arguments.finish()?;
        let broken = simulation.judge();
        if broken.is_empty() {
            return Ok("every promise held\n".to_string());
        }
        Ok(broken.iter().map(|broken| format!("{broken}\n")).collect())
    }
}
