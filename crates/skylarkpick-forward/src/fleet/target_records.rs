//! Applies records of targets to the node state.

use super::departed_targets::DepartedTargets;
use super::missing_targets::MissingTargets;
use super::newest_record::is_earlier;
use super::records::{FleetRecords, RecordOrigin, UpdateKind};
use super::topic_state::StoredChange;
use skylarkpick_interface::{FleetRecord, FleetTopic, RegisteredTarget, StoreRevision};
use std::sync::{MutexGuard, PoisonError};

impl FleetRecords {
    pub(super) fn missing_targets(&self) -> MutexGuard<'_, MissingTargets> {
        self.missing_targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn departed_targets(&self) -> MutexGuard<'_, DepartedTargets> {
        self.departed_targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the grace period of targets that are still missing: those without a record are removed,
    /// and the others are as their records say. So are those that left long ago by what was known
    /// before a return.
    pub(crate) fn remove_expired_targets(&self) {
        let _applying = self.lock_applying();
        let now = self.node_state.now();
        let expired = self.missing_targets().take_expired(now);
        for target in expired {
            match self.target_record(&target) {
                (Some(record), revision) => {
                    self.apply_target(&record, revision, UpdateKind::List);
                }
                _ => self.remove_target(&target, "still missing after the platform's return"),
            }
        }
        let departed = self.departed_targets().take_expired(now);
        for target in departed {
            if let (Some(record), revision) = self.target_record(&target) {
                self.set_target(&record, revision, false);
            }
        }
    }

    fn target_record(&self, target: &str) -> (Option<RegisteredTarget>, StoreRevision) {
        let topics = self.topics();
        let state = topics.get(&FleetTopic::Targets);
        let record = match state.and_then(|state| state.record(target)) {
            Some(FleetRecord::Target(record)) => Some(record.clone()),
            _ => None,
        };
        (record, state.map_or_else(StoreRevision::default, |state| state.revision))
    }

    /// Returns whether a target's record in a list may be older than what is known of the target, which
    /// then has some time to write it again.
    pub(super) fn is_awaited(
        &self,
        topic: FleetTopic,
        change: &StoredChange,
        origin: RecordOrigin,
    ) -> bool {
        let Some(FleetRecord::Target(found)) = &change.record else { return false };
        if topic != FleetTopic::Targets {
            return false;
        }
        match origin.kind {
            UpdateKind::Changes => false,
            UpdateKind::List => change.is_unchanged && self.missing_targets().is_missing(&found.id),
            UpdateKind::ListOfNewEra => {
                let state = self.node_state.lock();
                let known = state.placement.targets().get(&found.id);
                let is_earlier = known.is_some_and(|it| is_earlier(found, &it.registration));
                drop(state);
                is_earlier && self.missing_targets().note_missing(&found.id, self.node_state.now())
            }
        }
    }

    pub(super) fn apply_target(
        &self,
        target: &RegisteredTarget,
        revision: StoreRevision,
        kind: UpdateKind,
    ) {
        self.missing_targets().note_present(&target.id);
        self.node_state.note_target_record(target, kind == UpdateKind::Changes);
        let is_reported_draining = {
            let is_assumed = self.departed_targets().is_assumed(&target.id);
            let state = self.node_state.lock();
            let known = state.placement.targets().get(&target.id);
            // A start that drains never serves again, although an older copy of its record may say so.
            !is_assumed
                && known.is_some_and(|it| {
                    it.registration.is_draining
                        && it.registration.started_at_ms == target.started_at_ms
                })
        };
        let now = self.node_state.now();
        let mut departed = self.departed_targets();
        if kind == UpdateKind::Changes {
            departed.note_written(target);
        }
        if target.is_draining {
            departed.note_departed(&target.id, target.started_at_ms, revision.era, now);
        }
        let is_draining = is_reported_draining
            || target.is_draining
            || departed.is_departed(target, revision.era, now);
        drop(departed);
        self.set_target(target, revision, is_draining);
    }

    fn set_target(&self, target: &RegisteredTarget, revision: StoreRevision, is_draining: bool) {
        let is_draining_in_store = target.is_draining;
        let target =
            &RegisteredTarget { is_draining: target.is_draining || is_draining, ..target.clone() };
        let mut state = self.node_state.lock();
        let known = state.placement.targets().get(&target.id);
        let is_changed = known.is_none_or(|it| {
            it.registration.is_draining != target.is_draining
                || it.registration.weights != target.weights
        });
        let is_new = state.placement.set_target(target.clone());
        state.software_versions.set_target(target, self.node_state.now());
        drop(state);
        if is_new {
            self.node_state.caches_changed.notify_waiters();
        }
        if is_new || is_changed {
            spdlog::info!("target record applied", kv: {
                target = target.id.as_str(),
                service = target.service.as_str(),
                draining = target.is_draining,
                draining_in_store = is_draining_in_store,
                weights:? = target.weights,
                software_version = target.software_version.as_deref().unwrap_or("unknown"),
                started_at_ms = target.started_at_ms,
                is_new,
                revision:,
            });
        }
        self.node_state.weights_changed.notify_one();
    }

    pub(super) fn handle_missing_target(&self, target: &str) {
        let may_reappear = self.missing_targets().note_missing(target, self.node_state.now());
        if !may_reappear {
            self.remove_target(target, "its record was removed");
        }
    }

    pub(super) fn remove_target(&self, target: &str, why: &str) {
        let era = self.revision(FleetTopic::Targets).era;
        let now = self.node_state.now();
        let mut state = self.node_state.lock();
        let start = state.placement.targets().get(target).map(|it| it.registration.started_at_ms);
        if let Some(started_at_ms) = start {
            self.departed_targets().note_departed(target, started_at_ms, era, now);
        }
        state.placement.remove_target(target);
        state.software_versions.remove_target(target, now);
        drop(state);
        // A record that names no target may be found again and again.
        if start.is_none() {
            return;
        }
        spdlog::info!("target removed", kv: { target, why });
        self.node_state.caches_changed.notify_waiters();
    }
}
