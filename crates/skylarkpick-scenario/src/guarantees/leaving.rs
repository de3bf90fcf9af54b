//! Checks that leaving runners get no new runs after the time limit.

use super::{Guarantee, Violations};
use crate::simulation::Simulation;
use std::time::Duration;

/// Time after which a leaving runner must get no new runs.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn check(simulation: &Simulation, violations: &mut Violations) {
    for (name, leaving_since) in &simulation.leaving_since {
        let Some(target) = simulation.runners.get(name) else { continue };
        let start_attempts = target.start_attempts();
        let late = start_attempts
            .iter()
            .filter(|attempted_at| **attempted_at > *leaving_since + LEAVING_LIMIT)
            .count();
        if late > 0 {
            let detail =
                format!("{name} was sent {late} runs more than 3 s after it began to leave");
            violations.add(Guarantee::LeavingGetsNothing, detail);
        }
    }
}
