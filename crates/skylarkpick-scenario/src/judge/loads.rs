//! Whether more weights were loaded at once than allowed.

use super::{Guarantee, Verdicts};
use crate::simulation::Simulation;

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    let peak = simulation.weight_store.peak_concurrent_loads();
    if peak > simulation.loads_limit {
        let detail = format!("{peak} loads at once; allowed are {}", simulation.loads_limit);
        verdicts.break_promise(Guarantee::LoadsLimited, detail);
    }
}
