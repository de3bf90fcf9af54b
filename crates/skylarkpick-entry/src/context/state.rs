//! State of cached and saved context, for the state dump.

use serde::Serialize;

/// What a process believes of caches and stores, and what it moves.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ContextState {
    /// Blocks that some runner is believed to hold.
    pub blocks_known: usize,
    /// Bytes that the table of blocks takes.
    pub blocks_size_bytes: usize,
    /// Runners whose events were lost and whose cache is not known whole.
    pub doubtful_runners: usize,
    /// Sealed copies that stores are believed to hold.
    pub copies_known: usize,
    /// Imports that a runner has not confirmed yet.
    pub imports_under_way: usize,
    /// Exports that are not sealed yet.
    pub exports_under_way: usize,
}
