//! Entry processes that the copy lacks from which the platform's store came back.
//!
//! They register again within about two seconds. Until then they keep their place: roles, shares and
//! limits rest on their number, and notices reach them.

use super::missing_targets::RECONNECT_GRACE;
use super::records::FleetRecords;
use super::topic_state::TopicState;
use skylarkpick_interface::{EntryId, FleetRecord, FleetUpdate, RegisteredEntry};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

/// Entry processes that may register again, and the end of their grace period.
#[derive(Debug, Default)]
pub(super) struct MissingEntries {
    missing: BTreeMap<EntryId, RegisteredEntry>,
    until: Duration,
}

impl FleetRecords {
    pub(super) fn missing_entries(&self) -> MutexGuard<'_, MissingEntries> {
        self.missing_entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the registered entry processes, and those that may register again.
    pub(crate) fn entries(&self) -> Vec<RegisteredEntry> {
        let topics = self.topics();
        let mut entries = self.registered_entries(&topics);
        entries.extend(self.missing_entries().missing.values().cloned());
        drop(topics);
        entries.sort_by(|one, other| one.name.cmp(&other.name));
        entries
    }

    /// Keeps the entry processes that a list of a later era lacks.
    pub(super) fn keep_missing_entries(&self, known: &TopicState, list: &FleetUpdate) {
        let listed: BTreeSet<&String> = list.records.iter().map(|named| &named.name).collect();
        let mut state = self.missing_entries();
        for (name, record) in known.records().filter(|(name, _)| !listed.contains(name)) {
            if let FleetRecord::Entry(entry) = record {
                state.missing.insert(name.clone(), entry.clone());
            }
        }
        state.until = self.node_state.now() + RECONNECT_GRACE;
        let kept = state.missing.len();
        drop(state);
        if kept > 0 {
            spdlog::info!("missing entry processes kept after the platform's return", kv: { kept: });
        }
    }

    /// Records that entry processes were registered, or their registrations removed, since.
    pub(super) fn note_entries_written(&self, update: &FleetUpdate) {
        let mut state = self.missing_entries();
        for named in &update.records {
            state.missing.remove(&named.name);
        }
    }

    /// Ends the grace period of entry processes that are still missing.
    pub(crate) fn remove_expired_entries(&self) {
        let expired = {
            let mut state = self.missing_entries();
            if state.missing.is_empty() || self.node_state.now() < state.until {
                return;
            }
            std::mem::take(&mut state.missing)
        };
        let removed = expired.len();
        spdlog::info!("entry processes removed: still missing after the platform's return", kv: {
            removed:, first = expired.keys().next().map_or("", String::as_str),
        });
        self.entries_changed();
        self.changes.send_modify(|count| *count += 1);
    }
}
