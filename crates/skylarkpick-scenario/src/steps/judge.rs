//! `judge`: judges every promise.

use super::{Step, world_of};
use crate::{arguments::Arguments, error::StepError, world::World};
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
        world: &mut Option<World>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        arguments.finish()?;
        let broken = world.judge();
        if broken.is_empty() {
            return Ok("every promise held\n".to_string());
        }
        Ok(broken.iter().map(|broken| format!("{broken}\n")).collect())
    }
}
