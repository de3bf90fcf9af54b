//! `advance`: lets time pass.

use super::{Step, started};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;
use std::time::Duration;

/// Lets time pass.
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
        started(simulation)?;
        let time: u64 = arguments.take("ms", "milliseconds")?;
        arguments.finish()?;
        tokio::time::sleep(Duration::from_millis(time)).await;
        Ok(String::new())
    }
}
