//! Takes records of the platform into the desk.

use super::lapses::Lapses;
use super::reading::{CacheReading, cache_reading};
use crate::peers::PeerNews;
use crate::{desk::Desk, log::request_log, serving_index::ServingIndex};
use rand::seq::SliceRandom;
use skylarkpick_interface::{
    DesiredWeights, FleetRecord, FleetRevision, FleetTopic, FleetUpdate, NamedRecord,
    RegisteredEntry, RegisteredTarget, ServingDocument,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::watch;

/// Takes records of the platform into the desk.
pub(crate) struct Recorder {
    desk: Arc<Desk>,
    lapses: Mutex<Lapses>,
    topics: Mutex<BTreeMap<FleetTopic, TopicState>>,
    /// Name of the VM of this process.
    node: String,
    /// How this process learns what caches keep, by the entry processes that are listed.
    reading: Mutex<CacheReading>,
    /// Counts what was taken in.
    changed: watch::Sender<u64>,
}

/// Records of a topic as they were read last.
#[derive(Default)]
struct TopicState {
    revision: FleetRevision,
    /// Revision of the first reading; changes before it are not known.
    first: FleetRevision,
    records: BTreeMap<String, KnownRecord>,
    /// When it was last known to be the newest.
    heard_at: Option<Duration>,
    /// Whether the last call for it failed.
    is_lost: bool,
}

/// A record with the revision that brought it; `None` once it was removed.
struct KnownRecord {
    revision: FleetRevision,
    record: Option<FleetRecord>,
}

impl TopicState {
    fn set(&mut self, name: &str, revision: FleetRevision, record: Option<FleetRecord>) {
        self.records.insert(name.to_string(), KnownRecord { revision, record });
    }

    /// Takes in all records; those that are not among them are gone.
    fn replace(&mut self, news: &FleetUpdate) {
        if self.first == 0 {
            self.first = news.revision;
        }
        let named: BTreeSet<&String> = news.records.iter().map(|it| &it.name).collect();
        let gone = self
            .records
            .iter_mut()
            .filter(|(name, it)| it.record.is_some() && !named.contains(name));
        for (_, known) in gone {
            *known = KnownRecord { revision: news.revision, record: None };
        }
    }

    fn update(&mut self, news: &FleetUpdate) {
        self.revision = self.revision.max(news.revision);
        for named in &news.records {
            let known = self.records.get(&named.name).and_then(|it| it.record.as_ref());
            if known != named.record.as_ref() {
                self.set(&named.name, news.revision, named.record.clone());
            }
        }
    }
}

impl Recorder {
    pub(crate) fn open(desk: Arc<Desk>, node: &str) -> Recorder {
        Recorder {
            desk,
            lapses: Mutex::default(),
            topics: Mutex::default(),
            node: node.to_string(),
            reading: Mutex::new(CacheReading::All),
            changed: watch::Sender::new(0),
        }
    }

    fn topics(&self) -> MutexGuard<'_, BTreeMap<FleetTopic, TopicState>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Revision up to which a topic was read.
    pub(crate) fn revision(&self, topic: FleetTopic) -> FleetRevision {
        self.topics().get(&topic).map_or(0, |state| state.revision)
    }

    /// Records of a topic that are newer than a revision.
    pub(crate) fn newer_than(&self, topic: FleetTopic, since: FleetRevision) -> Option<PeerNews> {
        let topics = self.topics();
        let state = topics.get(&topic)?;
        let is_whole = since < state.first;
        let newer = state.records.iter().filter(|(_, it)| it.revision > since);
        let records = newer.filter(|(_, it)| !is_whole || it.record.is_some());
        let records =
            records.map(|(name, it)| NamedRecord { name: name.clone(), record: it.record.clone() });
        let news = FleetUpdate { records: records.collect(), revision: state.revision };
        // Who follows this process must not wait until its records are old.
        let heard_at = state.heard_at.filter(|_| !state.is_lost);
        let age = heard_at.map(|at| self.desk.now().saturating_sub(at));
        let age_ms = age.map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        Some(PeerNews { news, is_whole, age_ms })
    }

    /// Takes in what another entry process told. Gives whether it was newer.
    pub(crate) fn take_over(&self, topic: FleetTopic, told: &PeerNews) -> bool {
        if told.news.revision <= self.revision(topic) {
            return false;
        }
        if told.is_whole {
            return self.replace(topic, &told.news);
        }
        self.update(topic, &told.news);
        true
    }

    /// Time since a topic was last known to be the newest.
    pub(crate) fn age(&self, topic: FleetTopic) -> Option<Duration> {
        let heard_at = self.topics().get(&topic)?.heard_at?;
        Some(self.desk.now().saturating_sub(heard_at))
    }

    /// Notes that a topic was the newest a while ago.
    pub(crate) fn note_newest(&self, topic: FleetTopic, age: Duration) {
        let at = self.desk.now().saturating_sub(age);
        let mut topics = self.topics();
        let state = topics.entry(topic).or_default();
        state.heard_at = state.heard_at.max(Some(at));
        state.is_lost = false;
        drop(topics);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Tells of every change, for those who wait for one.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The entry processes by name.
    fn entries(&self) -> Vec<RegisteredEntry> {
        let topics = self.topics();
        let records = topics.get(&FleetTopic::Entries).map(|state| &state.records);
        let entries = records.into_iter().flat_map(BTreeMap::values);
        entries
            .filter_map(|known| match &known.record {
                Some(FleetRecord::Entry(entry)) => Some(entry.clone()),
                _ => None,
            })
            .collect()
    }

    /// Addresses of a few other entry processes, other ones each time.
    pub(crate) fn some_entries(&self, count: usize) -> Vec<String> {
        let mut others = self.other_entries();
        others.shuffle(&mut rand::rng());
        others.into_iter().take(count).map(|entry| entry.address.to_string()).collect()
    }

    /// Whether the fleet's list names this process.
    pub(crate) fn is_listed(&self) -> bool {
        self.entries().iter().any(|entry| entry.name == self.node)
    }

    /// The other entry processes.
    pub(crate) fn other_entries(&self) -> Vec<RegisteredEntry> {
        let mut others = self.entries();
        others.retain(|entry| entry.name != self.node);
        others
    }

    /// How this process learns what caches keep.
    pub(crate) fn cache_reading(&self) -> CacheReading {
        self.reading.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this process reads the platform and the caches for others.
    pub(crate) fn is_relay(&self) -> bool {
        self.cache_reading() == CacheReading::Relay
    }

    /// Addresses of the processes that this one follows.
    pub(crate) fn relays_to_follow(&self) -> Vec<String> {
        match self.cache_reading() {
            CacheReading::Follower { relays } => relays,
            _ => Vec::new(),
        }
    }

    fn lapses(&self) -> MutexGuard<'_, Lapses> {
        self.lapses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the platform could not be reached for a topic.
    pub(crate) fn note_lost(&self, topic: FleetTopic) {
        self.topics().entry(topic).or_default().is_lost = true;
        self.lapses().note_lost();
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether the last call for a topic failed.
    pub(crate) fn is_lost(&self, topic: FleetTopic) -> bool {
        self.topics().get(&topic).is_some_and(|state| state.is_lost)
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
    pub(crate) fn replace(&self, topic: FleetTopic, news: &FleetUpdate) -> bool {
        {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            if news.revision < state.revision {
                return false;
            }
            state.replace(news);
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
    pub(crate) fn update(&self, topic: FleetTopic, news: &FleetUpdate) {
        {
            let mut topics = self.topics();
            topics.entry(topic).or_default().update(news);
        }
        for record in &news.records {
            self.take(topic, record, news.revision);
        }
        self.changed.send_modify(|count| *count += 1);
        if topic == FleetTopic::Entries {
            self.entries_changed();
        }
    }

    fn entries_changed(&self) {
        let entries = self.entries();
        let reading = cache_reading(&entries, &self.node);
        *self.reading.lock().unwrap_or_else(PoisonError::into_inner) = reading;
        self.desk.set_entries(entries.len());
        self.desk.caches_changed.notify_waiters();
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
        if self.desk.install(ServingIndex::open(document.clone())) {
            spdlog::info!("serving document in force", kv: { version, routes, revision });
        }
    }

    fn target(&self, listed: &RegisteredTarget, revision: u64) {
        self.lapses().came_back(&listed.id);
        let mut state = self.desk.lock();
        let known = state.placement.targets().get(&listed.id);
        let is_changed = known.is_none_or(|it| {
            it.listed.is_draining != listed.is_draining || it.listed.weights != listed.weights
        });
        let is_new = state.placement.set_target(listed.clone());
        drop(state);
        if is_new {
            self.desk.caches_changed.notify_waiters();
        }
        if is_new || is_changed {
            spdlog::info!("target listed", kv: {
                target = listed.id.as_str(),
                service = listed.service.as_str(),
                draining = listed.is_draining,
                weights:? = listed.weights,
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

    fn weights(&self, weights: &DesiredWeights, revision: u64) {
        let now = self.desk.now();
        let (model, version) = (weights.model.as_str(), weights.weight_version);
        if self.desk.lock().placement.weights.name(model, version, now) {
            spdlog::info!("weights named", kv: { model, version, revision });
            self.desk.weights_changed.notify_one();
        }
    }
}
