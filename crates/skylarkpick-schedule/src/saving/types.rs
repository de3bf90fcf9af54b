//! Inputs and outputs of the saving policy.

use skylarkpick_interface::{AccountId, PrefixKey, RunnerId, StoreId, StoreTier};
use std::time::{Duration, Instant};

/// Rules of the saving policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SavingSettings {
    /// Bytes of cached context for each token.
    pub context_bytes_per_token: u64,
    /// Prompt tokens that a runner computes in a second.
    pub prefill_tokens_per_second: f64,
    /// Shortest prefix that is saved.
    pub tokens_floor: u64,
    /// Uses of a prefix before it is saved: 1 saves at first sight.
    pub uses_floor: u32,
    /// Share of a store's link that exports may take; the rest is for imports.
    pub export_link_share: f64,
    /// Seconds of recomputing that a saved gigabyte must be expected to spare.
    pub seconds_per_gigabyte_floor: f64,
    /// Expected value, in seconds of recomputing, above which two stores get a copy.
    pub two_copies_seconds: f64,
    /// Share of a store's room that one account may fill while others want room.
    pub account_share_limit: f64,
    /// Whether memory is kept for prefixes that the runners are about to evict, and the first
    /// copy goes to disk.
    pub saves_near_eviction: bool,
    /// Share of a runner's cache, most recently used first, beyond which a prefix is about to
    /// be evicted.
    pub near_eviction_share: f64,
    /// Time after which a prefix that did not return is forgotten.
    pub forgotten_after: Duration,
}

impl Default for SavingSettings {
    fn default() -> SavingSettings {
        SavingSettings {
            context_bytes_per_token: 131_072,
            prefill_tokens_per_second: 20_000.0,
            tokens_floor: 1_024,
            uses_floor: 1,
            export_link_share: 0.3,
            seconds_per_gigabyte_floor: 0.02,
            two_copies_seconds: 4.0,
            account_share_limit: 0.5,
            saves_near_eviction: true,
            near_eviction_share: 0.9,
            forgotten_after: Duration::from_secs(4 * 24 * 3_600),
        }
    }
}

/// Room and link of a store as last known.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCapacity {
    /// The store.
    pub store: StoreId,
    /// Bytes free in memory.
    pub memory_free_bytes: u64,
    /// Bytes of memory in all.
    pub memory_size_bytes: u64,
    /// Bytes free on disk.
    pub disk_free_bytes: u64,
    /// Bytes of disk in all.
    pub disk_size_bytes: u64,
    /// Bytes a second that the link carries.
    pub link_bytes_per_second: f64,
    /// Whether it takes new copies.
    pub usable: bool,
}

/// One copy to save.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveDecision {
    /// Runner that holds the prefix.
    pub runner: RunnerId,
    /// Client account that owns it.
    pub account: AccountId,
    /// Store that receives the copy.
    pub store: StoreId,
    /// Where in the store.
    pub tier: StoreTier,
    /// Last block of the prefix.
    pub prefix_key: PrefixKey,
    /// Tokens to save.
    pub tokens: u64,
    /// Bytes that the copy takes.
    pub size_bytes: u64,
    /// Seconds of recomputing that the copy is expected to spare.
    pub value_seconds: f64,
}

/// A saved copy that may give way.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedEntry {
    /// Last block of the prefix.
    pub prefix_key: PrefixKey,
    /// Client account that owns it.
    pub account: AccountId,
    /// Tokens saved.
    pub tokens: u64,
    /// Bytes that it takes.
    pub size_bytes: u64,
    /// Last time it was saved or imported.
    pub last_used_at: Instant,
}
