//! `kill`, `pause`, `resume` and `start`: change the run state of an entry process or a target.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, process::RunState, simulation::Simulation};
use async_trait::async_trait;

/// Kills a process or a target.
pub(super) struct KillStep;
/// Suspends a process or a runner.
pub(super) struct PauseStep;
/// Resumes a suspended process or runner.
pub(super) struct ResumeStep;
/// Restarts a killed process or target.
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
        set_run_state(started_simulation(simulation)?, arguments, RunState::Dead)
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
        set_run_state(started_simulation(simulation)?, arguments, RunState::Paused)
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
        set_run_state(started_simulation(simulation)?, arguments, RunState::Running)
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
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("name", "a process or target")?;
        arguments.finish()?;
        simulation.configurations.record_disturbance();
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
    process.control.set(RunState::Dead);
    let data_centres = &simulation.settings.data_centres;
    let data_centre_index = data_centres.iter().position(|name| *name == process.data_centre);
    let index = name.rsplit('-').next().and_then(|index| index.parse().ok());
    let (data_centre_index, index) = data_centre_index.zip(index).ok_or_else(unknown)?;
    simulation.spawn_entry(data_centre_index, index, process.start_count + 1);
    Ok(())
}

fn set_run_state(
    simulation: &mut Simulation,
    mut arguments: Arguments,
    state: RunState,
) -> Result<String, StepError> {
    let name: String = arguments.take("name", "a process or target")?;
    arguments.finish()?;
    simulation.configurations.record_disturbance();
    let is_dead = state == RunState::Dead;
    if let Some(target) = simulation.runners.get(&name) {
        target.set_faults(|faults| {
            faults.dead |= is_dead;
            faults.frozen = state == RunState::Paused;
        });
    } else if let Some(target) = simulation.stores.get(&name) {
        target.set_faults(|faults| faults.dead |= is_dead);
    } else if let Some(target) = simulation.services.get(&name) {
        target.set_faults(|faults| faults.dead |= is_dead);
    } else {
        simulation.set_run_state(&name, state)?;
    }
    Ok(String::new())
}
