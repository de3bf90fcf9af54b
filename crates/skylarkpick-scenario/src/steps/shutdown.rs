//! `shutdown`: shuts an entry process down gracefully.

use super::{Step, started_simulation};
use crate::{arguments::Arguments, error::StepError, process::RunState, simulation::Simulation};
use async_trait::async_trait;
use std::time::Duration;

/// Interval at which the number of requests in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the failing readiness check until the process stops accepting requests.
const DRAIN_NOTICE: Duration = Duration::from_secs(3);

/// Shuts an entry process down gracefully: drains it, and ends it once it is idle.
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
        let simulation = started_simulation(simulation)?;
        let name: String = arguments.take("name", "an entry process")?;
        let timeout = arguments.take_time("timeout_ms")?.unwrap_or(Duration::from_secs(120));
        arguments.finish()?;
        let in_flight = requests_in_flight(simulation, &name);
        simulation.in_flight_at_shutdown.insert(name.clone(), in_flight.clone());
        let entry = simulation.entry(&name)?.entry.clone();
        entry.drain();
        // In this time, the load balancer notices the failing readiness check.
        tokio::time::sleep(DRAIN_NOTICE).await;
        let idle = async {
            while entry.in_flight_requests() > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let is_idle = tokio::time::timeout(timeout, idle).await.is_ok();
        // The last events of the responses are still on their way to the clients.
        tokio::time::sleep(POLL_INTERVAL).await;
        simulation.set_run_state(&name, RunState::Dead)?;
        let ready = if entry.is_ready() { "ready" } else { "not ready" };
        let end = if is_idle { "idle" } else { "still busy" };
        Ok(format!("{} requests waited; {ready}, {end} at the end\n", in_flight.len()))
    }
}

fn requests_in_flight(simulation: &Simulation, name: &str) -> Vec<String> {
    let records = simulation.clients.records();
    let in_flight =
        records.iter().filter(|(_, record)| record.entry == name && record.outcome.is_none());
    in_flight.map(|(id, _)| id.clone()).collect()
}
