//! Interface of the prefix directory that the router reads.

use skylarkpick_interface::{Generation, PrefixKey, RunnerId, StoreId, StoreTier};

/// A runner that is expected to hold a prefix of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The runner.
    pub runner: RunnerId,
    /// Leading tokens of the prompt that the runner holds.
    pub tokens: u64,
}

/// A sealed copy of a prefix of a prompt in a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SavedCopy {
    /// The store.
    pub store: StoreId,
    /// Tier of the store that holds the copy.
    pub tier: StoreTier,
    /// Leading tokens of the prompt in the copy.
    pub tokens: u64,
    /// Last block of the copy.
    pub prefix_key: PrefixKey,
    /// Generation to pin.
    pub generation: Generation,
    /// Bytes that an import transfers.
    pub size_bytes: u64,
}

/// A prefix directory as the router reads it. Its results are hints, which may be outdated.
///
/// Implementations return only the few best entries, since the router evaluates each of them.
pub trait PrefixView {
    /// Returns the runners that hold the longest known prefixes of a prompt, longest first. `keys`
    /// are the keys of the prompt's blocks.
    fn holders(&self, keys: &[PrefixKey]) -> Vec<Holder>;

    /// Returns the saved copies of the longest known prefixes of a prompt, longest first. `keys`
    /// are the keys of the prompt's blocks.
    fn saved_copies(&self, keys: &[PrefixKey]) -> Vec<SavedCopy>;
}
