//! Applies records of evacuations to the node state.

use super::evacuation_log::EvacuationLog;
use super::lost_evacuations::LostEvacuations;
use super::records::{FleetRecords, RecordOrigin, UpdateKind};
use super::topic_state::TopicState;
use super::unaware_relays::UnawareRelays;
use crate::log::age_ms;
use skylarkpick_interface::{DataCentreId, FleetTopic, FleetUpdate};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// State of the records of evacuations beyond what the topic itself holds.
#[derive(Default)]
pub(crate) struct EvacuationRecords {
    lost: Mutex<LostEvacuations>,
    log: Mutex<EvacuationLog>,
    unaware_relays: Mutex<UnawareRelays>,
}

/// Returns the topics of a process before it has read any. A process that uses evacuations has theirs
/// from the start, so that one that answers with nothing doesn't know them.
pub(super) fn topics_at_start(uses_evacuations: bool) -> BTreeMap<FleetTopic, TopicState> {
    let known = uses_evacuations.then(|| (FleetTopic::Evacuations, TopicState::default()));
    known.into_iter().collect()
}

/// Returns the data centres with a record, also one that can't be read.
fn present_evacuations(topics: &BTreeMap<FleetTopic, TopicState>) -> BTreeSet<DataCentreId> {
    let records = topics.get(&FleetTopic::Evacuations).into_iter().flat_map(TopicState::records);
    records.map(|(name, _)| name.clone()).collect()
}

impl FleetRecords {
    fn lost_evacuations(&self) -> MutexGuard<'_, LostEvacuations> {
        self.evacuations.lost.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unaware_relays(&self) -> MutexGuard<'_, UnawareRelays> {
        self.evacuations.unaware_relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a process has answered a question for a topic with nothing.
    pub(crate) fn note_nothing(&self, address: &str, topic: FleetTopic) {
        self.unaware_relays().note_nothing(address, topic, self.now());
    }

    /// Returns the addresses of the relays that this process follows for a topic.
    pub(super) fn relays_for(&self, topic: FleetTopic) -> Vec<String> {
        let mut relays = self.relays();
        let unaware = self.unaware_relays();
        relays.retain(|relay| !unaware.is_unaware(relay, topic, self.now()));
        relays
    }

    /// Records that a relay has responded with current records of a topic.
    pub(super) fn note_followed(&self, topic: FleetTopic) {
        if topic == FleetTopic::Evacuations {
            self.node_state.note_evacuations_read();
        }
    }

    /// Records that a list of a later era, whose topic is locked, lacks evacuations that are in effect.
    pub(super) fn note_lost_evacuations(&self, list: &FleetUpdate) {
        let named: BTreeSet<&String> = list.records.iter().map(|record| &record.name).collect();
        let mut lost = self.lost_evacuations();
        for data_centre in self.evacuated().iter().filter(|it| !named.contains(it)) {
            lost.note_lost(data_centre, self.now());
        }
    }

    /// Begins and ends evacuations as the stored records say, of which an update has arrived. Those that
    /// the platform may have lost stay in effect for a while.
    pub(super) fn follow_evacuations(&self, update: &FleetUpdate, origin: RecordOrigin) {
        self.node_state.note_evacuations_read();
        // Locked until the end, so that of two updates the later one counts.
        let topics = self.topics();
        let mut lost = self.lost_evacuations();
        if origin.kind == UpdateKind::Changes {
            update.records.iter().for_each(|changed| lost.note_known(&changed.name));
        }
        let present = present_evacuations(&topics);
        for data_centre in &present {
            lost.note_known(data_centre);
            if self.node_state.set_evacuated(data_centre, true) && self.is_line_allowed() {
                spdlog::info!("evacuation of a data centre begins", kv: {
                    data_centre = data_centre.as_str(),
                    age_ms = self.record_age_ms(origin.not_before),
                    revision: = origin.revision,
                });
            }
        }
        let evacuated = self.evacuated();
        for data_centre in evacuated.difference(&present).filter(|it| !lost.is_lost(it)) {
            self.end_evacuation(data_centre, "removed", origin.not_before);
        }
    }

    /// Records that the platform doesn't know the kind of the records, so that there are none. Those
    /// that are in effect end after a while: it may have lost them.
    pub(super) fn note_no_evacuations(&self) {
        let now = self.now();
        let mut topics = self.topics();
        let mut lost = self.lost_evacuations();
        self.evacuated().iter().for_each(|data_centre| lost.note_lost(data_centre, now));
        drop(lost);
        let state = topics.entry(FleetTopic::Evacuations).or_default();
        // Followers that have read records would learn nothing from this process; they ask the platform.
        state.is_disconnected = state.is_read();
        state.verified_at = Some(now);
        drop(topics);
        self.node_state.note_evacuations_read();
        self.changes.send_modify(|count| *count += 1);
    }

    /// Ends the evacuations whose objects are still missing after a while.
    pub(crate) fn remove_expired_evacuations(&self) {
        let _topics = self.topics();
        for data_centre in self.lost_evacuations().take_expired(self.now()) {
            self.end_evacuation(&data_centre, "missing at the platform", None);
        }
    }

    fn is_line_allowed(&self) -> bool {
        let mut log = self.evacuations.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.is_line_allowed(self.now())
    }

    fn evacuated(&self) -> BTreeSet<DataCentreId> {
        self.node_state.lock().placement.evacuated().clone()
    }

    fn end_evacuation(&self, data_centre: &str, why: &'static str, not_before: Option<Duration>) {
        if self.node_state.set_evacuated(data_centre, false) && self.is_line_allowed() {
            spdlog::info!("evacuation of a data centre ends", kv: {
                data_centre, why, age_ms = self.record_age_ms(not_before),
            });
        }
    }

    /// Returns the greatest age of a change, -1 if it is not known.
    fn record_age_ms(&self, not_before: Option<Duration>) -> i64 {
        age_ms(not_before.map(|at| self.now().saturating_sub(at)))
    }
}
