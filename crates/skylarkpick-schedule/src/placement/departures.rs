//! Targets that said in a response that they leave.

use skylarkpick_interface::{RegisteredTarget, TargetId};
use std::collections::BTreeMap;

/// Number of departures that are kept: twice the targets of a fleet of the planned size.
const DEPARTURES_LIMIT: usize = 2_048;

/// Starts of the targets that leave. For one start, leaving is never undone.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    started_at_ms: BTreeMap<TargetId, u64>,
}

impl Departures {
    /// Keeps that a target leaves. Returns whether that was not known yet.
    pub(super) fn note(&mut self, target: &str, started_at_ms: u64) -> bool {
        if self.started_at_ms.len() >= DEPARTURES_LIMIT {
            self.started_at_ms.pop_first();
        }
        self.started_at_ms.insert(target.to_string(), started_at_ms) != Some(started_at_ms)
    }

    pub(super) fn contains(&self, target: &RegisteredTarget) -> bool {
        self.started_at_ms.get(&target.id) == Some(&target.started_at_ms)
    }
}
