//! Logs and counts what is learned of the speeds of targets.

use crate::{log::request_log, node_state::NodeState};
use skylarkpick_schedule::SpeedChange;
use skylarkpick_telemetry::{TARGETS_SLOWEST_PERCENT, metrics};

impl NodeState {
    /// Logs the large changes of what is believed of targets since the last call.
    pub(crate) fn log_speed_changes(&self) {
        let changes = self.lock().placement.take_speed_changes();
        for SpeedChange { target, from_percent, to_percent } in changes {
            request_log!("speed of a target changed", kv: {
                target = target.as_str(), from_percent, to_percent,
            });
        }
    }

    /// Sets the metric of the slowest target, if any speeds are learned.
    pub(crate) fn set_speed_metric(&self) {
        if let Some(summary) = self.lock().placement.speed_summary(self.now()) {
            let percent = u64::from(summary.slowest_percent);
            metrics().set(&TARGETS_SLOWEST_PERCENT, percent, &[]);
        }
    }
}
