//! Tests that cache contents are relayed completely and in messages of limited size.

use super::relay::{CacheRelay, apply};
use crate::{node_state::NodeState, test_support::empty_node_state};
use skylarkpick_interface::{ContextMemory, PartChange, PartChanges};
use skylarkpick_schedule::{CacheKind, PartFingerprint};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

fn runner() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 80))
}

fn store() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 2], 80))
}

fn node_state() -> Arc<NodeState> {
    let node_state = empty_node_state();
    let memory = ContextMemory {
        capacity_tokens: 40_000,
        token_size_bytes: 18_432,
        link_megabits_per_second: 1_000.0,
        first_byte_delay: Duration::ZERO,
        event_readers_limit: 12,
    };
    let kinds =
        [(runner(), CacheKind::Runner("i-1".to_string())), (store(), CacheKind::ManagedStore)];
    for (address, kind) in kinds {
        node_state.lock().placement.parts.set_cache(address, kind, "mnl-a", memory);
    }
    node_state
}

fn changes(parts: &[(&str, u64)]) -> PartChanges {
    let change = |(part, tokens): &(&str, u64)| PartChange {
        scope: "tala.1".to_string(),
        part: part.to_string(),
        tokens: *tokens,
    };
    PartChanges { epoch: 1, next: 1, has_gap: false, changes: parts.iter().map(change).collect() }
}

fn holders(node_state: &NodeState, part: &str) -> Vec<(SocketAddr, u64)> {
    let state = node_state.lock();
    let holders = state.placement.parts.holders(PartFingerprint::of("tala.1", part));
    holders.map(|(address, _, tokens)| (*address, tokens)).collect()
}

#[tokio::test(start_paused = true)]
async fn a_follower_has_the_same_cache_contents_as_its_relay() {
    let (reader, follower) = (node_state(), node_state());
    let relay = CacheRelay::open(reader.clone());
    let read = |address, changes: PartChanges, is_reset| {
        reader.lock().placement.parts.apply(&address, &changes, reader.now());
        relay.append(address, &changes, is_reset);
    };
    read(runner(), changes(&[("a", 500), ("b", 300)]), true);
    read(store(), changes(&[("a", 500)]), true);
    let first = relay.changes(0, 0, Duration::ZERO).await;
    let (log, since) = (first.log, first.next);
    assert!(first.is_complete, "a follower without a position in the log receives a snapshot");
    apply(&follower, first);
    assert_eq!(holders(&follower, "b"), [(runner(), 300)]);
    assert_eq!(holders(&follower, "a").len(), 2);

    read(runner(), changes(&[("b", 0), ("c", 64)]), false);
    let second = relay.changes(log, since, Duration::ZERO).await;
    assert_eq!((second.is_complete, second.entries.len()), (false, 2), "only the changes");
    apply(&follower, second);
    for part in ["a", "b", "c"] {
        assert_eq!(holders(&follower, part), holders(&reader, part), "{part}");
    }

    relay.note_disconnected(store());
    let third = relay.changes(log, relay.changes(log, 0, Duration::ZERO).await.next - 1, SECOND);
    apply(&follower, third.await);
    assert_eq!(holders(&follower, "a"), [(runner(), 500)], "an unreachable cache holds nothing");
}

#[tokio::test(start_paused = true)]
async fn six_hundred_changes_fit_into_one_second_of_control_traffic() {
    let relay = CacheRelay::open(node_state());
    let names: Vec<String> = (0..600).map(|index| format!("part-{index}")).collect();
    let parts: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1_670)).collect();
    relay.append(runner(), &changes(&parts), false);
    let snapshot = relay.changes(0, 0, Duration::ZERO).await;
    let update = relay.changes(snapshot.log, 0, Duration::ZERO).await;
    let bytes = serde_json::to_vec(&update).unwrap().len();
    // Each process may use 24 KB/s for control traffic.
    assert!(bytes <= 24_000, "{bytes} bytes");
}
