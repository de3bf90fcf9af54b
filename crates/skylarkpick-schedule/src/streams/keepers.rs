//! Which entry processes keep the record of a stream for others.

use super::origins::StreamFingerprint;
use crate::placement::rendezvous_weight;
use skylarkpick_interface::{DataCentreId, RegisteredEntry};
use std::{cmp::Reverse, collections::BTreeMap};

/// Number of processes that keep a record: it outlives two of them, and a data centre.
const KEEPERS: usize = 3;
/// Number of processes that are asked in each data centre. Lists of processes may differ by those
/// that have just started or ended.
const ASKED_PER_DATA_CENTRE: usize = 3;
/// Number of processes of a data centre among which the keepers are chosen, so that a process of a
/// large fleet has connections to few others.
const POOL_PER_DATA_CENTRE: usize = 24;

/// Returns the processes that keep the record of a stream that began in `data_centre`: one there and
/// in two others, or in fewer data centres more of each. `others` are the processes but the one that
/// asks.
pub fn stream_keepers<'a>(
    others: &'a [RegisteredEntry],
    stream: StreamFingerprint,
    data_centre: &str,
) -> Vec<&'a RegisteredEntry> {
    let ranked = ranked(others, stream);
    let mut places: Vec<(usize, bool, Reverse<u64>, &RegisteredEntry)> = ranked
        .values()
        .flat_map(|entries| entries.iter().enumerate())
        .map(|(rank, (weight, entry))| {
            (rank, entry.data_centre != data_centre, Reverse(*weight), *entry)
        })
        .collect();
    places.sort_by_key(|(rank, is_elsewhere, weight, _)| (*rank, *is_elsewhere, *weight));
    places.into_iter().take(KEEPERS).map(|(.., entry)| entry).collect()
}

/// Returns the processes to ask for the record of a stream that began anywhere.
pub fn stream_keepers_to_ask(
    others: &[RegisteredEntry],
    stream: StreamFingerprint,
) -> Vec<&RegisteredEntry> {
    let ranked = ranked(others, stream);
    let asked = ranked.values().flat_map(|entries| entries.iter().take(ASKED_PER_DATA_CENTRE));
    asked.map(|(_, entry)| *entry).collect()
}

/// Returns the processes of each data centre that may keep records, those for the stream first.
fn ranked(
    others: &[RegisteredEntry],
    stream: StreamFingerprint,
) -> BTreeMap<&DataCentreId, Vec<(u64, &RegisteredEntry)>> {
    let mut pools: BTreeMap<&DataCentreId, Vec<(u64, &RegisteredEntry)>> = BTreeMap::new();
    for entry in others {
        let weight = rendezvous_weight(&entry.name, "");
        pools.entry(&entry.data_centre).or_default().push((weight, entry));
    }
    let stream = stream.0.to_string();
    for pool in pools.values_mut() {
        pool.sort_by_key(|(weight, _)| Reverse(*weight));
        pool.truncate(POOL_PER_DATA_CENTRE);
        for (weight, entry) in pool.iter_mut() {
            *weight = rendezvous_weight(&stream, &entry.name);
        }
        pool.sort_by_key(|(weight, _)| Reverse(*weight));
    }
    pools
}
