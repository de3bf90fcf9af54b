//! `order`: sends an order to a runner, as the holder of an expired lease might.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, names, simulation::Simulation};
use async_trait::async_trait;
use skylarkpick_interface::{Order, OrderError, OrderKind, Runner};

/// Sends a runner the order to load weights, past the planner, as the holder of an expired lease
/// might.
pub(super) struct OrderStep;

#[async_trait(?Send)]
impl Step for OrderStep {
    fn name(&self) -> &'static str {
        "order"
    }

    fn usage(&self) -> &'static str {
        "order runner=RUNNER fencing_number=N weight_version=N"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("runner", "a runner")?;
        let fencing_number = arguments.take("fencing_number", "a number")?;
        let weight_version = arguments.take("weight_version", "a version")?;
        arguments.finish()?;
        let kind = OrderKind::Load {
            model: names::MODEL.to_string(),
            weight_version,
            adapters: Vec::new(),
        };
        let order = Order { fencing_number, kind };
        Ok(match simulation.runner(&name)?.order(order).await {
            Ok(()) => "carried out\n".to_string(),
            Err(OrderError::Fenced(_)) => "refused for its fencing number\n".to_string(),
            Err(error) => format!("{error}\n"),
        })
    }
}
