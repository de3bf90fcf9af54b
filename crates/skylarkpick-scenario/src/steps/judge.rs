//! `judge`: checks all guarantees.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Checks all guarantees and prints the violations.
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
        let simulation = started_simulation(simulation)?;
        arguments.finish()?;
        let violations = simulation.check_guarantees();
        if violations.is_empty() {
            return Ok("every promise held\n".to_string());
        }
        Ok(violations.iter().map(|violation| format!("{violation}\n")).collect())
    }
}
