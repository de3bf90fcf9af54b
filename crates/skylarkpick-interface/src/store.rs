//! A store VM: memory and disk behind a limited link, holding saved prefixes.

use crate::ids::{AccountId, Generation, PrefixKey, WeightVersion};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Names one use of a saved prefix that holds off its freeing.
pub type PinId = u64;

/// Where in a store a saved prefix lies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreTier {
    /// Memory: fast, small.
    Memory,
    /// Disk: slow, large.
    Disk,
}

/// What a saved prefix is, known before its first byte is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SavedPrefix {
    /// Last block of the prefix.
    #[serde(with = "crate::hexadecimal::one")]
    pub prefix_key: PrefixKey,
    /// Every block of the prefix, first block first.
    #[serde(with = "crate::hexadecimal::many")]
    pub prefix_keys: Vec<PrefixKey>,
    /// Client account that owns the text.
    pub account: AccountId,
    /// Weights that the blocks were computed with.
    pub weight_version: WeightVersion,
    /// Tokens in the prefix.
    pub tokens: u64,
    /// Bytes that the blocks take.
    pub size_bytes: u64,
    /// Where to put it.
    pub tier: StoreTier,
}

/// Step in the life of a saved prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestState {
    /// Blocks are being written; nothing can be imported.
    Writing,
    /// Whole and importable.
    Sealed,
    /// No new pins; freed when the last one has gone.
    Retiring,
    /// Gone.
    Freed,
}

/// A saved prefix with what is needed to check its bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// What was saved.
    pub prefix: SavedPrefix,
    /// Number of this save of the prefix; only grows in a store.
    pub generation: Generation,
    /// Digest of the bytes, empty until sealed.
    pub digest: String,
    /// Step in its life.
    pub state: ManifestState,
}

/// What a store reports of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreStatus {
    /// Bytes used in memory.
    pub memory_used_bytes: u64,
    /// Bytes that fit in memory.
    pub memory_size_bytes: u64,
    /// Bytes used on disk.
    pub disk_used_bytes: u64,
    /// Bytes that fit on disk.
    pub disk_size_bytes: u64,
    /// Bytes a second that the link carries.
    pub link_bytes_per_second: f64,
    /// Bytes that wait for the link.
    pub link_queued_bytes: u64,
    /// Bytes that the link has carried since the start.
    pub link_carried_bytes: u64,
    /// Changes with each start of the store.
    pub incarnation: u64,
    /// Whether the store says that it leaves.
    pub leaving: bool,
}

/// Why a store did not do what was asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "kind", content = "message")]
pub enum StoreError {
    /// The tier has no room.
    #[error("the store is full")]
    Full,
    /// No such prefix at this generation, or it is not sealed.
    #[error("no such saved prefix")]
    NotFound,
    /// The store could not be reached, or gave up.
    #[error("the store failed: {0}")]
    Failed(String),
}

/// A store VM.
#[async_trait]
pub trait Store: Send + Sync {
    /// Makes room for a prefix and gives the generation to write it under.
    async fn reserve(&self, prefix: SavedPrefix) -> Result<Generation, StoreError>;

    /// Writes the blocks of a reserved prefix; the runner calls it. Gives their digest.
    async fn write(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        content: Vec<u8>,
        size_bytes: u64,
    ) -> Result<String, StoreError>;

    /// Writes the manifest, after which the prefix can be imported.
    async fn seal(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        digest: &str,
    ) -> Result<(), StoreError>;

    /// Holds off the freeing of a sealed prefix; gives its manifest.
    async fn pin(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(PinId, Manifest), StoreError>;

    /// Reads the blocks of a sealed prefix; the runner calls it.
    async fn read(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<Vec<u8>, StoreError>;

    /// Ends a pin; an unknown pin is not an error.
    async fn unpin(&self, pin: PinId) -> Result<(), StoreError>;

    /// Allows no new pins and frees the prefix when the last one has gone.
    async fn retire(&self, prefix_key: PrefixKey, generation: Generation)
    -> Result<(), StoreError>;

    /// Lists manifests whose key sorts after `after`.
    async fn manifests(
        &self,
        after: Option<PrefixKey>,
        count_limit: usize,
    ) -> Result<Vec<Manifest>, StoreError>;

    /// Reads room and link.
    async fn status(&self) -> Result<StoreStatus, StoreError>;
}
