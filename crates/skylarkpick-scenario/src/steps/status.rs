//! `status`: prints the version in force in each entry process.

use super::{Step, world_of};
use crate::{arguments::Arguments, error::StepError, process::LifeState, world::World};
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
        world: &mut Option<World>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        arguments.finish()?;
        let mut text = String::new();
        for (name, process) in &world.entries {
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
