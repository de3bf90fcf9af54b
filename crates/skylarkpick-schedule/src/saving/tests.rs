//! Tests of the saving policy.

use super::*;
use skylarkpick_interface::StoreTier;
use std::time::{Duration, Instant};

fn capacity(store: &str, memory_free_bytes: u64) -> StoreCapacity {
    StoreCapacity {
        store: store.to_string(),
        memory_free_bytes,
        memory_size_bytes: 64 << 30,
        disk_free_bytes: 1 << 40,
        disk_size_bytes: 1 << 40,
        link_bytes_per_second: 12.5e9,
        usable: true,
    }
}

#[test]
fn saves_a_used_prefix_if_it_is_worth_its_size() {
    struct Case {
        name: &'static str,
        settings: SavingSettings,
        tokens: u64,
        uses: u32,
        memory_free_bytes: u64,
        saved: Vec<StoreTier>,
    }
    let settings = SavingSettings { saves_near_eviction: false, ..SavingSettings::default() };
    let cases = [
        Case {
            name: "a long prefix to memory",
            settings,
            tokens: 32_768,
            uses: 1,
            memory_free_bytes: 64 << 30,
            saved: vec![StoreTier::Memory],
        },
        Case {
            name: "to disk if memory is full",
            settings,
            tokens: 32_768,
            uses: 1,
            memory_free_bytes: 0,
            saved: vec![StoreTier::Disk],
        },
        Case {
            name: "to disk if memory is reserved for prefixes near eviction",
            settings: SavingSettings { saves_near_eviction: true, ..settings },
            tokens: 32_768,
            uses: 1,
            memory_free_bytes: 64 << 30,
            saved: vec![StoreTier::Disk],
        },
        Case {
            name: "not a short prefix",
            settings,
            tokens: 512,
            uses: 1,
            memory_free_bytes: 64 << 30,
            saved: vec![],
        },
        Case {
            name: "not on the first use if two uses are required",
            settings: SavingSettings { uses_floor: 2, ..settings },
            tokens: 32_768,
            uses: 1,
            memory_free_bytes: 64 << 30,
            saved: vec![],
        },
        Case {
            name: "to two stores if the value is high",
            settings: SavingSettings { two_copies_seconds: 0.1, ..settings },
            tokens: 32_768,
            uses: 1,
            memory_free_bytes: 64 << 30,
            saved: vec![StoreTier::Memory, StoreTier::Memory],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut policy = SavingPolicy::open(case.settings);
        policy.set_store(capacity("tala-cache", case.memory_free_bytes));
        policy.set_store(capacity("tala-cache-b", case.memory_free_bytes));
        let mut saved = Vec::new();
        for _ in 0..case.uses {
            saved.extend(policy.on_use("runner-1", 1, "davao", case.tokens, now));
        }
        let tiers: Vec<StoreTier> = saved.iter().map(|decision| decision.tier).collect();
        assert_eq!(tiers, case.saved, "{}", case.name);
    }
}

#[test]
fn stops_exports_while_the_queue_of_the_link_is_long() {
    let now = Instant::now();
    let mut policy = SavingPolicy::open(SavingSettings::default());
    policy.set_store(capacity("tala-cache", 64 << 30));
    let started =
        (0..64).filter(|key| !policy.on_use("runner-1", *key, "davao", 32_768, now).is_empty());
    let at_once = started.count();
    assert!(at_once < 64, "{at_once} exports at once");
    let later = now + Duration::from_secs(60);
    assert!(!policy.on_use("runner-1", 100, "davao", 32_768, later).is_empty());
}

#[test]
fn evicts_copies_of_accounts_above_their_share_first() {
    let now = Instant::now();
    let policy = SavingPolicy::open(SavingSettings::default());
    let entry = |prefix_key, account: &str, age: u64| SavedEntry {
        prefix_key,
        account: account.to_string(),
        tokens: 1_000,
        size_bytes: 100,
        last_used_at: now.checked_sub(Duration::from_secs(age)).unwrap_or(now),
    };
    let entries =
        [entry(1, "small", 50), entry(2, "large", 10), entry(3, "large", 20), entry(4, "large", 5)];
    assert_eq!(policy.evict(&entries, 400, 100, now), vec![3]);
    assert_eq!(policy.evict(&entries, 400, 200, now), vec![3, 1]);
}

#[test]
fn saves_a_prefix_near_eviction_to_memory() {
    let mut now = Instant::now();
    let settings = SavingSettings { near_eviction_share: 0.6, ..SavingSettings::default() };
    let mut policy = SavingPolicy::open(settings);
    policy.set_store(capacity("tala-cache", 64 << 30));
    let mut to_memory = Vec::new();
    for key in 0..12 {
        now += Duration::from_secs(30);
        // The runner evicts while it computes, so the event arrives before the use is recorded.
        if key >= 4 {
            policy.on_evicted("runner-1", key - 4);
        }
        for decision in policy.on_use("runner-1", key, "davao", 8_192, now) {
            if decision.tier == StoreTier::Memory {
                to_memory.push((key, decision.prefix_key));
            }
        }
    }
    assert!(to_memory.contains(&(8, 6)), "{to_memory:?}");
    assert!(to_memory.iter().all(|(used, saved)| used > saved), "{to_memory:?}");
}
