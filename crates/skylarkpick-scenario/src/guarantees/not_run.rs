//! Checks that no target ran a request that failed as "not run".

use super::{Guarantee, Violations};
use crate::{clients::Outcome, simulation::Simulation};
use skylarkpick_entry::Ran;
use std::collections::BTreeSet;

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    let ran = requests_that_ran(simulation);
    for (id, record) in simulation.clients.records().iter() {
        let Some(Outcome::Failed(failure)) = &record.outcome else { continue };
        if failure.ran == Ran::NotRun && ran.contains(id) {
            let detail = format!("request {id} failed as not run, but a target ran it");
            violations.add(Guarantee::TrueNotRun, detail);
        }
    }
}

fn requests_that_ran(simulation: &Simulation) -> BTreeSet<String> {
    let runs = simulation.runners.values().flat_map(|target| target.ledger());
    let calls = simulation.services.values().flat_map(|target| target.ledger());
    runs.map(|run| run.request_id).chain(calls.map(|call| call.request_id)).collect()
}
