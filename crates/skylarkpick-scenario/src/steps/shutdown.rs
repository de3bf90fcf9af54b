//! `shutdown`: asks an entry process to end gracefully.

use super::{Step, started};
use crate::{arguments::Arguments, error::StepError, process::LifeState, simulation::Simulation};
use async_trait::async_trait;
use std::time::Duration;

/// Time between two looks at the requests under way.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the failing readiness check to closing the door.
const NOTICE: Duration = Duration::from_secs(3);

/// Asks an entry process to end gracefully, and ends it once it is idle.
pub(super) struct ShutdownStep;

#[async_trait(?Send)]
impl Step for ShutdownStep {
    fn name(&self) -> &'static str {
        "shutdown"
    }

    fn usage(&self) -> &'static str {
        "shutdown name=PROCESS [timeout_ms=N]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        let simulation = started(simulation)?;
        let name: String = arguments.take("name", "an entry process")?;
        let timeout = arguments.take_time("timeout_ms")?.unwrap_or(Duration::from_secs(120));
        arguments.finish()?;
        let waiting = waiting_at(simulation, &name);
        simulation.shut_down.insert(name.clone(), waiting.clone());
        let entry = simulation.entry(&name)?.entry.clone();
        entry.drain();
        // The balancer notices the failing readiness check in this time.
        tokio::time::sleep(NOTICE).await;
        let idle = async {
            while entry.in_flight_requests() > 0 {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        let ended = tokio::time::timeout(timeout, idle).await.is_ok();
        // The last events of the answers are on their way to the callers.
        tokio::time::sleep(LOOK_INTERVAL).await;
        simulation.set_life(&name, LifeState::Dead)?;
        let ready = if entry.is_ready() { "ready" } else { "not ready" };
        let end = if ended { "idle" } else { "still busy" };
        Ok(format!("{} requests waited; {ready}, {end} at the end\n", waiting.len()))
    }
}

fn waiting_at(simulation: &Simulation, name: &str) -> Vec<String> {
    let records = simulation.callers.records();
    let waiting =
        records.iter().filter(|(_, record)| record.entry == name && record.ended.is_none());
    waiting.map(|(id, _)| id.clone()).collect()
}
