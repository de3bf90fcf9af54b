//! Which processes read the events of caches themselves.
//!
//! A cache serves a dozen readers. A small fleet reads every cache in every process. In a larger
//! one, two processes of each data centre read them and tell the others.

use skylarkpick_interface::RegisteredEntry;

/// Processes up to which each of them reads every cache.
const ALL_READ_LIMIT: usize = 12;
/// Processes of a data centre that read the caches in a larger fleet. With up to six data centres
/// they stay within the readers that a cache serves.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// How a process learns what caches keep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CacheReading {
    /// It reads every cache.
    All,
    /// It reads every cache and tells others of them.
    Relay,
    /// It follows one of these processes.
    Follower {
        /// Addresses of the processes that read the caches.
        relays: Vec<String>,
    },
}

/// How a process learns what caches keep. Every process comes to the same answer from the same
/// list; the strongest VMs of a data centre go first.
pub(crate) fn cache_reading(entries: &[RegisteredEntry], node: &str) -> CacheReading {
    let own = entries.iter().find(|entry| entry.name == node);
    let Some(own) = own.filter(|_| entries.len() > ALL_READ_LIMIT) else {
        return CacheReading::All;
    };
    let mut near: Vec<&RegisteredEntry> =
        entries.iter().filter(|entry| entry.data_centre == own.data_centre).collect();
    near.sort_by_key(|entry| (std::cmp::Reverse(entry.cpu_percent), entry.name.clone()));
    near.truncate(RELAYS_PER_DATA_CENTRE);
    if near.iter().any(|entry| entry.name == node) {
        return CacheReading::Relay;
    }
    CacheReading::Follower { relays: near.iter().map(|it| it.address.to_string()).collect() }
}
