//! Inputs and outputs of the saving policy.

use skylarkpick_interface::{AccountId, PrefixKey, RunnerId, StoreId, StoreTier};
use std::time::{Duration, Instant};

/// Rules of the saving policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SavingSettings {
    /// Bytes of cached context per token.
    pub context_bytes_per_token: u64,
    /// Prompt tokens that a runner computes per second.
    pub prefill_tokens_per_second: f64,
    /// Shortest prefix to save.
    pub tokens_floor: u64,
    /// Use of a prefix from which on it is saved; 1 saves it on the first use.
    pub uses_floor: u32,
    /// Share of a store's link that exports may take. The rest is reserved for imports.
    pub export_link_share: f64,
    /// Seconds of recomputation per gigabyte that a copy must be expected to avoid.
    pub seconds_per_gigabyte_floor: f64,
    /// Seconds of recomputation that a copy must be expected to avoid for two stores to get one.
    pub two_copies_seconds: f64,
    /// Share of a store above which copies of an account are evicted before those of others.
    pub account_share_limit: f64,
    /// Whether a prefix is first saved to disk, and saved to memory only when a runner is about to
    /// evict it.
    pub saves_near_eviction: bool,
    /// Share of a runner's cache, in order of last use, beyond which a prefix counts as about to be
    /// evicted.
    pub near_eviction_share: f64,
    /// Time without use after which a prefix is dropped from the history.
    pub history_lifetime: Duration,
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
            history_lifetime: Duration::from_secs(4 * 24 * 3_600),
        }
    }
}

/// Capacity and link of a store, as last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCapacity {
    /// The store.
    pub store: StoreId,
    /// Bytes free in memory.
    pub memory_free_bytes: u64,
    /// Total bytes of memory.
    pub memory_size_bytes: u64,
    /// Bytes free on disk.
    pub disk_free_bytes: u64,
    /// Total bytes of disk.
    pub disk_size_bytes: u64,
    /// Bandwidth of the link.
    pub link_bytes_per_second: f64,
    /// Whether the store accepts new copies.
    pub usable: bool,
}

/// A copy to save.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveDecision {
    /// Runner that holds the prefix.
    pub runner: RunnerId,
    /// Client account that owns it.
    pub account: AccountId,
    /// Store that receives the copy.
    pub store: StoreId,
    /// Tier of the store that receives the copy.
    pub tier: StoreTier,
    /// Last block of the prefix.
    pub prefix_key: PrefixKey,
    /// Tokens to save.
    pub tokens: u64,
    /// Bytes that the copy takes.
    pub size_bytes: u64,
    /// Seconds of recomputation that the copy is expected to avoid.
    pub value_seconds: f64,
}

/// A saved copy that may be evicted.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedEntry {
    /// Last block of the prefix.
    pub prefix_key: PrefixKey,
    /// Client account that owns it.
    pub account: AccountId,
    /// Tokens in the copy.
    pub tokens: u64,
    /// Bytes that the copy takes.
    pub size_bytes: u64,
    /// When the copy was last saved or imported.
    pub last_used_at: Instant,
}
