//! Sends the gauges of an entry process at a fixed interval.

use crate::entry::Entry;
use skylarkpick_telemetry::{
    CONFIGURATION_VERSION, READY, REQUESTS_UNDER_WAY, RUNNERS_LEAVING, RUNNERS_SERVING, metrics,
};
use std::time::Duration;

/// Interval between two samples.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the gauges until dropped.
pub(super) async fn send_gauges(entry: Entry) {
    let mut ticks = tokio::time::interval(GAUGE_INTERVAL);
    loop {
        ticks.tick().await;
        send_once(&entry).await;
    }
}

async fn send_once(entry: &Entry) {
    let state = entry.state().await;
    let leaving = state.runners.iter().filter(|runner| runner.leaving).count();
    let serving = state
        .runners
        .iter()
        .filter(|runner| !runner.leaving && runner.weight_version.is_some())
        .count();
    let samples = [
        (&CONFIGURATION_VERSION, state.configuration_version),
        (&READY, u64::from(state.is_ready)),
        (&REQUESTS_UNDER_WAY, state.requests_under_way),
        (&RUNNERS_LEAVING, leaving as u64),
        (&RUNNERS_SERVING, serving as u64),
    ];
    for (metric, value) in samples {
        metrics().set(metric, value, &[]);
    }
}
