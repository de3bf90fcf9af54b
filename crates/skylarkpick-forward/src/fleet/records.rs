//! Stores the platform's records and applies them to the node state.

use super::cache_role::{CacheWatchRole, cache_watch_role, is_load_sampler};
use super::desired_times::{DesiredTimes, UNRECORDED_AGE, WeightsChange};
use super::missing_targets::MissingTargets;
use crate::peers::PeerRecords;
use crate::{
    log::{age_ms, request_log},
    node_state::NodeState,
    serving_index::ServingIndex,
};
use rand::seq::SliceRandom;
use skylarkpick_interface::{
    DesiredWeights, FleetRecord, FleetRevision, FleetTopic, FleetUpdate, NamedRecord,
    RegisteredEntry, RegisteredTarget, ServingDocument, WeightVersion,
};
use skylarkpick_schedule::ReportSource;
use skylarkpick_telemetry::{RECORDS_OLDER, metrics};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Latest platform records by topic. Applies them to the node state, and serves them to other entry
/// processes.
pub(crate) struct FleetRecords {
    node_state: Arc<NodeState>,
    missing_targets: Mutex<MissingTargets>,
    desired_times: Mutex<DesiredTimes>,
    /// Weights without a recorded time that [`FleetRecords::weights_changes`] has not returned yet.
    weights_changes: Mutex<Vec<WeightsChange>>,
    weights_change_seen: Notify,
    topics: Mutex<BTreeMap<FleetTopic, TopicState>>,
    /// Name of this process's VM.
    node: String,
    /// Role of this process, according to the registered entry processes.
    role: Mutex<CacheWatchRole>,
    /// Number of changes; wakes the subscribers.
    changes: watch::Sender<u64>,
}

/// Latest records of a topic.
#[derive(Default)]
struct TopicState {
    revision: FleetRevision,
    /// Revision of the first read; earlier changes are unknown.
    first: FleetRevision,
    records: BTreeMap<String, StoredRecord>,
    /// Time at which the records were last known to be current.
    verified_at: Option<Duration>,
    /// Time at which the latest call began whose response has been applied.
    complete_at: Option<Duration>,
    /// Whether the last call for the topic failed.
    is_disconnected: bool,
}

/// How records arrived.
#[derive(Clone, Copy)]
struct RecordOrigin {
    revision: FleetRevision,
    /// Whether the topic was unknown before, so that a record may have changed long ago.
    is_first_read: bool,
    /// Time at which none of the changes had happened yet, if one is known.
    not_before: Option<Duration>,
}

/// A record and the revision of its last change; `None` if it was removed.
struct StoredRecord {
    revision: FleetRevision,
    record: Option<FleetRecord>,
}

impl TopicState {
    fn set(&mut self, name: &str, revision: FleetRevision, record: Option<FleetRecord>) {
        self.records.insert(name.to_string(), StoredRecord { revision, record });
    }

    /// Removes the records that are not in a complete update.
    fn remove_missing(&mut self, update: &FleetUpdate) {
        if self.first == 0 {
            self.first = update.revision;
        }
        let named: BTreeSet<&String> = update.records.iter().map(|it| &it.name).collect();
        let removed = self
            .records
            .iter_mut()
            .filter(|(name, it)| it.record.is_some() && !named.contains(name));
        for (_, known) in removed {
            *known = StoredRecord { revision: update.revision, record: None };
        }
    }

    /// Returns whether an update removes a record that was never known, so that it was added and
    /// removed unseen: other processes send only the last state of each record.
    fn lacks_changes(&self, update: &FleetUpdate) -> bool {
        let mut added: BTreeSet<&String> = BTreeSet::new();
        update.records.iter().any(|named| {
            let is_known = self.records.contains_key(&named.name) || added.contains(&named.name);
            added.insert(&named.name);
            named.record.is_none() && !is_known
        })
    }

    fn update(&mut self, update: &FleetUpdate) {
        self.revision = self.revision.max(update.revision);
        for named in &update.records {
            let known = self.records.get(&named.name).and_then(|it| it.record.as_ref());
            if known != named.record.as_ref() {
                self.set(&named.name, update.revision, named.record.clone());
            }
        }
    }
}

impl FleetRecords {
    pub(crate) fn open(node_state: Arc<NodeState>, node: &str) -> FleetRecords {
        FleetRecords {
            node_state,
            missing_targets: Mutex::default(),
            desired_times: Mutex::default(),
            weights_changes: Mutex::default(),
            weights_change_seen: Notify::new(),
            topics: Mutex::default(),
            node: node.to_string(),
            role: Mutex::new(CacheWatchRole::Direct),
            changes: watch::Sender::new(0),
        }
    }

    fn topics(&self) -> MutexGuard<'_, BTreeMap<FleetTopic, TopicState>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the revision up to which a topic has been read.
    pub(crate) fn revision(&self, topic: FleetTopic) -> FleetRevision {
        self.topics().get(&topic).map_or(0, |state| state.revision)
    }

    /// Returns the records of a topic that are newer than a revision, or `None` if the topic has
    /// not been read.
    pub(crate) fn records_since(
        &self,
        topic: FleetTopic,
        since: FleetRevision,
    ) -> Option<PeerRecords> {
        let topics = self.topics();
        let state = topics.get(&topic)?;
        let is_complete = since < state.first;
        let newer = state.records.iter().filter(|(_, it)| it.revision > since);
        let records = newer.filter(|(_, it)| !is_complete || it.record.is_some());
        let records =
            records.map(|(name, it)| NamedRecord { name: name.clone(), record: it.record.clone() });
        let update = FleetUpdate { records: records.collect(), revision: state.revision };
        // After a failed call the age is unlimited, so that followers read from another relay or
        // from the platform immediately.
        let verified_at = state.verified_at.filter(|_| !state.is_disconnected);
        let now = self.node_state.now();
        let age_ms =
            |at: Duration| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        Some(PeerRecords {
            update,
            is_complete,
            age_ms: verified_at.map_or(u64::MAX, age_ms),
            // Rounded up, since the time must not be later than it was.
            complete_age_ms: state.complete_at.map(|at| age_ms(at).saturating_add(1)),
        })
    }

    /// Applies records of another entry process. Returns whether they were newer.
    pub(crate) fn apply_peer_records(&self, topic: FleetTopic, received: &PeerRecords) -> bool {
        if received.update.revision <= self.revision(topic) {
            return false;
        }
        if received.is_complete {
            return self.replace(topic, &received.update);
        }
        self.update(topic, &received.update);
        true
    }

    /// Returns the time since a topic was last known to be current.
    pub(crate) fn age(&self, topic: FleetTopic) -> Option<Duration> {
        let verified_at = self.topics().get(&topic)?.verified_at?;
        Some(self.node_state.now().saturating_sub(verified_at))
    }

    /// Records that a topic was current `age` ago.
    pub(crate) fn note_current(&self, topic: FleetTopic, age: Duration) {
        let at = self.node_state.now().saturating_sub(age);
        let mut topics = self.topics();
        let state = topics.entry(topic).or_default();
        state.verified_at = state.verified_at.max(Some(at));
        state.is_disconnected = false;
        drop(topics);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that all changes of a topic up to the node time `at` have been applied. Only the start
    /// of a call is such a time, since its response may have been delayed.
    pub(crate) fn note_complete(&self, topic: FleetTopic, at: Duration) {
        let mut topics = self.topics();
        let state = topics.entry(topic).or_default();
        state.complete_at = state.complete_at.max(Some(at));
        drop(topics);
        if topic == FleetTopic::Targets {
            self.node_state.lock().software_versions.note_complete(at);
        }
    }

    /// Returns the node time.
    pub(crate) fn now(&self) -> Duration {
        self.node_state.now()
    }

    /// Returns a receiver that is notified of every change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the name of this process.
    pub(crate) fn node(&self) -> &str {
        &self.node
    }

    /// Returns the registered entry processes.
    pub(crate) fn entries(&self) -> Vec<RegisteredEntry> {
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

    /// Returns the addresses of up to `count` other entry processes, chosen at random.
    pub(crate) fn random_entries(&self, count: usize) -> Vec<String> {
        let mut others = self.other_entries();
        others.shuffle(&mut rand::rng());
        others.into_iter().take(count).map(|entry| entry.address.to_string()).collect()
    }

    /// Returns whether this process is registered.
    pub(crate) fn is_registered(&self) -> bool {
        self.entries().iter().any(|entry| entry.name == self.node)
    }

    /// Returns the other registered entry processes.
    pub(crate) fn other_entries(&self) -> Vec<RegisteredEntry> {
        let mut others = self.entries();
        others.retain(|entry| entry.name != self.node);
        others
    }

    /// Returns whether this process samples the load of the engines in its own data centre.
    pub(crate) fn is_load_sampler(&self, data_centre: &str) -> bool {
        is_load_sampler(&self.entries(), &self.node, data_centre)
    }

    /// Returns the role of this process.
    pub(crate) fn cache_watch_role(&self) -> CacheWatchRole {
        self.role.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether this process watches the platform and the caches for others.
    pub(crate) fn is_relay(&self) -> bool {
        self.cache_watch_role() == CacheWatchRole::Relay
    }

    /// Returns the addresses of the relays that this process follows.
    pub(crate) fn relays(&self) -> Vec<String> {
        match self.cache_watch_role() {
            CacheWatchRole::Follower { relays } => relays,
            _ => Vec::new(),
        }
    }

    fn missing_targets(&self) -> MutexGuard<'_, MissingTargets> {
        self.missing_targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a call to the platform for a topic failed.
    pub(crate) fn note_disconnected(&self, topic: FleetTopic) {
        self.topics().entry(topic).or_default().is_disconnected = true;
        self.missing_targets().note_disconnected();
        if topic == FleetTopic::Targets {
            self.node_state.lock().software_versions.note_disconnected();
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that the platform has no records of a topic.
    pub(crate) fn note_no_records(&self, topic: FleetTopic) {
        match topic {
            FleetTopic::Weights => self.node_state.note_weights_read(),
            FleetTopic::Entries => self.node_state.note_entries_read(),
            FleetTopic::Serving | FleetTopic::Targets => {}
        }
    }

    /// Returns whether the last call for a topic failed.
    pub(crate) fn is_disconnected(&self, topic: FleetTopic) -> bool {
        self.topics().get(&topic).is_some_and(|state| state.is_disconnected)
    }

    /// Records that the platform, or a relay with current records, responded.
    pub(crate) fn note_response(&self) {
        self.missing_targets().note_response(self.node_state.now());
    }

    /// Removes the missing targets whose grace period has ended.
    pub(crate) fn remove_expired_targets(&self) {
        let expired = self.missing_targets().take_expired(self.node_state.now());
        for target in expired {
            self.remove_target(&target, "still missing after the platform's return");
        }
    }

    /// Replaces all records of a topic; records that are not in the update were removed. Returns
    /// false, and changes nothing, if the update is older than the stored records.
    pub(crate) fn replace(&self, topic: FleetTopic, update: &FleetUpdate) -> bool {
        {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            if update.revision < state.revision {
                note_older(topic, update, state.revision);
                return false;
            }
            state.remove_missing(update);
        }
        let named: BTreeSet<&String> = update.records.iter().map(|record| &record.name).collect();
        if topic == FleetTopic::Targets {
            let now = self.node_state.now();
            self.node_state.lock().software_versions.note_read_anew(now);
            let known: Vec<String> =
                self.node_state.lock().placement.targets().keys().cloned().collect();
            for target in known.iter().filter(|target| !named.contains(target)) {
                self.handle_missing_target(target);
            }
        }
        self.update(topic, update);
        true
    }

    /// Applies changes of a topic. An update that is older than the stored records changes nothing:
    /// these were read meanwhile, and contain its changes.
    pub(crate) fn update(&self, topic: FleetTopic, update: &FleetUpdate) {
        let origin = {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            if update.revision < state.revision {
                note_older(topic, update, state.revision);
                return;
            }
            let is_first_read = state.revision == 0;
            let not_before = state.complete_at.filter(|_| !is_first_read);
            if topic == FleetTopic::Targets && state.lacks_changes(update) {
                let now = self.node_state.now();
                self.node_state.lock().software_versions.note_gap(now);
            }
            state.update(update);
            RecordOrigin { revision: update.revision, is_first_read, not_before }
        };
        for record in &update.records {
            self.apply(topic, record, origin);
        }
        match topic {
            FleetTopic::Weights => self.node_state.note_weights_read(),
            FleetTopic::Targets => self.weights_change_seen.notify_one(),
            _ => {}
        }
        self.changes.send_modify(|count| *count += 1);
        if topic == FleetTopic::Entries {
            self.entries_changed();
        }
    }

    fn entries_changed(&self) {
        self.node_state.note_entries_read();
        let entries = self.entries();
        let role = cache_watch_role(&entries, &self.node);
        *self.role.lock().unwrap_or_else(PoisonError::into_inner) = role;
        let names = entries.into_iter().map(|entry| entry.name).collect();
        self.node_state.set_entries(&self.node, names);
        self.node_state.caches_changed.notify_waiters();
    }

    fn apply(&self, topic: FleetTopic, named: &NamedRecord, origin: RecordOrigin) {
        let revision = origin.revision;
        match &named.record {
            Some(FleetRecord::Serving(document)) => self.apply_serving(document, revision),
            Some(FleetRecord::Target(target)) => self.apply_target(target, revision),
            Some(FleetRecord::Weights(weights)) => self.apply_weights(weights, origin),
            Some(FleetRecord::Entry(entry)) => {
                let source = match entry.name == self.node {
                    true => ReportSource::OwnRegistration,
                    false => ReportSource::Registration,
                };
                self.node_state.merge_crashes(&entry.crashes, &entry.name, source);
            }
            Some(FleetRecord::Unreadable(why)) => {
                request_log!("invalid platform record", kv: {
                    name = named.name.as_str(), why = why.as_str(), revision,
                });
                if topic == FleetTopic::Targets {
                    self.remove_target(&named.name, "its record is invalid");
                }
            }
            None if topic == FleetTopic::Targets => self.handle_missing_target(&named.name),
            None => {}
        }
    }

    fn apply_serving(&self, document: &ServingDocument, revision: u64) {
        let (version, routes) = (document.version, document.routes.len());
        if self.node_state.install_serving(ServingIndex::open(document.clone())) {
            spdlog::info!("serving document applied", kv: { version, routes, revision });
        }
    }

    fn apply_target(&self, target: &RegisteredTarget, revision: u64) {
        self.missing_targets().note_present(&target.id);
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
                weights:? = target.weights,
                software_version = target.software_version.as_deref().unwrap_or("unknown"),
                started_at_ms = target.started_at_ms,
                is_new,
                revision,
            });
        }
        self.node_state.weights_changed.notify_one();
    }

    fn handle_missing_target(&self, target: &str) {
        let may_reappear = self.missing_targets().note_missing(target, self.node_state.now());
        if !may_reappear {
            self.remove_target(target, "its record was removed");
        }
    }

    fn remove_target(&self, target: &str, why: &str) {
        let mut state = self.node_state.lock();
        state.placement.remove_target(target);
        state.software_versions.remove_target(target, self.node_state.now());
        drop(state);
        spdlog::info!("target removed", kv: { target, why });
        self.node_state.caches_changed.notify_waiters();
    }

    fn apply_weights(&self, weights: &DesiredWeights, origin: RecordOrigin) {
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
        if known.is_some_and(|known| known >= version) {
            return;
        }
        let RecordOrigin { revision, is_first_read, .. } = origin;
        spdlog::info!("desired weights changed", kv: {
            model,
            version,
            revision,
            is_first_read,
            recorded_age_ms = age_ms(recorded_age),
        });
        if recorded_age.is_none() {
            let age = if is_first_read { UNRECORDED_AGE } else { Duration::ZERO };
            let since_ms = wall_ms.saturating_sub(age.as_millis() as u64);
            let model = model.to_string();
            let change = WeightsChange { model, version, since_ms, is_first_read };
            self.lock_weights_changes().push(change);
            self.weights_change_seen.notify_one();
        }
    }

    /// Sets since when a version is desired. `known` is the desired version so far.
    fn set_desired_weights(
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

    fn lock_weights_changes(&self) -> MutexGuard<'_, Vec<WeightsChange>> {
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

    fn is_older_served(&self, weights: &WeightsChange) -> bool {
        let state = self.node_state.lock();
        let mut served =
            state.placement.targets().values().filter_map(|it| it.weight_version(&weights.model));
        served.any(|served| served < weights.version)
    }

    /// Returns whether the record has the time since which these weights are desired.
    pub(super) fn has_desired_since(&self, weights: &WeightsChange) -> bool {
        let topics = self.topics();
        let records = topics.get(&FleetTopic::Weights).map(|state| &state.records);
        records.into_iter().flat_map(BTreeMap::values).any(|stored| {
            let Some(FleetRecord::Weights(found)) = &stored.record else { return false };
            found.model == weights.model && found.desired_since_ms.contains_key(&weights.version)
        })
    }
}

/// Logs an update of a topic that is ignored, since it is older than the stored records.
fn note_older(topic: FleetTopic, update: &FleetUpdate, known: FleetRevision) {
    metrics().count(&RECORDS_OLDER, &[("topic", &topic.to_string())]);
    request_log!("older platform records ignored", kv: {
        topic:,
        revision: = update.revision,
        known_revision: = known,
        records = update.records.len(),
    });
}
