//! Stores the platform's records and applies them to the node state.

use super::cache_role::{CacheWatchRole, RoleDecision, is_load_sampler, notice_relays};
use super::departed_targets::DepartedTargets;
use super::desired_times::{DesiredTimes, WeightsChange};
use super::evacuation_records::{EvacuationRecords, topics_at_start};
use super::missing_entries::MissingEntries;
use super::missing_targets::MissingTargets;
use super::topic_state::{EraChange, StoredChange, TopicState};
use super::weight_times::WeightTimes;
use crate::peers::PeerRecords;
use crate::{log::request_log, node_state::NodeState};
use rand::seq::SliceRandom;
use skylarkpick_interface::{
    FleetRecord, FleetTopic, FleetUpdate, RegisteredEntry, StoreEra, StoreRevision,
};
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
    pub(super) node_state: Arc<NodeState>,
    pub(super) departed_targets: Mutex<DepartedTargets>,
    pub(super) missing_entries: Mutex<MissingEntries>,
    pub(super) missing_targets: Mutex<MissingTargets>,
    pub(super) desired_times: Mutex<DesiredTimes>,
    pub(super) weight_times: Mutex<WeightTimes>,
    pub(super) evacuations: EvacuationRecords,
    /// Weights without a recorded time that [`FleetRecords::weights_changes`] has not returned yet.
    pub(super) weights_changes: Mutex<Vec<WeightsChange>>,
    pub(super) weights_change_seen: Notify,
    topics: Mutex<BTreeMap<FleetTopic, TopicState>>,
    /// Held while records are stored and applied. Of two updates at the same time, the one that is stored
    /// last is applied last.
    pub(super) applying: Mutex<()>,
    /// Latest era that another process has named.
    heard_era: watch::Sender<StoreEra>,
    /// Name of this process's VM.
    node: String,
    /// Role of this process, according to the registered entry processes.
    role: Mutex<CacheWatchRole>,
    role_decision: Mutex<RoleDecision>,
    /// Relays of all data centres, if notices go through relays.
    notice_relays: Mutex<Option<Vec<RegisteredEntry>>>,
    /// Number of changes; wakes the subscribers.
    pub(super) changes: watch::Sender<u64>,
}

/// How records arrived.
#[derive(Clone, Copy)]
pub(super) struct RecordOrigin {
    pub(super) revision: StoreRevision,
    pub(super) kind: UpdateKind,
    /// Whether the topic was unknown before, so that a record may have changed long ago.
    pub(super) is_first_read: bool,
    /// Time at which none of the changes had happened yet, if one is known.
    pub(super) not_before: Option<Duration>,
}

/// Kind of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UpdateKind {
    /// Changes that were made in the era of the update.
    Changes,
    /// All records. Some may be from before that era.
    List,
    /// All records, the first of a later era.
    ListOfNewEra,
}

/// Where records come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordSource {
    Platform,
    Peer,
}

impl FleetRecords {
    pub(crate) fn open(node_state: Arc<NodeState>, node: &str) -> FleetRecords {
        FleetRecords {
            role_decision: Mutex::new(RoleDecision::open(node_state.now())),
            topics: Mutex::new(topics_at_start(node_state.uses_evacuations())),
            node_state,
            departed_targets: Mutex::default(),
            missing_entries: Mutex::default(),
            missing_targets: Mutex::default(),
            desired_times: Mutex::default(),
            weight_times: Mutex::default(),
            evacuations: EvacuationRecords::default(),
            weights_changes: Mutex::default(),
            weights_change_seen: Notify::new(),
            applying: Mutex::default(),
            heard_era: watch::Sender::default(),
            node: node.to_string(),
            role: Mutex::new(CacheWatchRole::Undecided),
            notice_relays: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    pub(super) fn topics(&self) -> MutexGuard<'_, BTreeMap<FleetTopic, TopicState>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the revision up to which a topic has been read.
    pub(crate) fn revision(&self, topic: FleetTopic) -> StoreRevision {
        self.topics().get(&topic).map_or_else(StoreRevision::default, |state| state.revision)
    }

    /// Records the era that another process has named.
    pub(crate) fn note_heard_era(&self, era: StoreEra) {
        self.heard_era.send_if_modified(|heard| {
            let is_later = era > *heard;
            *heard = era.max(*heard);
            is_later
        });
    }

    /// Waits until another process names a later era than this one. Returns that era.
    pub(super) async fn heard_later_era(&self, era: StoreEra) -> StoreEra {
        let mut heard = self.heard_era.subscribe();
        // It can't fail: `self` owns the sender.
        heard.wait_for(|heard| *heard > era).await.map_or(era, |heard| *heard)
    }

    /// Returns the records of a topic that are newer than a revision, or `None` if the topic has
    /// not been read.
    pub(crate) fn records_since(
        &self,
        topic: FleetTopic,
        since: StoreRevision,
    ) -> Option<PeerRecords> {
        let topics = self.topics();
        let state = topics.get(&topic)?;
        let (records, is_complete) = state.records_since(since);
        let update = FleetUpdate { records, revision: state.revision };
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
            return self.replace_from(topic, &received.update, RecordSource::Peer);
        }
        self.apply_changes(topic, &received.update)
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
        if topic == FleetTopic::Entries {
            self.node_state.note_entries_current(at);
        }
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
        if topic == FleetTopic::Entries {
            self.node_state.note_entries_complete(at);
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

    pub(super) fn registered_entries(
        &self,
        topics: &BTreeMap<FleetTopic, TopicState>,
    ) -> Vec<RegisteredEntry> {
        let records = topics.get(&FleetTopic::Entries).into_iter().flat_map(TopicState::records);
        let entries = records.filter_map(|(_, record)| match record {
            FleetRecord::Entry(entry) => Some(entry.clone()),
            _ => None,
        });
        entries.collect()
    }

    /// Returns whether the fleet's list has this registration, whatever it tells about ends of targets.
    pub(crate) fn is_listed(&self, entry: &RegisteredEntry) -> bool {
        let topics = self.topics();
        let state = topics.get(&FleetTopic::Entries);
        let Some(FleetRecord::Entry(found)) = state.and_then(|state| state.record(&entry.name))
        else {
            return false;
        };
        let content = |it: &RegisteredEntry| {
            (it.address, it.data_centre.clone(), it.cpu_percent, it.fetches_notices)
        };
        content(found) == content(entry)
    }

    /// Returns the addresses of up to `count` other entry processes, chosen at random.
    pub(crate) fn random_entries(&self, count: usize) -> Vec<String> {
        let mut others = self.other_entries();
        others.shuffle(&mut rand::rng());
        others.into_iter().take(count).map(|entry| entry.address.to_string()).collect()
    }

    /// Returns whether this process is registered.
    pub(crate) fn is_registered(&self) -> bool {
        let topics = self.topics();
        self.registered_entries(&topics).iter().any(|entry| entry.name == self.node)
    }

    /// Returns the other entry processes.
    pub(crate) fn other_entries(&self) -> Vec<RegisteredEntry> {
        let mut others = self.entries();
        others.retain(|entry| entry.name != self.node);
        others
    }

    fn locked_notice_relays(&self) -> MutexGuard<'_, Option<Vec<RegisteredEntry>>> {
        self.notice_relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether notices go through relays.
    pub(crate) fn relays_notices(&self) -> bool {
        self.locked_notice_relays().is_some()
    }

    /// Returns the processes that notices are sent to: the relays of all data centres if notices go
    /// through them, else all others.
    pub(crate) fn notice_receivers(&self) -> Vec<RegisteredEntry> {
        let Some(mut relays) = self.locked_notice_relays().clone() else {
            return self.other_entries();
        };
        relays.retain(|entry| entry.name != self.node);
        relays
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

    /// Records that a call to the platform for a topic failed.
    pub(crate) fn note_disconnected(&self, topic: FleetTopic) {
        self.topics().entry(topic).or_default().is_disconnected = true;
        // A platform that serves all but the evacuations keeps the records of targets.
        if topic != FleetTopic::Evacuations {
            self.missing_targets().note_disconnected();
        }
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
            FleetTopic::Evacuations => self.note_no_evacuations(),
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

    /// Replaces all records of a topic; records that are not in the update were removed. Returns
    /// false, and changes nothing, if the update is older than the stored records.
    pub(crate) fn replace(&self, topic: FleetTopic, update: &FleetUpdate) -> bool {
        self.replace_from(topic, update, RecordSource::Platform)
    }

    fn replace_from(&self, topic: FleetTopic, update: &FleetUpdate, source: RecordSource) -> bool {
        let _applying = self.lock_applying();
        // Others must not receive the records between the two steps.
        let (era_change, origin, stored) = {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            if update.revision < state.revision {
                note_older(topic, update, state.revision);
                return false;
            }
            let is_new_era = state.is_read() && update.revision.era > state.revision.era;
            if topic == FleetTopic::Entries && is_new_era {
                self.keep_missing_entries(state, update);
            }
            let era_change = state.remove_missing(update);
            if topic == FleetTopic::Evacuations && era_change.is_some() {
                self.note_lost_evacuations(update);
            }
            let kind = match era_change {
                Some(_) => UpdateKind::ListOfNewEra,
                None => UpdateKind::List,
            };
            let (origin, stored) = self.store(state, topic, update, kind);
            (era_change, origin, stored)
        };
        if let Some(change) = era_change {
            self.note_return(topic, update, change, source);
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
        self.apply_stored(topic, update, origin, stored);
        true
    }

    /// Records that the platform's store came back from an older copy, as its list of a topic shows.
    fn note_return(
        &self,
        topic: FleetTopic,
        update: &FleetUpdate,
        change: EraChange,
        source: RecordSource,
    ) {
        match topic {
            FleetTopic::Targets => self.missing_targets().note_return(self.node_state.now()),
            FleetTopic::Entries => self.node_state.evidence_changed.notify_one(),
            FleetTopic::Serving | FleetTopic::Weights | FleetTopic::Evacuations => {}
        }
        spdlog::info!("the platform's store came back from an older copy", kv: {
            topic:,
            revision: = update.revision,
            known_revision: = change.known,
            learned_from:? = source,
            records = update.records.len(),
            dropped = change.dropped,
            retained = change.retained,
        });
    }

    /// Applies changes of a topic. An update that is older than the stored records changes nothing:
    /// these were read meanwhile, and contain its changes. Neither do changes of another era, which
    /// continue another list.
    pub(crate) fn update(&self, topic: FleetTopic, update: &FleetUpdate) {
        self.apply_changes(topic, update);
    }

    fn apply_changes(&self, topic: FleetTopic, update: &FleetUpdate) -> bool {
        let _applying = self.lock_applying();
        let (origin, stored) = {
            let mut topics = self.topics();
            let state = topics.entry(topic).or_default();
            let is_other_era = state.is_read() && update.revision.era != state.revision.era;
            if update.revision < state.revision || is_other_era {
                note_older(topic, update, state.revision);
                return false;
            }
            self.store(state, topic, update, UpdateKind::Changes)
        };
        self.apply_stored(topic, update, origin, stored);
        true
    }

    /// Stores the records of an update, whose topic is locked.
    fn store(
        &self,
        state: &mut TopicState,
        topic: FleetTopic,
        update: &FleetUpdate,
        kind: UpdateKind,
    ) -> (RecordOrigin, Vec<StoredChange>) {
        let is_first_read = !state.is_read();
        let not_before = state.complete_at.filter(|_| !is_first_read);
        if topic == FleetTopic::Targets && state.lacks_changes(update) {
            let now = self.node_state.now();
            self.node_state.lock().software_versions.note_gap(now);
        }
        if topic == FleetTopic::Entries {
            self.note_entries_written(update);
        }
        let stored = state.update(update, kind);
        (RecordOrigin { revision: update.revision, kind, is_first_read, not_before }, stored)
    }

    pub(super) fn entries_changed(&self) {
        self.node_state.note_entries_read();
        let entries = self.entries();
        let now = self.node_state.now();
        self.locked_role_decision().note_read(&entries, &self.node, now);
        self.decide_role(&entries);
        *self.locked_notice_relays() = notice_relays(&entries);
        let names = entries.into_iter().map(|entry| entry.name).collect();
        self.node_state.set_entries(&self.node, names);
        self.node_state.caches_changed.notify_waiters();
    }

    /// Decides the role of this process if it could not be decided before.
    pub(crate) fn decide_pending_role(&self) {
        if self.cache_watch_role() == CacheWatchRole::Undecided {
            self.decide_role(&self.entries());
        }
    }

    fn decide_role(&self, entries: &[RegisteredEntry]) {
        let now = self.node_state.now();
        let role = self.locked_role_decision().role(entries, &self.node, now);
        let mut known = self.role.lock().unwrap_or_else(PoisonError::into_inner);
        if std::mem::discriminant(&*known) != std::mem::discriminant(&role) {
            spdlog::info!("role in the fleet changed", kv: {
                role = role.name(), entries = entries.len(),
            });
        }
        let is_changed = *known != role;
        *known = role;
        drop(known);
        if is_changed {
            self.node_state.caches_changed.notify_waiters();
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn locked_role_decision(&self) -> MutexGuard<'_, RoleDecision> {
        self.role_decision.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs an update of a topic that is ignored, since it is older than the stored records.
fn note_older(topic: FleetTopic, update: &FleetUpdate, known: StoreRevision) {
    metrics().count(&RECORDS_OLDER, &[("topic", &topic.to_string())]);
    request_log!("older platform records ignored", kv: {
        topic:,
        revision: = update.revision,
        known_revision: = known,
        records = update.records.len(),
    });
}
