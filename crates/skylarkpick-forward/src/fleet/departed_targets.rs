//! Starts of targets that are known to drain or to have left.
//!
//! A copy from which the platform's store comes back may still have them as ready. They go on serving
//! for a while and write nothing again.

use skylarkpick_interface::{RegisteredTarget, StoreEra, TargetId};
use std::{collections::BTreeMap, time::Duration};

/// Time for which a start is remembered. A copy is some seconds old, and a target that left exits in
/// a shorter time.
const DEPARTED_PERIOD: Duration = Duration::from_secs(30);
/// Maximum number of remembered starts.
const DEPARTED_LIMIT: usize = 4_096;

/// Latest start of each target that drained or was removed.
#[derive(Debug, Default)]
pub(crate) struct DepartedTargets {
    starts: BTreeMap<TargetId, DepartedStart>,
}

#[derive(Debug)]
struct DepartedStart {
    started_at_ms: u64,
    /// Era in which it became known.
    era: StoreEra,
    at: Duration,
    /// Whether the target is in use as draining, although the store has it as ready.
    is_assumed: bool,
}

impl DepartedTargets {
    /// Records a start that drains or was removed.
    pub(crate) fn note_departed(
        &mut self,
        target: &str,
        started_at_ms: u64,
        era: StoreEra,
        now: Duration,
    ) {
        let known = self.starts.get(target).map_or(0, |it| it.started_at_ms);
        let started_at_ms = started_at_ms.max(known);
        let start = DepartedStart { started_at_ms, era, at: now, is_assumed: false };
        self.starts.insert(target.to_string(), start);
        if self.starts.len() > DEPARTED_LIMIT {
            let oldest = self.starts.iter().min_by_key(|(_, it)| (it.is_assumed, it.at));
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.starts.remove(&oldest);
            }
        }
    }

    /// Returns whether the start in a list of an era is known to drain or to have left in an earlier
    /// one. A list of the same era shows that it was written again.
    pub(crate) fn is_departed(
        &mut self,
        found: &RegisteredTarget,
        era: StoreEra,
        now: Duration,
    ) -> bool {
        let Some(start) = self.starts.get_mut(&found.id) else { return false };
        if found.started_at_ms > start.started_at_ms {
            return false;
        }
        if start.era >= era {
            self.starts.remove(&found.id);
            return false;
        }
        start.is_assumed |= now < start.at + DEPARTED_PERIOD;
        start.is_assumed
    }

    /// Returns whether a target is in use as draining, although the store has it as ready.
    pub(crate) fn is_assumed(&self, target: &str) -> bool {
        self.starts.get(target).is_some_and(|it| it.is_assumed)
    }

    /// Forgets a start that has written its record.
    pub(crate) fn note_written(&mut self, written: &RegisteredTarget) {
        let is_same = |it: &DepartedStart| written.started_at_ms <= it.started_at_ms;
        if self.starts.get(&written.id).is_some_and(is_same) {
            self.starts.remove(&written.id);
        }
    }

    /// Forgets the starts whose period has ended. Returns the targets that were in use as draining.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<TargetId> {
        let is_expired = |_: &TargetId, it: &mut DepartedStart| now >= it.at + DEPARTED_PERIOD;
        let expired = self.starts.extract_if(.., is_expired);
        expired.filter(|(_, it)| it.is_assumed).map(|(target, _)| target).collect()
    }
}
