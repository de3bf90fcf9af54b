//! `advance`: lets time pass.

use super::{Step, world_of};
use crate::{arguments::Arguments, error::StepError, world::World};
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
        world: &mut Option<World>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        world_of(world)?;
        let time: u64 = arguments.take("ms", "milliseconds")?;
        arguments.finish()?;
        tokio::time::sleep(Duration::from_millis(time)).await;
        Ok(String::new())
    }
}
