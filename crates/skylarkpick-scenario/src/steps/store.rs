//! `store`: sets the faults of a store.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, simulation::Simulation};
use async_trait::async_trait;

/// Sets the faults of a store.
pub(super) struct StoreStep;

#[async_trait(?Send)]
impl Step for StoreStep {
    fn name(&self) -> &'static str {
        "store"
    }

    fn usage(&self) -> &'static str {
        "store name=STORE [full=BOOL] [link_factor=F] [alters_content=BOOL]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("name", "a store")?;
        let full = arguments.take_optional("full", "true or false")?;
        let link_factor = arguments.take_optional("link_factor", "a factor")?;
        let alters_content = arguments.take_optional("alters_content", "true or false")?;
        arguments.finish()?;
        simulation.store(&name)?.set_faults(|faults| {
            faults.full = full.unwrap_or(faults.full);
            faults.link_factor = link_factor.unwrap_or(faults.link_factor);
            faults.corrupts_content = alters_content.unwrap_or(faults.corrupts_content);
        });
        Ok(String::new())
    }
}
