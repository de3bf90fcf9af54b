//! Whether more weights were loaded at once than allowed.

use super::{Guarantee, Verdicts};
use crate::world::World;

pub(super) fn judge(world: &World, verdicts: &mut Verdicts) {
    let peak = world.weight_store.peak_concurrent_loads();
    if peak > world.loads_limit {
        let detail = format!("{peak} loads at once; allowed are {}", world.loads_limit);
        verdicts.break_promise(Guarantee::LoadsLimited, detail);
    }
}
