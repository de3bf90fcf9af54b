//! Whether a request that was refused as "not run" really never ran.

use super::{Guarantee, Verdicts};
use crate::{callers::Ended, simulation::Simulation};
use skylarkpick_entry::Ran;
use std::collections::BTreeSet;

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    let ran = requests_that_ran(simulation);
    for (id, record) in simulation.callers.records().iter() {
        let Some(Ended::Failed(failure)) = &record.ended else { continue };
        if failure.ran == Ran::NotRun && ran.contains(id) {
            let detail = format!("request {id} was refused as not run, but a target ran it");
            verdicts.break_promise(Guarantee::TrueNotRun, detail);
        }
    }
}

fn requests_that_ran(simulation: &Simulation) -> BTreeSet<String> {
    let runs = simulation.runners.values().flat_map(|target| target.ledger());
    let calls = simulation.services.values().flat_map(|target| target.ledger());
    runs.map(|run| run.request_id).chain(calls.map(|call| call.request_id)).collect()
}
