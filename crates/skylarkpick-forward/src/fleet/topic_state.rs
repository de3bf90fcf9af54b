//! Latest records of a topic of the platform, over returns of its store from older copies.

use super::newest_record::{is_versioned, newest_record};
use super::records::UpdateKind;
use skylarkpick_interface::{FleetRecord, FleetUpdate, NamedRecord, StoreRevision};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Latest records of a topic.
#[derive(Default)]
pub(super) struct TopicState {
    pub(super) revision: StoreRevision,
    /// Revision of the first read of its era; earlier changes are unknown.
    first: StoreRevision,
    /// Whether the store has come back from an older copy.
    is_after_return: bool,
    records: BTreeMap<String, StoredRecord>,
    /// Time at which the records were last known to be current.
    pub(super) verified_at: Option<Duration>,
    /// Time at which the latest call began whose response has been applied.
    pub(super) complete_at: Option<Duration>,
    /// Whether the last call for the topic failed.
    pub(super) is_disconnected: bool,
}

/// A record and the revision of its last change; `None` if it was removed.
struct StoredRecord {
    revision: StoreRevision,
    record: Option<FleetRecord>,
    /// Whether it is newer than the store's own, which has lost it.
    is_retained: bool,
}

/// What a list of a later era changed in the records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct EraChange {
    pub(super) known: StoreRevision,
    /// Records that the list lacks and that were dropped.
    pub(super) dropped: usize,
    /// Records that stay in force, although the list lacks them or has older versions.
    pub(super) retained: usize,
}

/// State of a record after one change of an update. An update may hold several changes of a record, so
/// the last of them has the record that is stored.
pub(super) struct StoredChange {
    pub(super) name: String,
    /// The stored record, which is not that of the change if a newer one was known; `None` if it was
    /// removed.
    pub(super) record: Option<FleetRecord>,
    /// Whether it had been stored before.
    pub(super) is_unchanged: bool,
}

impl TopicState {
    /// Returns the record of a name, unless it was removed.
    pub(super) fn record(&self, name: &str) -> Option<&FleetRecord> {
        self.records.get(name)?.record.as_ref()
    }

    /// Returns the records that were not removed.
    pub(super) fn records(&self) -> impl Iterator<Item = (&String, &FleetRecord)> {
        self.records.iter().filter_map(|(name, it)| Some((name, it.record.as_ref()?)))
    }

    /// Returns whether the topic has been read.
    pub(super) fn is_read(&self) -> bool {
        self.revision != StoreRevision::default()
    }

    /// Returns the records that are newer than a revision, and whether they are all.
    pub(super) fn records_since(&self, since: StoreRevision) -> (Vec<NamedRecord>, bool) {
        let is_complete = since < self.first;
        let newer = self.records.iter().filter(|(_, it)| it.revision > since);
        let records = newer.filter(|(_, it)| !is_complete || it.record.is_some());
        let records =
            records.map(|(name, it)| NamedRecord { name: name.clone(), record: it.record.clone() });
        (records.collect(), is_complete)
    }

    /// Prepares for a complete update: removes the records that are not in it. After a return of the
    /// store, what it may have lost stays in force if its versions only increase.
    pub(super) fn remove_missing(&mut self, update: &FleetUpdate) -> Option<EraChange> {
        let known = self.revision;
        let is_new_era = self.is_read() && update.revision.era > known.era;
        if is_new_era || !self.is_read() {
            self.first = update.revision;
        }
        self.is_after_return |= is_new_era;
        let named: BTreeMap<&String, &NamedRecord> =
            update.records.iter().map(|it| (&it.name, it)).collect();
        let (mut dropped, mut retained) = (0, 0);
        for (name, stored) in &mut self.records {
            if is_new_era {
                // Followers of an earlier era receive all records.
                stored.revision = update.revision;
            }
            if let Some(found) = named.get(name) {
                let newest = newest_record(stored.record.as_ref(), found.record.as_ref());
                retained += usize::from(newest.is_known);
                continue;
            }
            if stored.record.is_none() {
                continue;
            }
            if stored.record.as_ref().is_some_and(is_versioned) {
                stored.is_retained = true;
                retained += 1;
            } else {
                let revision = update.revision;
                *stored = StoredRecord { revision, record: None, is_retained: false };
                dropped += 1;
            }
        }
        is_new_era.then_some(EraChange { known, dropped, retained })
    }

    /// Returns whether an update removes a record that was never known, so that it was added and
    /// removed unseen: other processes send only the last state of each record.
    pub(super) fn lacks_changes(&self, update: &FleetUpdate) -> bool {
        let mut added: BTreeSet<&String> = BTreeSet::new();
        update.records.iter().any(|named| {
            let is_known = self.records.contains_key(&named.name) || added.contains(&named.name);
            added.insert(&named.name);
            named.record.is_none() && !is_known
        })
    }

    /// Stores the records of an update, and returns what is stored after each of its changes. A
    /// configuration or weights version never goes back.
    pub(super) fn update(&mut self, update: &FleetUpdate, kind: UpdateKind) -> Vec<StoredChange> {
        self.revision = self.revision.max(update.revision);
        let store = |named: &NamedRecord| {
            let is_unchanged = !self.store(named, update.revision, kind);
            let record = self.record(&named.name).cloned();
            StoredChange { name: named.name.clone(), record, is_unchanged }
        };
        update.records.iter().map(store).collect()
    }

    /// Stores records that another process knows and the store may have lost. Returns those that are
    /// in force now and were not before.
    pub(super) fn merge_retained(&mut self, retained: &[NamedRecord]) -> Vec<NamedRecord> {
        let mut changed = Vec::new();
        for named in retained {
            let known = self.records.get(&named.name);
            let was_retained = known.is_some_and(|it| it.is_retained);
            let newest = newest_record(self.record(&named.name), named.record.as_ref());
            if newest.record.as_ref() == self.record(&named.name) {
                continue;
            }
            let is_newer = self
                .record(&named.name)
                .is_none_or(|known| newest_record(named.record.as_ref(), Some(known)).is_known);
            let is_retained = was_retained || is_newer;
            let (revision, record) = (self.revision, newest.record);
            changed.push(NamedRecord { name: named.name.clone(), record: record.clone() });
            let stored = StoredRecord { revision, record, is_retained };
            self.records.insert(named.name.clone(), stored);
        }
        changed
    }

    /// Stores a record, unless a newer one is known. Returns whether this changed anything.
    fn store(&mut self, named: &NamedRecord, revision: StoreRevision, kind: UpdateKind) -> bool {
        let newest = newest_record(self.record(&named.name), named.record.as_ref());
        let (record, is_retained) = (newest.record, newest.is_known);
        let is_stored = self
            .records
            .get(&named.name)
            .is_some_and(|it| it.record == record && it.is_retained == is_retained);
        // Followers are told too that a record which the copy had was written since.
        let is_first_write = kind == UpdateKind::Changes
            && self.is_after_return
            && self.records.get(&named.name).is_some_and(|it| it.revision == self.first);
        let is_unknown = record.is_none() && !self.records.contains_key(&named.name);
        if (is_stored && !is_first_write) || is_unknown {
            return false;
        }
        self.records.insert(named.name.clone(), StoredRecord { revision, record, is_retained });
        true
    }
}
