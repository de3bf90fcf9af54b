//! What one process tells of caches is what another one knows of them.

use super::relay::{CacheRelay, apply};
use crate::{desk::Desk, test_support::empty_desk};
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

fn desk() -> Arc<Desk> {
    let desk = empty_desk();
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
        desk.lock().placement.parts.set_cache(address, kind, "mnl-a", memory);
    }
    desk
}

fn changes(parts: &[(&str, u64)]) -> PartChanges {
    let change = |(part, tokens): &(&str, u64)| PartChange {
        scope: "tala.1".to_string(),
        part: part.to_string(),
        tokens: *tokens,
    };
    PartChanges { epoch: 1, next: 1, has_gap: false, changes: parts.iter().map(change).collect() }
}

fn keepers(desk: &Desk, part: &str) -> Vec<(SocketAddr, u64)> {
    let state = desk.lock();
    let keepers = state.placement.parts.holders(PartFingerprint::of("tala.1", part));
    keepers.map(|(address, _, tokens)| (*address, tokens)).collect()
}

#[tokio::test(start_paused = true)]
async fn followers_know_what_the_process_that_reads_caches_knows() {
    let (reader, follower) = (desk(), desk());
    let relay = CacheRelay::open(reader.clone());
    let read = |address, told: PartChanges, is_reset| {
        reader.lock().placement.parts.apply(&address, &told, reader.now());
        relay.note(address, &told, is_reset);
    };
    read(runner(), changes(&[("a", 500), ("b", 300)]), true);
    read(store(), changes(&[("a", 500)]), true);
    let first = relay.changes(0, 0, Duration::ZERO).await;
    let (log, since) = (first.log, first.next);
    assert!(first.is_whole, "a follower without a place in the log gets all");
    apply(&follower, first);
    assert_eq!(keepers(&follower, "b"), [(runner(), 300)]);
    assert_eq!(keepers(&follower, "a").len(), 2);

    read(runner(), changes(&[("b", 0), ("c", 64)]), false);
    let second = relay.changes(log, since, Duration::ZERO).await;
    assert_eq!((second.is_whole, second.entries.len()), (false, 2), "only what changed");
    apply(&follower, second);
    for part in ["a", "b", "c"] {
        assert_eq!(keepers(&follower, part), keepers(&reader, part), "{part}");
    }

    relay.note_lost(store());
    let third = relay.changes(log, relay.changes(log, 0, Duration::ZERO).await.next - 1, SECOND);
    apply(&follower, third.await);
    assert_eq!(keepers(&follower, "a"), [(runner(), 500)], "nothing is known of a lost cache");
}

#[tokio::test(start_paused = true)]
async fn six_hundred_changes_take_less_than_control_has_for_a_second() {
    let relay = CacheRelay::open(desk());
    let names: Vec<String> = (0..600).map(|index| format!("part-{index}")).collect();
    let parts: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1_670)).collect();
    relay.note(runner(), &changes(&parts), false);
    let news = relay.changes(0, 0, Duration::ZERO).await;
    let known = relay.changes(news.log, 0, Duration::ZERO).await;
    let bytes = serde_json::to_vec(&known).unwrap().len();
    // Control has 24 KB a second in each process.
    assert!(bytes <= 24_000, "{bytes} bytes");
}
