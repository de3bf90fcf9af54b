//! Since when weight versions are desired, from own observations and from the platform's records.

use skylarkpick_interface::{ModelName, WeightVersion};
use std::{collections::BTreeMap, time::Duration};

/// Versions remembered for each model. Older ones have long been out of use.
const VERSIONS_LIMIT: usize = 8;
/// Maximum difference between the wall clocks of two VMs that recorded times allow for.
const WALL_CLOCK_ERROR: Duration = Duration::from_secs(2);
/// Age of weights without a recorded time that a process finds at its start. Processes that see a naming
/// record it within 0.5 s, so they ended before that; a restart (1.5 s) and a first read (1 s) followed.
pub(super) const UNRECORDED_AGE: Duration = Duration::from_secs(3);

/// Desired weights whose record has no time yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct WeightsChange {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    /// Wall-clock time in Unix milliseconds since which they are desired: when the process saw the
    /// change, or the earliest time that it allows for if it found them at its start.
    pub(super) since_ms: u64,
    /// Whether the process found them at its start.
    pub(super) is_first_read: bool,
}

/// Lower bounds of the times since which versions are desired.
///
/// A process that read the records before a version was named knows an earliest time for it on its
/// own monotonic clock. This limits the effect of a recorded time that comes from a wrong wall clock.
#[derive(Debug, Default)]
pub(super) struct DesiredTimes {
    /// For each model, the time at which each version was known not to be desired yet.
    not_before: BTreeMap<ModelName, BTreeMap<WeightVersion, Duration>>,
}

impl DesiredTimes {
    /// Records that a version was not desired yet at the node time `not_before`.
    pub(super) fn note_not_before(
        &mut self,
        model: &str,
        version: WeightVersion,
        not_before: Duration,
    ) {
        let versions = self.not_before.entry(model.to_string()).or_default();
        versions.insert(version, not_before);
        while versions.len() > VERSIONS_LIMIT {
            versions.pop_first();
        }
    }

    /// Returns the node time since which a version is desired, for a record that was read at `now`,
    /// for the first time since the start or not, and names the time `recorded_age` ago.
    pub(super) fn since(
        &self,
        model: &str,
        version: WeightVersion,
        recorded_age: Option<Duration>,
        now: Duration,
        is_first_read: bool,
    ) -> Duration {
        let not_before = self.not_before.get(model).and_then(|versions| versions.get(&version));
        match (recorded_age, not_before) {
            (Some(age), Some(not_before)) => now.saturating_sub(age).max(*not_before).min(now),
            (Some(age), None) => now.saturating_sub(age.saturating_add(WALL_CLOCK_ERROR)),
            (None, _) if is_first_read => now.saturating_sub(UNRECORDED_AGE),
            (None, _) => now,
        }
    }
}
