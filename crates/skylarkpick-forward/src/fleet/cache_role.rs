//! Decides which entry processes watch the caches themselves.
//!
//! A cache serves only a dozen readers of its events. In a small fleet, every process watches every
//! cache. In a larger one, two processes of each data centre do, and relay the changes to the
//! others.

use skylarkpick_interface::{DataCentreId, RegisteredEntry};
use std::{collections::BTreeSet, time::Duration};

/// Maximum number of processes in a fleet without relays.
const DIRECT_WATCH_LIMIT: usize = 12;
/// Number of relays per data centre in a larger fleet. With up to six data centres, they stay
/// within the number of readers that a cache serves.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Time for which a process that was not registered before doesn't take a short list of entry
/// processes for the whole fleet, since many may be starting.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// Time after its start from which a process that can't read the list goes without it.
const UNREAD_SETTLING_TIME: Duration = Duration::from_secs(5);

/// How a process obtains the contents of caches. The role also determines how it reads the
/// platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CacheWatchRole {
    /// It doesn't know the fleet yet, and watches no cache: if each of many processes that start
    /// together watched all caches, they would open connections from each to each.
    Undecided,
    /// It watches every cache.
    Direct,
    /// It watches every cache and relays the changes to others.
    Relay,
    /// It follows one of the relays of its data centre.
    Follower {
        /// Addresses of the relays.
        relays: Vec<String>,
    },
}

impl CacheWatchRole {
    /// Returns the name of the role for logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            CacheWatchRole::Undecided => "undecided",
            CacheWatchRole::Direct => "direct",
            CacheWatchRole::Relay => "relay",
            CacheWatchRole::Follower { .. } => "follower",
        }
    }
}

/// Decides the role of one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleDecision {
    started_at: Duration,
    first_read: Option<FirstRead>,
}

/// First read of the entry processes.
#[derive(Clone, Copy, Debug)]
struct FirstRead {
    at: Duration,
    /// Whether it listed the process, which then has run before.
    was_listed: bool,
}

impl RoleDecision {
    /// Opens the decision of a process that starts at `now`.
    pub(crate) fn open(now: Duration) -> RoleDecision {
        RoleDecision { started_at: now, first_read: None }
    }

    /// Records that the entry processes have been read.
    pub(crate) fn note_read(&mut self, entries: &[RegisteredEntry], node: &str, now: Duration) {
        let was_listed = entries.iter().any(|entry| entry.name == node);
        self.first_read.get_or_insert(FirstRead { at: now, was_listed });
    }

    /// Returns the role of the process `node` among the registered ones.
    pub(crate) fn role(
        &self,
        entries: &[RegisteredEntry],
        node: &str,
        now: Duration,
    ) -> CacheWatchRole {
        match cache_watch_role(entries, node) {
            CacheWatchRole::Direct if !self.is_settled(now) => CacheWatchRole::Undecided,
            role => role,
        }
    }

    fn is_settled(&self, now: Duration) -> bool {
        match self.first_read {
            Some(FirstRead { was_listed: true, .. }) => true,
            Some(FirstRead { at, .. }) => now >= at + SETTLING_TIME,
            None => now >= self.started_at + UNREAD_SETTLING_TIME,
        }
    }
}

/// Returns the role of the process `node`. Every process derives the same roles from the same list;
/// the VMs with the most CPU in a data centre become relays. A process that is not listed watches
/// the caches itself.
pub(crate) fn cache_watch_role(entries: &[RegisteredEntry], node: &str) -> CacheWatchRole {
    let own = entries.iter().find(|entry| entry.name == node);
    let Some(own) = own.filter(|_| entries.len() > DIRECT_WATCH_LIMIT) else {
        return CacheWatchRole::Direct;
    };
    let relays = strongest_entries(entries, &own.data_centre);
    if relays.iter().any(|entry| entry.name == node) {
        return CacheWatchRole::Relay;
    }
    CacheWatchRole::Follower { relays: relays.iter().map(|it| it.address.to_string()).collect() }
}

/// Returns whether the process `node` samples the load of the engines in a data centre. The VMs with
/// the most CPU there do; every process derives the same ones from the same list.
pub(crate) fn is_load_sampler(entries: &[RegisteredEntry], node: &str, data_centre: &str) -> bool {
    strongest_entries(entries, data_centre).iter().any(|entry| entry.name == node)
}

/// Returns the relays of all data centres if notices go through relays: in a larger fleet whose
/// processes all fetch notices from their relays. Else a process of an earlier version would miss
/// them.
pub(crate) fn notice_relays(entries: &[RegisteredEntry]) -> Option<Vec<RegisteredEntry>> {
    let is_relayed =
        entries.len() > DIRECT_WATCH_LIMIT && entries.iter().all(|entry| entry.fetches_notices);
    if !is_relayed {
        return None;
    }
    let data_centres: BTreeSet<&DataCentreId> =
        entries.iter().map(|entry| &entry.data_centre).collect();
    let relays =
        data_centres.into_iter().flat_map(|data_centre| strongest_entries(entries, data_centre));
    Some(relays.cloned().collect())
}

/// Returns the VMs with the most CPU in a data centre.
fn strongest_entries<'a>(
    entries: &'a [RegisteredEntry],
    data_centre: &str,
) -> Vec<&'a RegisteredEntry> {
    let mut strongest: Vec<&RegisteredEntry> =
        entries.iter().filter(|entry| entry.data_centre == data_centre).collect();
    strongest.sort_by_key(|entry| (std::cmp::Reverse(entry.cpu_percent), entry.name.clone()));
    strongest.truncate(RELAYS_PER_DATA_CENTRE);
    strongest
}
