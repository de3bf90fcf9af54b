//! `leave`: a runner begins to leave, since its VM is to be removed.

use super::{Step, started_simulation};
use crate::{
    arguments::{Arguments, bad_argument},
    error::StepError,
    simulation::{LIST_LAG, Simulation},
};
use async_trait::async_trait;
use skylarkpick_interface::VmState;
use tokio::time::Instant;

/// A runner begins to leave. Its own load reports announce it, the platform's VM list, or both.
pub(super) struct LeaveStep;

#[async_trait(?Send)]
impl Step for LeaveStep {
    fn name(&self) -> &'static str {
        "leave"
    }

    fn usage(&self) -> &'static str {
        "leave runner=RUNNER said_by=target|list|both"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("runner", "a runner")?;
        let said_by: String = arguments.take("said_by", "target, list or both")?;
        arguments.finish()?;
        let target = simulation.runner(&name)?;
        let by_target = matches!(said_by.as_str(), "target" | "both");
        let by_list = matches!(said_by.as_str(), "list" | "both");
        if !by_target && !by_list {
            return Err(bad_argument("said_by", &said_by, "target, list or both"));
        }
        if by_target {
            target.leave();
            simulation.leaving_since.insert(name.clone(), Instant::now());
        }
        if by_list {
            simulation.platform.set_vm(&name, VmState::Leaving);
            let listed_at = Instant::now() + LIST_LAG;
            simulation.leaving_since.entry(name).or_insert(listed_at);
        }
        Ok(String::new())
    }
}
