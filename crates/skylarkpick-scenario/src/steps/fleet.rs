//! `fleet`: starts the simulated fleet.

use super::Step;
use crate::{
    arguments::Arguments,
    error::StepError,
    names,
    simulation::{FleetSettings, Simulation},
};
use async_trait::async_trait;
use skylarkpick_standin::{RunnerSettings, StoreSettings};
use std::time::Duration;

/// Time that the fleet has to become ready before the next step.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Starts the simulated fleet.
pub(super) struct FleetStep;

#[async_trait(?Send)]
impl Step for FleetStep {
    fn name(&self) -> &'static str {
        "fleet"
    }

    fn usage(&self) -> &'static str {
        "fleet [centres=(a,b)] [entries=N] [runners=N] [stores=N] [services=N] [slots=N] \
         [cache_blocks=N] [prefill_tokens_per_second=N] [token_interval_ms=N] [event_lag_ms=N] \
         [link_bytes_per_second=N] [store_size_bytes=N] [loads_limit=N] [ignores_fencing]"
    }

    async fn run(
        &self,
        simulation: &mut Option<Simulation>,
        mut arguments: Arguments,
    ) -> Result<String, StepError> {
        if simulation.is_some() {
            return Err(StepError::NoFleet);
        }
        let settings = read_settings(&mut arguments)?;
        arguments.finish()?;
        let spawned = Simulation::spawn(settings).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let ready = spawned.entries.values().filter(|process| process.entry.is_ready()).count();
        let text = format!("{ready} of {} entry processes ready\n", spawned.entries.len());
        *simulation = Some(spawned);
        Ok(text)
    }
}

fn read_settings(arguments: &mut Arguments) -> Result<FleetSettings, StepError> {
    let mut data_centres = arguments.take_list("centres");
    if data_centres.is_empty() {
        data_centres.push("a".to_string());
    }
    let token_interval = arguments.take_time("token_interval_ms")?;
    let ignores_fencing = arguments.take_flag("ignores_fencing");
    let store_size_bytes = arguments.take_or("store_size_bytes", "bytes", 64 << 30)?;
    Ok(FleetSettings {
        data_centres,
        entries: arguments.take_or("entries", "a count", 2)?,
        runners: arguments.take_or("runners", "a count", 2)?,
        stores: arguments.take_or("stores", "a count", 0)?,
        services: arguments.take_or("services", "a count", 1)?,
        ignores_fencing,
        loads_limit: arguments.take_or("loads_limit", "a count", 2)?,
        runner: RunnerSettings {
            checks_fencing: !ignores_fencing,
            model: names::MODEL.to_string(),
            slots: arguments.take_or("slots", "a count", 8)?,
            cache_blocks: arguments.take_or("cache_blocks", "a count", 256)?,
            prefill_tokens_per_second: arguments.take_or(
                "prefill_tokens_per_second",
                "tokens a second",
                20_000.0,
            )?,
            token_interval: token_interval.unwrap_or(Duration::from_millis(20)),
            event_lag: arguments.take_time("event_lag_ms")?.unwrap_or(Duration::from_millis(300)),
            ..RunnerSettings::default()
        },
        store: StoreSettings {
            memory_size_bytes: store_size_bytes,
            disk_size_bytes: store_size_bytes,
            link_bytes_per_second: arguments.take_or(
                "link_bytes_per_second",
                "bytes a second",
                12.5e9,
            )?,
            ..StoreSettings::default()
        },
    })
}
