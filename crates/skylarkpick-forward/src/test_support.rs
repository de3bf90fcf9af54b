//! A desk for tests.

use crate::desk::Desk;
use skylarkpick_interface::{NodeLimits, TokioClock};
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

const SECOND: Duration = Duration::from_secs(1);

/// A desk that knows nothing yet, on tokio's clock.
pub(crate) fn empty_desk() -> Arc<Desk> {
    let bounds = NodeLimits {
        drain: 2 * SECOND,
        grace: 8 * SECOND,
        configuration: 2 * SECOND,
        retry_percent: 20,
        retry_window: 10 * SECOND,
        retry_extra: 54,
        lease: 3 * SECOND,
        weights: 12 * SECOND,
    };
    Desk::open(Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)), bounds)
}
