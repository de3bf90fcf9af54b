//! What the router needs from a prefix directory.

use skylarkpick_interface::{Generation, PrefixKey, RunnerId, StoreId, StoreTier};

/// A runner believed to hold the start of a row of blocks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The runner.
    pub runner: RunnerId,
    /// Leading tokens of the row that it holds.
    pub tokens: u64,
}

/// A sealed copy of the start of a row of blocks in a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SavedCopy {
    /// The store.
    pub store: StoreId,
    /// Where in the store it lies.
    pub tier: StoreTier,
    /// Leading tokens of the row that it holds.
    pub tokens: u64,
    /// Last block of the copy.
    pub prefix_key: PrefixKey,
    /// Generation to pin.
    pub generation: Generation,
    /// Bytes that an import moves.
    pub size_bytes: u64,
}

/// A prefix directory as the router reads it. All answers are hints.
///
/// Give the few best entries only: the router weighs each one that it gets.
pub trait PrefixView {
    /// Runners that hold the longest known starts of the row, longest first.
    fn holders(&self, keys: &[PrefixKey]) -> Vec<Holder>;

    /// Saved copies of the longest known starts of the row, longest first.
    fn saved_copies(&self, keys: &[PrefixKey]) -> Vec<SavedCopy>;
}
