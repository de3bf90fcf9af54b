//! The steps of the scenario language, one a file, behind one trait.

mod advance;
mod call;
mod check;
mod clock;
mod fleet;
mod judge;
mod leave;
mod life;
mod network;
mod order;
mod patch;
mod platform;
mod runner;
mod send;
mod service;
mod shutdown;
mod status;
mod store;
mod stream;
mod wait;

use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;
use std::time::Duration;

/// Time for a request to reach its entry process.
const WAY_IN: Duration = Duration::from_millis(1);

/// One step of the scenario language.
#[async_trait(?Send)]
pub trait Step {
    /// Word that begins the step.
    fn name(&self) -> &'static str;

    /// The step with its arguments, as docs/SCENARIOS.md shows it.
    fn usage(&self) -> &'static str;

    /// Carries the step out and gives the text that the file's expectation is held against.
    ///
    /// # Errors
    /// When the step is not written as its usage says.
    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError>;
}

/// Every step of the language.
pub fn all_steps() -> Vec<Box<dyn Step>> {
    vec![
        Box::new(fleet::FleetStep),
        Box::new(send::SendStep),
        Box::new(call::CallStep),
        Box::new(stream::CloseStep),
        Box::new(stream::TakeUpStep),
        Box::new(wait::WaitStep),
        Box::new(advance::AdvanceStep),
        Box::new(life::KillStep),
        Box::new(life::PauseStep),
        Box::new(life::ResumeStep),
        Box::new(life::StartStep),
        Box::new(shutdown::ShutdownStep),
        Box::new(network::CutStep),
        Box::new(network::HealStep),
        Box::new(platform::PlatformStep),
        Box::new(store::StoreStep),
        Box::new(runner::RunnerStep),
        Box::new(service::ServiceStep),
        Box::new(patch::PatchStep),
        Box::new(order::OrderStep),
        Box::new(leave::LeaveStep),
        Box::new(clock::ClockStep),
        Box::new(status::StatusStep),
        Box::new(check::CheckStep),
        Box::new(judge::JudgeStep),
    ]
}

/// Runs the step that a line of a scenario names.
pub(crate) async fn run_step(
    name: &str,
    simulation: &mut Option<Simulation>,
    arguments: Arguments,
) -> Result<String, StepError> {
    let steps = all_steps();
    let step = steps.iter().find(|step| step.name() == name);
    let step = step.ok_or_else(|| StepError::UnknownStep(name.to_string()))?;
    step.run(simulation, arguments).await
}

/// The fleet, once there is one.
fn started(simulation: &mut Option<Simulation>) -> Result<&mut Simulation, StepError> {
    simulation.as_mut().ok_or(StepError::NoFleet)
}
