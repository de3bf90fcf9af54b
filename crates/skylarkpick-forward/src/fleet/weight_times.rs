//! Recorded times of desired weights, over returns of the platform's store from older copies.

use skylarkpick_interface::{DesiredWeights, ModelName, StoreEra, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};

/// Versions remembered for each model. Older ones have long been out of use.
const VERSIONS_LIMIT: usize = 8;

/// Times since which weights are desired: those that this process knows, and those that the platform's
/// records have.
#[derive(Debug, Default)]
pub(super) struct WeightTimes {
    known: BTreeMap<ModelName, BTreeMap<WeightVersion, KnownTime>>,
    /// Versions whose times the records have.
    recorded: BTreeMap<ModelName, BTreeSet<WeightVersion>>,
    /// Era in which the time of each model's newest version was last found or written.
    settled: BTreeMap<ModelName, (WeightVersion, StoreEra)>,
}

#[derive(Clone, Copy, Debug)]
struct KnownTime {
    /// Wall-clock time in Unix milliseconds.
    since_ms: u64,
    /// Whether a record had it, so that other processes know the same.
    was_recorded: bool,
}

impl WeightTimes {
    /// Records the times that a record of the platform has.
    pub(super) fn note_found(&mut self, weights: &DesiredWeights) {
        for (version, since_ms) in weights.desired_since_ms.range(..=weights.weight_version) {
            let found = KnownTime { since_ms: *since_ms, was_recorded: true };
            self.note(&weights.model, *version, found);
        }
        let recorded = weights.desired_since_ms.keys().copied().collect();
        self.recorded.insert(weights.model.clone(), recorded);
    }

    /// Records a time that this process has observed itself in an era.
    pub(super) fn note_observed(
        &mut self,
        model: &str,
        version: WeightVersion,
        since_ms: u64,
        era: StoreEra,
    ) {
        self.note(model, version, KnownTime { since_ms, was_recorded: false });
        self.settled.insert(model.to_string(), (version, era));
    }

    /// Returns whether the record of a model has the time of a version.
    pub(super) fn is_recorded(&self, model: &str, version: WeightVersion) -> bool {
        self.recorded.get(model).is_some_and(|versions| versions.contains(&version))
    }

    /// Returns the time of a version if it is known and the record of a later era lacks it. Returns each
    /// time once an era.
    pub(super) fn take_lost(
        &mut self,
        model: &str,
        version: WeightVersion,
        era: StoreEra,
    ) -> Option<u64> {
        let since_ms = self.known.get(model)?.get(&version)?.since_ms;
        let settled = self.settled.insert(model.to_string(), (version, era));
        let is_other_era = settled.is_some_and(|(settled, at)| settled == version && at < era);
        (is_other_era && !self.is_recorded(model, version)).then_some(since_ms)
    }

    /// Records a time, unless a recorded one is known.
    fn note(&mut self, model: &str, version: WeightVersion, time: KnownTime) {
        let times = self.known.entry(model.to_string()).or_default();
        let known = times.entry(version).or_insert(time);
        if !known.was_recorded {
            *known = time;
        }
        while times.len() > VERSIONS_LIMIT {
            times.pop_first();
        }
    }
}
