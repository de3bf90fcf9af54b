//! Whether a leaving runner got new work after its time.

use super::{Guarantee, Verdicts};
use crate::world::World;
use std::time::Duration;

/// Time after which a leaving runner gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn judge(world: &World, verdicts: &mut Verdicts) {
    for (name, left_at) in &world.left_at {
        let Some(target) = world.runners.get(name) else { continue };
        let start_attempts = target.start_attempts();
        let late =
            start_attempts.iter().filter(|tried_at| **tried_at > *left_at + LEAVING_LIMIT).count();
        if late > 0 {
            let detail = format!("{name} was sent {late} runs after it had left for 3 s");
            verdicts.break_promise(Guarantee::LeavingGetsNothing, detail);
        }
    }
}
