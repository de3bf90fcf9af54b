//! Takes records of the platform into the desk.

use super::lapses::Lapses;
use crate::{desk::Desk, log::request_log, serving::Serving};
use skylarkpick_interface::{
    FleetNews, FleetRecord, FleetTopic, ListedTarget, NamedRecord, NamedWeights, ServingDocument,
};
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Takes records of the platform into the desk.
pub(crate) struct Recorder {
    desk: Arc<Desk>,
    lapses: Mutex<Lapses>,
    entries: Mutex<BTreeSet<String>>,
}

impl Recorder {
    pub(crate) fn open(desk: Arc<Desk>) -> Recorder {
        Recorder { desk, lapses: Mutex::default(), entries: Mutex::default() }
    }

    fn lapses(&self) -> MutexGuard<'_, Lapses> {
        self.lapses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the platform could not be reached.
    pub(crate) fn note_lost(&self) {
        self.lapses().note_lost();
    }

    /// Notes that the platform answers.
    pub(crate) fn note_heard(&self) {
        self.lapses().note_heard(self.desk.now());
    }

    /// Removes the targets whose time to come back is over.
    pub(crate) fn remove_lapsed(&self) {
        let due = self.lapses().due(self.desk.now());
        for target in due {
            self.remove_target(&target, "still missing after the platform's return");
        }
    }

    /// Takes in all records of a topic; targets that are not among them are gone.
    pub(crate) fn replace(&self, topic: FleetTopic, news: &FleetNews) {
        let named: BTreeSet<&String> = news.records.iter().map(|record| &record.name).collect();
        match topic {
            FleetTopic::Targets => {
                let known: Vec<String> =
                    self.desk.lock().placement.targets().keys().cloned().collect();
                for target in known.iter().filter(|target| !named.contains(target)) {
                    self.target_missing(target);
                }
            }
            FleetTopic::Entries => {
                self.entries.lock().unwrap_or_else(PoisonError::into_inner).clear();
            }
            FleetTopic::Serving | FleetTopic::Weights => {}
        }
        self.update(topic, news);
    }

    /// Takes in changes of a topic.
    pub(crate) fn update(&self, topic: FleetTopic, news: &FleetNews) {
        for record in &news.records {
            self.take(topic, record, news.revision);
        }
    }

    fn take(&self, topic: FleetTopic, named: &NamedRecord, revision: u64) {
        match &named.record {
            Some(FleetRecord::Serving(document)) => self.serving(document, revision),
            Some(FleetRecord::Target(listed)) => self.target(listed, revision),
            Some(FleetRecord::Weights(weights)) => self.weights(weights, revision),
            Some(FleetRecord::Entry(_)) => self.entry(&named.name, true),
            Some(FleetRecord::Unreadable(why)) => {
                request_log!("a record cannot be read", kv: {
                    name = named.name.as_str(), why = why.as_str(), revision,
                });
                if topic == FleetTopic::Targets {
                    self.remove_target(&named.name, "its record cannot be read");
                }
            }
            None if topic == FleetTopic::Targets => self.target_missing(&named.name),
            None if topic == FleetTopic::Entries => self.entry(&named.name, false),
            None => {}
        }
    }

    fn serving(&self, document: &ServingDocument, revision: u64) {
        let (version, routes) = (document.version, document.routes.len());
        if self.desk.install(Serving::open(document.clone())) {
            spdlog::info!("serving document in force", kv: { version, routes, revision });
        }
    }

    fn target(&self, listed: &ListedTarget, revision: u64) {
        self.lapses().came_back(&listed.id);
        let mut state = self.desk.lock();
        let was_draining =
            state.placement.targets().get(&listed.id).is_some_and(|it| it.listed.is_draining);
        let is_new = state.placement.set_target(listed.clone());
        drop(state);
        if is_new {
            self.desk.caches_changed.notify_waiters();
        }
        if is_new || was_draining != listed.is_draining {
            spdlog::info!("target listed", kv: {
                target = listed.id.as_str(),
                service = listed.service.as_str(),
                draining = listed.is_draining,
                is_new,
                revision,
            });
        }
        self.desk.weights_changed.notify_one();
    }

    fn target_missing(&self, target: &str) {
        let waits = self.lapses().missing(target, self.desk.now());
        if !waits {
            self.remove_target(target, "its record was removed");
        }
    }

    fn remove_target(&self, target: &str, why: &str) {
        self.desk.lock().placement.remove_target(target);
        spdlog::info!("target gone", kv: { target, why });
        self.desk.caches_changed.notify_waiters();
    }

    fn weights(&self, weights: &NamedWeights, revision: u64) {
        let now = self.desk.now();
        let (model, version) = (weights.model.as_str(), weights.weight_version);
        if self.desk.lock().placement.weights.name(model, version, now) {
            spdlog::info!("weights named", kv: { model, version, revision });
            self.desk.weights_changed.notify_one();
        }
    }

    fn entry(&self, name: &str, is_listed: bool) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if is_listed {
            entries.insert(name.to_string());
        } else {
            entries.remove(name);
        }
        self.desk.set_entries(entries.len());
    }
}
