//! Checks that accepted configurations are in force in time and are never reverted.

use super::{Guarantee, Violations};
use crate::{names, process::RunState, simulation::Simulation};
use skylarkpick_config::{CONFIGURATION_KEY, ConfigurationRecord};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time within which an accepted version must be in force in all reachable processes. It starts
/// anew with each fault and each end of a fault.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    check_order(simulation, violations);
    check_stored(simulation, violations);
    check_in_force(simulation, violations);
}

/// The version in force in a process never decreases between two starts of the process.
fn check_order(simulation: &Simulation, violations: &mut Violations) {
    let mut last = BTreeMap::new();
    for observed in simulation.configurations.changes() {
        let key = (observed.process.clone(), observed.start_count);
        let previous = last.insert(key, observed.version).unwrap_or_default();
        if observed.version < previous {
            let detail = format!(
                "{} reverted from version {previous} to {}",
                observed.process, observed.version
            );
            violations.add(Guarantee::ConfigurationInForce, detail);
        }
    }
}

/// The platform stores at least the highest version that was reported as accepted.
fn check_stored(simulation: &Simulation, violations: &mut Violations) {
    let objects = simulation.platform.objects();
    let stored = objects.get(CONFIGURATION_KEY);
    let record: Option<ConfigurationRecord> =
        stored.and_then(|object| serde_json::from_slice(&object.value).ok());
    let stored = record.map_or(0, |record| record.version);
    let accepted =
        simulation.configurations.accepted().iter().map(|accepted| accepted.version).max();
    if accepted.unwrap_or_default() > stored {
        let detail = format!("version {accepted:?} was accepted, but the platform stores {stored}");
        violations.add(Guarantee::ConfigurationInForce, detail);
    }
}

/// Accepted versions are in force in all reachable processes within the time limit.
fn check_in_force(simulation: &Simulation, violations: &mut Violations) {
    let now = Instant::now();
    let last_disturbance = simulation.configurations.last_disturbance();
    let due = simulation.configurations.accepted().into_iter().filter(|accepted| {
        let since = last_disturbance.map_or(accepted.at, |at| at.max(accepted.at));
        now.duration_since(since) >= IN_FORCE_LIMIT
    });
    let Some(version) = due.map(|accepted| accepted.version).max() else { return };
    for (name, process) in &simulation.entries {
        let running = process.control.state() == RunState::Running;
        let in_force = process.entry.active_configuration().version;
        if running && in_force < version && is_reachable(simulation, &process.data_centre) {
            let detail =
                format!("version {in_force} is in force in {name}, but {version} was accepted");
            violations.add(Guarantee::ConfigurationInForce, detail);
        }
    }
}

/// Whether a data centre reaches the platform, directly or through other data centres.
fn is_reachable(simulation: &Simulation, data_centre: &str) -> bool {
    let mut reached = vec![names::PLATFORM.to_string()];
    let mut index = 0;
    while let Some(from) = reached.get(index).cloned() {
        for next in &simulation.settings.data_centres {
            if !reached.contains(next) && !simulation.network.is_partitioned(&from, next) {
                reached.push(next.clone());
            }
        }
        index += 1;
    }
    reached.iter().any(|name| name == data_centre)
}
