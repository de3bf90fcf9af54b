//! Whether answers came from weights that the configuration allowed when they were asked for.

use super::{Guarantee, Verdicts};
use crate::{callers::Sent, simulation::Simulation};

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    for (id, record) in simulation.callers.records().iter() {
        let Sent::Completion { allowed_weight_versions, .. } = &record.sent else { continue };
        let Some(version) = record.weight_version else { continue };
        if !allowed_weight_versions.contains(&version) {
            let detail = format!(
                "request {id} was answered by weight version {version}; allowed were \
                 {allowed_weight_versions:?}"
            );
            verdicts.break_promise(Guarantee::OneWeightVersion, detail);
        }
    }
}
