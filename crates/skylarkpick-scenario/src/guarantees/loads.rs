//! Checks that no more loads of weights ran concurrently than allowed.

use super::{Guarantee, Violations};
use crate::simulation::Simulation;

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    let peak = simulation.weight_store.peak_concurrent_loads();
    if peak > simulation.loads_limit {
        let detail =
            format!("{peak} concurrent loads of weights; the limit is {}", simulation.loads_limit);
        violations.add(Guarantee::LoadsLimited, detail);
    }
}
