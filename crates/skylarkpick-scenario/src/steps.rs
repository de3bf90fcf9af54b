//! The steps of the scenario language, as implementations of [`Step`].

mod advance;
mod call;
mod check;
mod clock;
mod fleet;
mod judge;
mod leave;
mod lifecycle;
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

/// Time after which a request that a client sent has arrived at its entry process.
const ARRIVAL_DELAY: Duration = Duration::from_millis(1);

/// A step of the scenario language.
#[async_trait(?Send)]
pub trait Step {
    /// Returns the name of the step, which is the first word of its line.
    fn name(&self) -> &'static str;

    /// Returns the synopsis of the step, as in docs/SCENARIOS.md.
    fn usage(&self) -> &'static str;

    /// Runs the step, and returns the text that is compared with the expected result in the file.
    ///
    /// # Errors
    /// When the arguments do not match the synopsis.
    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        arguments: Arguments,
    ) -> Result<String, StepError>;
}

/// Returns all steps of the language.
pub fn all_steps() -> Vec<Box<dyn Step>> {
    vec![
        Box::new(fleet::FleetStep),
        Box::new(send::SendStep),
        Box::new(call::CallStep),
        Box::new(stream::CloseStep),
        Box::new(stream::ResumeStreamStep),
        Box::new(wait::WaitStep),
        Box::new(advance::AdvanceStep),
        Box::new(lifecycle::KillStep),
        Box::new(lifecycle::PauseStep),
        Box::new(lifecycle::ResumeStep),
        Box::new(lifecycle::StartStep),
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

/// Runs the step of this name.
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

/// Returns the simulation, which the `fleet` step has started.
fn started_simulation(simulation: &mut Option<Simulation>) -> Result<&mut Simulation, StepError> {
    simulation.as_mut().ok_or(StepError::NoFleet)
}
