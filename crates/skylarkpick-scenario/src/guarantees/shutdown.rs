//! Checks that graceful shutdowns abort no requests.

use super::{Guarantee, Violations};
use crate::{
    clients::{Outcome, RequestRecord},
    simulation::Simulation,
};
use skylarkpick_entry::Ran;

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    let records = simulation.clients.records();
    for (process, in_flight) in &simulation.in_flight_at_shutdown {
        for id in in_flight {
            if records.get(id).is_some_and(was_aborted) {
                let detail = format!("the shutdown of {process} aborted request {id}");
                violations.add(Guarantee::ShutdownCutsNothing, detail);
            }
        }
    }
}

fn was_aborted(record: &RequestRecord) -> bool {
    match &record.outcome {
        None | Some(Outcome::ConnectionLost) => true,
        Some(Outcome::Failed(failure)) => failure.ran != Ran::NotRun,
        Some(Outcome::Complete | Outcome::Response { .. } | Outcome::Closed) => false,
    }
}
