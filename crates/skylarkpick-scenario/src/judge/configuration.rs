//! Whether accepted configurations came into force in time and never reverted.

use super::{Guarantee, Verdicts};
use crate::{names, process::LifeState, simulation::Simulation};
use skylarkpick_config::{CONFIGURATION_KEY, ConfigurationRecord};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time from acceptance, or from the last repair, to in force on every reachable process.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    judge_order(simulation, verdicts);
    judge_stored(simulation, verdicts);
    judge_in_force(simulation, verdicts);
}

/// No process goes back to a lower version as long as it runs.
fn judge_order(simulation: &Simulation, verdicts: &mut Verdicts) {
    let mut last = BTreeMap::new();
    for look in simulation.force.changes() {
        let key = (look.process.clone(), look.starts);
        let before = last.insert(key, look.version).unwrap_or_default();
        if look.version < before {
            let detail =
                format!("{} went back from version {before} to {}", look.process, look.version);
            verdicts.break_promise(Guarantee::ConfigurationInForce, detail);
        }
    }
}

/// The platform holds at least the highest version that an operator was told is accepted.
fn judge_stored(simulation: &Simulation, verdicts: &mut Verdicts) {
    let objects = simulation.platform.objects();
    let stored = objects.get(CONFIGURATION_KEY);
    let record: Option<ConfigurationRecord> =
        stored.and_then(|object| serde_json::from_slice(&object.value).ok());
    let stored = record.map_or(0, |record| record.version);
    let accepted = simulation.force.accepted().iter().map(|accepted| accepted.version).max();
    if accepted.unwrap_or_default() > stored {
        let detail = format!("version {accepted:?} was accepted, but the platform holds {stored}");
        verdicts.break_promise(Guarantee::ConfigurationInForce, detail);
    }
}

fn judge_in_force(simulation: &Simulation, verdicts: &mut Verdicts) {
    let now = Instant::now();
    let calm_since = simulation.force.last_disturbance();
    let due = simulation.force.accepted().into_iter().filter(|accepted| {
        let since = calm_since.map_or(accepted.at, |calm| calm.max(accepted.at));
        now.duration_since(since) >= IN_FORCE_LIMIT
    });
    let Some(version) = due.map(|accepted| accepted.version).max() else { return };
    for (name, process) in &simulation.entries {
        let running = process.life.state() == LifeState::Running;
        let in_force = process.entry.active_configuration().version;
        if running && in_force < version && is_reachable(simulation, &process.data_centre) {
            let detail = format!("{name} has version {in_force}, {version} was accepted");
            verdicts.break_promise(Guarantee::ConfigurationInForce, detail);
        }
    }
}

/// Whether a data centre reaches the platform, directly or through another data centre.
fn is_reachable(simulation: &Simulation, data_centre: &str) -> bool {
    let mut reached = vec![names::PLATFORM.to_string()];
    let mut index = 0;
    while let Some(from) = reached.get(index).cloned() {
        for centre in &simulation.plan.centres {
            if !reached.contains(centre) && !simulation.network.is_cut(&from, centre) {
                reached.push(centre.clone());
            }
        }
        index += 1;
    }
    reached.iter().any(|centre| centre == data_centre)
}
