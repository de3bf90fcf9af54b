//! Whether a leaving runner got new work after its time.

use super::{Guarantee, Verdicts};
use crate::simulation::Simulation;
use std::time::Duration;

/// Time after which a leaving runner gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn judge(simulation: &Simulation, verdicts: &mut Verdicts) {
    for (name, left_at) in &simulation.left_at {
        let Some(target) = simulation.runners.get(name) else { continue };
        let start_attempts = target.start_attempts();
        let late =
            start_attempts.iter().filter(|tried_at| **tried_at > *left_at + LEAVING_LIMIT).count();
        if late > 0 {
            let detail = format!("{name} was sent {late} runs after it had left for 3 s");
            verdicts.break_promise(Guarantee::LeavingGetsNothing, detail);
        }
    }
}
