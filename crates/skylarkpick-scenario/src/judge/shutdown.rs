//! Whether a graceful shutdown cut off a request.

use super::{Guarantee, Verdicts};
use crate::{
    callers::{Ended, Record},
    simulation::Simulation,
};
use skylarkpick_entry::Ran;

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    let records = simulation.callers.records();
    for (process, waiting) in &simulation.shut_down {
        for id in waiting {
            if records.get(id).is_some_and(was_cut_off) {
                let detail = format!("the shutdown of {process} cut off request {id}");
                verdicts.break_promise(Guarantee::ShutdownCutsNothing, detail);
            }
        }
    }
}

fn was_cut_off(record: &Record) -> bool {
    match &record.ended {
        None | Some(Ended::ConnectionLost) => true,
        Some(Ended::Failed(failure)) => failure.ran != Ran::NotRun,
        Some(Ended::Whole | Ended::Reply { .. } | Ended::Closed) => false,
    }
}
