//! Takes records of the platform into the desk.

use super::lapses::Lapses;
use super::reading::{CacheReading, cache_reading};
use crate::{desk::Desk, log::request_log, serving::Serving};
use rand::seq::SliceRandom;
use skylarkpick_interface::{
    FleetNews, FleetRecord, FleetRevision, FleetTopic, ListedEntry, ListedTarget, NamedRecord,
    NamedWeights, ServingDocument,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Takes records of the platform into the desk.
pub(crate) struct Recorder {
    desk: Arc<Desk>,
    lapses: Mutex<Lapses>,
    topics: Mutex<BTreeMap<FleetTopic, TopicState>>,
    /// Name of the VM of this process.
    node: String,
}

/// Records of a topic as they were read last.
#[derive(Default)]
struct TopicState {
    revision: FleetRevision,
    records: BTreeMap<String, FleetRecord>,
}

impl Recorder {
    pub(crate) fn open(desk: Arc<Desk>, node: &str) -> Recorder {
        Recorder {
            desk,
            lapses: Mutex::default(),
            topics: Mutex::default(),
            node: node.to_string(),
        }
    }

    fn topics(&self) -> MutexGuard<'_, BTreeMap<FleetTopic, TopicState>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Revision up to which a topic was read.
    pub(crate) fn revision(&self, topic: FleetTopic) -> FleetRevision {
        self.topics().get(&topic).map_or(0, |state| state.revision)
    }

    /// All records of a topic, if they are newer than a revision.
    pub(crate) fn newer_than(&self, topic: FleetTopic, since: FleetRevision) -> Option<FleetNews> {
        let topics = self.topics();
        let state = topics.get(&topic).filter(|state| state.revision > since)?;
        let records = state
            .records
            .iter()
            .map(|(name, record)| NamedRecord { name: name.clone(), record: Some(record.clone()) });
        Some(FleetNews { records: records.collect(), revision: state.revision })
    }

    /// The entry processes by name.
    fn entries(&self) -> Vec<ListedEntry> {
        let topics = self.topics();
        let records = topics.get(&FleetTopic::Entries).map(|state| &state.records);
        let entries = records.into_iter().flat_map(BTreeMap::values);
        entries
            .filter_map(|record| match record {
                FleetRecord::Entry(entry) => Some(entry.clone()),
                _ => None,
            })
            .collect()
    }

    /// Addresses of a few other entry processes, other ones each time.
    pub(crate) fn some_entries(&self, count: usize) -> Vec<String> {
        let mut others = self.entries();
        others.retain(|entry| entry.name != self.node);
        others.shuffle(&mut rand::rng());
        others.into_iter().take(count).map(|entry| entry.address.to_string()).collect()
    }

    /// How this process learns what caches keep.
    pub(crate) fn cache_reading(&self) -> CacheReading {
        cache_reading(&self.entries(), &self.node)
    }

    /// Addresses of the processes that this one follows for what stores keep.
    pub(crate) fn relays_to_follow(&self) -> Vec<String> {
        match self.cache_reading() {
            CacheReading::Follower { relays } => relays,
            _ => Vec::new(),
        }
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

    /// Takes in all records of a topic; targets that are not among them are gone. Gives whether
    /// they were newer than what was known.
    pub(crate) fn replace(&self, topic: FleetTopic, news: &FleetNews) -> bool {
        {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            if news.revision < state.revision {
                return false;
            }
            state.records.clear();
        }
        let named: BTreeSet<&String> = news.records.iter().map(|record| &record.name).collect();
        if topic == FleetTopic::Targets {
            let known: Vec<String> = self.desk.lock().placement.targets().keys().cloned().collect();
            for target in known.iter().filter(|target| !named.contains(target)) {
                self.target_missing(target);
            }
        }
        self.update(topic, news);
        true
    }

    /// Takes in changes of a topic.
    pub(crate) fn update(&self, topic: FleetTopic, news: &FleetNews) {
        {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            state.revision = state.revision.max(news.revision);
            for named in &news.records {
                match &named.record {
                    Some(record) => state.records.insert(named.name.clone(), record.clone()),
                    None => state.records.remove(&named.name),
                };
            }
        }
        for record in &news.records {
            self.take(topic, record, news.revision);
        }
        if topic == FleetTopic::Entries && !news.records.is_empty() {
            self.desk.set_entries(self.entries().len());
            self.desk.caches_changed.notify_waiters();
        }
    }

    fn take(&self, topic: FleetTopic, named: &NamedRecord, revision: u64) {
        match &named.record {
            Some(FleetRecord::Serving(document)) => self.serving(document, revision),
            Some(FleetRecord::Target(listed)) => self.target(listed, revision),
            Some(FleetRecord::Weights(weights)) => self.weights(weights, revision),
            Some(FleetRecord::Entry(_)) => {}
            Some(FleetRecord::Unreadable(why)) => {
                request_log!("a record cannot be read", kv: {
                    name = named.name.as_str(), why = why.as_str(), revision,
                });
                if topic == FleetTopic::Targets {
                    self.remove_target(&named.name, "its record cannot be read");
                }
            }
            None if topic == FleetTopic::Targets => self.target_missing(&named.name),
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
}
