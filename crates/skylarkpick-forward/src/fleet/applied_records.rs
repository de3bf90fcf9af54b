//! Applies stored records to the node state, so that requests are served by what is stored.

use super::records::{FleetRecords, RecordOrigin};
use super::topic_state::StoredChange;
use crate::{log::request_log, serving_index::ServingIndex};
use skylarkpick_interface::{
    FleetRecord, FleetTopic, FleetUpdate, NamedRecord, ServingDocument, StoreRevision,
};
use skylarkpick_schedule::ReportSource;
use skylarkpick_telemetry::{RECORDS_UNREADABLE, logged_start, metrics};
use std::sync::{MutexGuard, PoisonError};

impl FleetRecords {
    /// Applies what is stored after each change of an update.
    pub(super) fn apply_stored(
        &self,
        topic: FleetTopic,
        update: &FleetUpdate,
        origin: RecordOrigin,
        stored: Vec<StoredChange>,
    ) {
        for (found, change) in update.records.iter().zip(stored) {
            self.note_found(topic, found, &change, origin.revision);
            if !self.is_awaited(topic, &change, origin) {
                let named = NamedRecord { name: change.name, record: change.record };
                self.apply(topic, &named, origin);
            }
        }
        match topic {
            FleetTopic::Weights => self.node_state.note_weights_read(),
            FleetTopic::Targets => self.weights_change_seen.notify_one(),
            FleetTopic::Evacuations => self.follow_evacuations(update, origin),
            FleetTopic::Serving => self.node_state.note_version_served(),
            FleetTopic::Entries => {}
        }
        self.changes.send_modify(|count| *count += 1);
        if topic == FleetTopic::Entries {
            self.entries_changed();
        }
    }

    /// Records what a change of an update says, whether or not it is in force.
    fn note_found(
        &self,
        topic: FleetTopic,
        named: &NamedRecord,
        change: &StoredChange,
        revision: StoreRevision,
    ) {
        match &named.record {
            Some(FleetRecord::Weights(weights)) => self.lock_weight_times().note_found(weights),
            Some(FleetRecord::Serving(document)) => {
                self.node_state.newest_version.note(document.version);
            }
            // Its writer may write it again with each heartbeat.
            Some(FleetRecord::Unreadable(why)) if !change.is_unchanged => {
                metrics().count(&RECORDS_UNREADABLE, &[("topic", &topic.to_string())]);
                request_log!("invalid platform record", kv: {
                    topic:, name = logged_start(&named.name), why = why.as_str(), revision:,
                });
            }
            _ => {}
        }
    }

    /// Locks the step from storing records to serving by them.
    pub(super) fn lock_applying(&self) -> MutexGuard<'_, ()> {
        self.applying.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn apply(&self, topic: FleetTopic, named: &NamedRecord, origin: RecordOrigin) {
        let revision = origin.revision;
        match &named.record {
            Some(FleetRecord::Serving(document)) => self.apply_serving(document, revision),
            Some(FleetRecord::Target(target)) => self.apply_target(target, revision, origin.kind),
            Some(FleetRecord::Weights(weights)) => self.apply_weights(weights, origin),
            Some(FleetRecord::Entry(entry)) => {
                let source = match entry.name == self.node() {
                    true => ReportSource::OwnRegistration,
                    false => ReportSource::Registration,
                };
                self.node_state.merge_crashes(&entry.crashes, &entry.name, source);
            }
            Some(FleetRecord::Unreadable(_)) if topic == FleetTopic::Targets => {
                self.remove_target(&named.name, "its record is invalid");
            }
            None if topic == FleetTopic::Targets => self.handle_missing_target(&named.name),
            // Evacuations are followed as a whole, after all records of an update.
            Some(FleetRecord::Evacuation(_) | FleetRecord::Unreadable(_)) | None => {}
        }
    }

    fn apply_serving(&self, document: &ServingDocument, revision: StoreRevision) {
        let (version, routes) = (document.version, document.routes.len());
        if self.node_state.install_serving(ServingIndex::open(document.clone())) {
            spdlog::info!("serving document applied", kv: { version, routes, revision: });
        }
    }
}
