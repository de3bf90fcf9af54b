//! Node state for tests.

use crate::node_state::NodeState;
use skylarkpick_interface::{NodeLimits, TokioClock};
use skylarkpick_schedule::PlacementPolicy;
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns an empty node state on tokio's clock.
pub(crate) fn empty_node_state() -> Arc<NodeState> {
    let limits = NodeLimits {
        drain: 2 * SECOND,
        grace: 8 * SECOND,
        configuration: 2 * SECOND,
        retry_percent: 20,
        retry_window: 10 * SECOND,
        retry_extra: 54,
        lease: 3 * SECOND,
        weights: 12 * SECOND,
    };
    NodeState::open(
        Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)),
        limits,
        PlacementPolicy::default(),
    )
}
