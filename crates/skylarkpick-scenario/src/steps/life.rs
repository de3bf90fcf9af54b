//! `kill`, `pause`, `resume` and `start`: the life of an entry process or a target.

use super::{Step, world_of};
use crate::{arguments::Arguments, error::StepError, process::LifeState, world::World};
use async_trait::async_trait;

/// Ends a process without warning.
pub(super) struct KillStep;
/// Freezes a process.
pub(super) struct PauseStep;
/// Lets a frozen process go on.
pub(super) struct ResumeStep;
/// Starts a killed process again.
pub(super) struct StartStep;

#[async_trait(?Send)]
impl Step for KillStep {
    fn name(&self) -> &'static str {
        "kill"
    }

    fn usage(&self) -> &'static str {
        "kill name=PROCESS-OR-TARGET"
    }

    async fn run(
        &self,
        world: &mut Option<World>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        set(world_of(world)?, arguments, LifeState::Dead)
    }
}

#[async_trait(?Send)]
impl Step for PauseStep {
    fn name(&self) -> &'static str {
        "pause"
    }

    fn usage(&self) -> &'static str {
        "pause name=PROCESS-OR-RUNNER"
    }

    async fn run(
        &self,
        world: &mut Option<World>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        set(world_of(world)?, arguments, LifeState::Paused)
    }
}

#[async_trait(?Send)]
impl Step for ResumeStep {
    fn name(&self) -> &'static str {
        "resume"
    }

    fn usage(&self) -> &'static str {
        "resume name=PROCESS-OR-RUNNER"
    }

    async fn run(
        &self,
        world: &mut Option<World>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        set(world_of(world)?, arguments, LifeState::Running)
    }
}

#[async_trait(?Send)]
impl Step for StartStep {
    fn name(&self) -> &'static str {
        "start"
    }

    fn usage(&self) -> &'static str {
        "start name=PROCESS-OR-TARGET"
    }

    async fn run(
        &self,
        world: &mut Option<World>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let world = world_of(world)?;
        let name: String = arguments.take("name", "a process or target")?;
        arguments.finish()?;
        world.force.note_disturbance();
        if let Some(target) = world.stores.get(&name) {
            target.restart();
        } else if let Some(target) = world.runners.get(&name) {
            target.set_faults(|faults| faults.dead = false);
        } else if let Some(target) = world.services.get(&name) {
            target.set_faults(|faults| faults.dead = false);
        } else {
            start_entry(world, &name)?;
        }
        Ok(String::new())
    }
}

fn start_entry(world: &mut World, name: &str) -> Result<(), StepError> {
    let unknown = || StepError::UnknownName(name.to_string());
    let process = world.entries.remove(name).ok_or_else(unknown)?;
    process.life.set(LifeState::Dead);
    let centres = &world.plan.centres;
    let centre = centres.iter().position(|centre| *centre == process.data_centre);
    let index = name.rsplit('-').next().and_then(|index| index.parse().ok());
    let (centre, index) = centre.zip(index).ok_or_else(unknown)?;
    world.spawn_entry(centre, index, process.starts + 1);
    Ok(())
}

fn set(world: &mut World, mut arguments: Arguments, state: LifeState) -> Result<String, StepError> {
    let name: String = arguments.take("name", "a process or target")?;
    arguments.finish()?;
    world.force.note_disturbance();
    let dead = state == LifeState::Dead;
    if let Some(target) = world.runners.get(&name) {
        target.set_faults(|faults| {
            faults.dead |= dead;
            faults.frozen = state == LifeState::Paused;
        });
    } else if let Some(target) = world.stores.get(&name) {
        target.set_faults(|faults| faults.dead |= dead);
    } else if let Some(target) = world.services.get(&name) {
        target.set_faults(|faults| faults.dead |= dead);
    } else {
        world.set_life(&name, state)?;
    }
    Ok(String::new())
}
