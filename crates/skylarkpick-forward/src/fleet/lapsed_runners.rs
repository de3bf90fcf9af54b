//! Engine runners whose registration ended while requests may still wait there.

use skylarkpick_interface::{ModelName, TargetId, WeightOrder, WeightVersion};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Runners as the planner last saw them registered.
#[derive(Default)]
pub(super) struct LapsedRunners {
    seen: BTreeMap<(ModelName, TargetId), SeenRunner>,
}

struct SeenRunner {
    /// Order that the runner would have received.
    order: WeightOrder,
    served: WeightVersion,
    at: Instant,
}

impl LapsedRunners {
    /// Records a registered runner, the weights that it serves, and the order that it would receive.
    pub(super) fn note_registered(&mut self, order: &WeightOrder, served: WeightVersion) {
        let seen = SeenRunner { order: order.clone(), served, at: Instant::now() };
        self.seen.insert((order.model.clone(), order.target.clone()), seen);
    }

    /// Removes and returns the runners of a model that have not been recorded since `pass_began`, and
    /// whose weights have expired. Those that were last recorded `limit` ago are forgotten: no request
    /// from that time waits any more.
    pub(super) fn take_expired(
        &mut self,
        model: &str,
        pass_began: Instant,
        limit: Duration,
        is_expired: impl Fn(WeightVersion) -> bool,
    ) -> Vec<WeightOrder> {
        self.seen.retain(|_, it| it.at.elapsed() < limit);
        let is_due = |(known, _): &(ModelName, TargetId), it: &mut SeenRunner| {
            known == model && it.at < pass_began && is_expired(it.served)
        };
        self.seen.extract_if(.., is_due).map(|(_, it)| it.order).collect()
    }

    pub(super) fn clear(&mut self) {
        self.seen.clear();
    }
}
