//! State of cached and saved context, for the state dump.

use serde::Serialize;

/// Sizes of the prefix index and transfers in progress.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ContextState {
    /// Blocks that some runner holds according to the index.
    pub blocks_known: usize,
    /// Memory that the index of runners takes.
    pub blocks_size_bytes: usize,
    /// Runners whose index entries are incomplete because cache events were lost.
    pub doubtful_runners: usize,
    /// Sealed copies that stores hold according to the index.
    pub copies_known: usize,
    /// Imports in progress.
    pub imports_under_way: usize,
    /// Exports in progress.
    pub exports_under_way: usize,
}
