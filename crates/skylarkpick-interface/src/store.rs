//! Stores: VMs that hold saved prefixes in memory and on disk, behind a link of limited bandwidth.

use crate::ids::{AccountId, Generation, PrefixKey, WeightVersion};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// ID of a pin: a use of a saved prefix that prevents it from being freed.
pub type PinId = u64;

/// Storage tier of a saved prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreTier {
    /// Memory: fast and small.
    Memory,
    /// Disk: slow and large.
    Disk,
}

/// Description of a saved prefix, complete before its first byte is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SavedPrefix {
    /// Key of the prefix's last block.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Keys of all blocks of the prefix, in order.
    #[serde(with = "crate::hexadecimal::many")]
    pub prefix_keys: Vec<PrefixKey>,
    /// Client account that owns the text.
    pub account: AccountId,
    /// Weights that the blocks were computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the prefix.
    pub tokens: u64,
    /// Size of the blocks.
    pub size_bytes: u64,
    /// Tier to store it in.
    pub tier: StoreTier,
}

/// Lifecycle state of a saved prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestState {
    /// The blocks are being written; the prefix can't be imported yet.
    Writing,
    /// The prefix is complete and can be imported.
    Sealed,
    /// No new pins are allowed; the prefix is freed when the last one is released.
    Retiring,
    /// The prefix no longer exists.
    Freed,
}

/// A saved prefix, with its state and the digest that its bytes are verified against.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Description of the prefix.
    pub prefix: SavedPrefix,
    /// Number of this save of the prefix; monotonically increasing within a store.
    pub generation: Generation,
    /// Digest of the bytes; empty until the prefix is sealed.
    pub digest: String,
    /// Lifecycle state.
    pub state: ManifestState,
}

/// Status report of a store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreStatus {
    /// Memory in use.
    pub memory_used_bytes: u64,
    /// Memory capacity.
    pub memory_size_bytes: u64,
    /// Disk space in use.
    pub disk_used_bytes: u64,
    /// Disk capacity.
    pub disk_size_bytes: u64,
    /// Bandwidth of the link.
    pub link_bytes_per_second: f64,
    /// Bytes queued for the link.
    pub link_queued_bytes: u64,
    /// Bytes transferred over the link since the store started.
    pub link_carried_bytes: u64,
    /// Incarnation number, which changes on every start of the store.
    pub incarnation: u64,
    /// Whether the store is about to shut down.
    pub leaving: bool,
}

/// Error of a store operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum StoreError {
    /// The tier has no free space.
    #[error("the store is full")]
    Full,
    /// The prefix doesn't exist at this generation, or is not sealed.
    #[error("no such saved prefix")]
    NotFound,
    /// The store was unreachable, or the operation failed.
    #[error("the store failed: {0}")]
    Failed(String),
}

/// Client for a store VM.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reserves space for a prefix and returns the generation to write it under.
    async fn reserve(&self, prefix: SavedPrefix) -> Result<Generation, StoreError>;

    /// Writes the blocks of a reserved prefix and returns their digest. Called by runners.
    async fn write(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        content: Vec<u8>,
        size_bytes: u64,
    ) -> Result<String, StoreError>;

    /// Seals a prefix that has been written, so that it can be imported.
    async fn seal(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        digest: &str,
    ) -> Result<(), StoreError>;

    /// Prevents a sealed prefix from being freed. Returns the pin and the manifest.
    async fn pin(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(PinId, Manifest), StoreError>;

    /// Reads the blocks of a sealed prefix. Called by runners.
    async fn read(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<Vec<u8>, StoreError>;

    /// Releases a pin; an unknown pin is not an error.
    async fn unpin(&self, pin: PinId) -> Result<(), StoreError>;

    /// Stops allowing new pins, and frees the prefix when the last pin is released.
    async fn retire(&self, prefix_key: PrefixKey, generation: Generation)
    -> Result<(), StoreError>;

    /// Lists up to `count_limit` manifests whose keys sort after `after`.
    async fn manifests(
        &self,
        after: Option<PrefixKey>,
        count_limit: usize,
    ) -> Result<Vec<Manifest>, StoreError>;

    /// Reads the store's capacity and link load.
    async fn status(&self) -> Result<StoreStatus, StoreError>;
}
