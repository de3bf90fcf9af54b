//! Applies records of desired weights to the node state.

use super::desired_times::{UNRECORDED_AGE, WeightsChange};
use super::records::{FleetRecords, RecordOrigin};
use super::weight_times::WeightTimes;
use crate::log::age_ms;
use skylarkpick_interface::{DesiredWeights, StoreEra, WeightVersion};
use std::{
    collections::BTreeMap,
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

impl FleetRecords {
    pub(super) fn apply_weights(&self, weights: &DesiredWeights, origin: RecordOrigin) {
        let wall_ms = self.node_state.wall_ms();
        let (model, version) = (weights.model.as_str(), weights.weight_version);
        let known = self.node_state.lock().placement.weights.newest(model);
        let mut recorded_ages: BTreeMap<WeightVersion, Duration> = weights
            .desired_since_ms
            .range(..=version)
            .map(|(version, at)| (*version, Duration::from_millis(wall_ms.saturating_sub(*at))))
            .collect();
        let recorded_age = recorded_ages.remove(&version);
        for (older, age) in recorded_ages {
            self.set_desired_weights(model, older, Some(age), known, origin);
        }
        self.set_desired_weights(model, version, recorded_age, known, origin);
        self.restore_desired_since(weights, origin.revision.era);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        let RecordOrigin { revision, is_first_read, .. } = origin;
        spdlog::info!("desired weights changed", kv: {
            model,
            version,
            revision:,
            is_first_read,
            recorded_age_ms = age_ms(recorded_age),
        });
        if recorded_age.is_none() {
            let age = if is_first_read { UNRECORDED_AGE } else { Duration::ZERO };
            let since_ms = wall_ms.saturating_sub(age.as_millis() as u64);
            if !is_first_read {
                self.lock_weight_times().note_observed(model, version, since_ms, revision.era);
            }
            let model = model.to_string();
            self.push_weights_change(WeightsChange { model, version, since_ms, is_first_read });
        }
    }

    /// Has the time since which weights are desired written again if the platform's store lost it.
    pub(super) fn restore_desired_since(&self, weights: &DesiredWeights, era: StoreEra) {
        let (model, version) = (weights.model.as_str(), weights.weight_version);
        let lost = self.lock_weight_times().take_lost(model, version, era);
        if let Some(since_ms) = lost {
            spdlog::info!("time of desired weights lost", kv: { model, version, since_ms, era });
            let model = model.to_string();
            let is_first_read = false;
            self.push_weights_change(WeightsChange { model, version, since_ms, is_first_read });
        }
    }

    pub(super) fn push_weights_change(&self, change: WeightsChange) {
        self.lock_weights_changes().push(change);
        self.weights_change_seen.notify_one();
    }

    pub(super) fn lock_weight_times(&self) -> MutexGuard<'_, WeightTimes> {
        self.weight_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets since when a version is desired. `known` is the desired version so far.
    pub(super) fn set_desired_weights(
        &self,
        model: &str,
        version: WeightVersion,
        recorded_age: Option<Duration>,
        known: Option<WeightVersion>,
        origin: RecordOrigin,
    ) {
        let mut times = self.desired_times.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(not_before) = origin.not_before
            && known.is_none_or(|known| known < version)
        {
            times.note_not_before(model, version, not_before);
        }
        let since =
            times.since(model, version, recorded_age, self.node_state.now(), origin.is_first_read);
        self.node_state.set_desired_weights(model, version, since);
    }

    pub(super) fn lock_weights_changes(&self) -> MutexGuard<'_, Vec<WeightsChange>> {
        self.weights_changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for desired weights whose record had no time yet: those that became the desired ones while
    /// this process watched, and those that it found at its start while some target serves older ones.
    /// Returns each of them once.
    pub(super) async fn weights_changes(&self) -> Vec<WeightsChange> {
        loop {
            let due = |it: &mut WeightsChange| !it.is_first_read || self.is_older_served(it);
            let changes: Vec<_> = self.lock_weights_changes().extract_if(.., due).collect();
            if !changes.is_empty() {
                return changes;
            }
            self.weights_change_seen.notified().await;
        }
    }

    pub(super) fn is_older_served(&self, weights: &WeightsChange) -> bool {
        let state = self.node_state.lock();
        let mut served =
            state.placement.targets().values().filter_map(|it| it.weight_version(&weights.model));
        served.any(|served| served < weights.version)
    }

    /// Returns whether the record has the time since which these weights are desired.
    pub(super) fn has_desired_since(&self, weights: &WeightsChange) -> bool {
        self.lock_weight_times().is_recorded(&weights.model, weights.version)
    }
}
