//! `advance`: advances the virtual time.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;
use std::time::Duration;

/// Advances the virtual time.
pub(super) struct AdvanceStep;

#[async_trait(?Send)]
impl Step for AdvanceStep {
    fn name(&self) -> &'static str {
        "advance"
    }

    fn usage(&self) -> &'static str {
        "advance ms=N"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        started_simulation(simulation)?;
        let duration_ms: u64 = arguments.take("ms", "milliseconds")?;
        arguments.finish()?;
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
        Ok(String::new())
    }
}
