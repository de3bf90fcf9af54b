//! `kill`, `pause`, `resume` and `start`: the life of an entry process or a target.

use super::{Step, started};
use crate::{arguments::Arguments, error::StepError, process::LifeState, simulation::Simulation};
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
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        set(started(simulation)?, arguments, LifeState::Dead)
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
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        set(started(simulation)?, arguments, LifeState::Paused)
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
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError> {
        set(started(simulation)?, arguments, LifeState::Running)
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
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started(simulation)?;
        let name: String = arguments.take("name", "a process or target")?;
        arguments.finish()?;
        simulation.force.note_disturbance();
        if let Some(target) = simulation.stores.get(&name) {
            target.restart();
        } else if let Some(target) = simulation.runners.get(&name) {
            target.set_faults(|faults| faults.dead = false);
        } else if let Some(target) = simulation.services.get(&name) {
            target.set_faults(|faults| faults.dead = false);
        } else {
            start_entry(simulation, &name)?;
        }
        Ok(String::new())
    }
}

fn start_entry(simulation: &mut Simulation, name: &str) -> Result<(), StepError> {
    let unknown = || StepError::UnknownName(name.to_string());
    let process = simulation.entries.remove(name).ok_or_else(unknown)?;
    process.life.set(LifeState::Dead);
    let centres = &simulation.plan.centres;
    let centre = centres.iter().position(|centre| *centre == process.data_centre);
    let index = name.rsplit('-').next().and_then(|index| index.parse().ok());
    let (centre, index) = centre.zip(index).ok_or_else(unknown)?;
    simulation.spawn_entry(centre, index, process.starts + 1);
    Ok(())
}

fn set(
    simulation: &mut Simulation,
    mut arguments: Arguments,
    state: LifeState,
) -> Result<String, StepError> {
    let name: String = arguments.take("name", "a process or target")?;
    arguments.finish()?;
    simulation.force.note_disturbance();
    let dead = state == LifeState::Dead;
    if let Some(target) = simulation.runners.get(&name) {
        target.set_faults(|faults| {
            faults.dead |= dead;
            faults.frozen = state == LifeState::Paused;
        });
    } else if let Some(target) = simulation.stores.get(&name) {
        target.set_faults(|faults| faults.dead |= dead);
    } else if let Some(target) = simulation.services.get(&name) {
        target.set_faults(|faults| faults.dead |= dead);
    } else {
        simulation.set_life(&name, state)?;
    }
    Ok(String::new())
}
