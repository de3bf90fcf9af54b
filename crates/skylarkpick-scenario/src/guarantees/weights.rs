//! Checks that responses come from weight versions that the configuration allowed when the request
//! was sent.

use super::{Guarantee, Violations};
use crate::{clients::SentRequest, simulation::Simulation};

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    for (id, record) in simulation.clients.records().iter() {
        let SentRequest::Completion { allowed_weight_versions, .. } = &record.sent else {
            continue;
        };
        let Some(version) = record.weight_version else { continue };
        if !allowed_weight_versions.contains(&version) {
            let detail = format!(
                "request {id} was served by weight version {version}; allowed were \
                 {allowed_weight_versions:?}"
            );
            violations.add(Guarantee::OneWeightVersion, detail);
        }
    }
}
