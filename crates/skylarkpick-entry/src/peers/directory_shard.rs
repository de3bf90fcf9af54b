//! Border to the part of the prefix directory that this process holds.

use async_trait::async_trait;
use skylarkpick_protocol::peer::{DirectoryAnswer, DirectoryLookup, DirectoryUpdate};

/// The part of the prefix directory that this process holds, as its peers reach it.
#[async_trait]
pub trait DirectoryShard: Send + Sync {
    /// Takes in what caches and stores hold.
    async fn update(&self, update: DirectoryUpdate);

    /// Answers who holds a prefix.
    async fn look_up(&self, lookup: DirectoryLookup) -> DirectoryAnswer;

    /// Hands the part over to those that hold it after this process; called once, when the
    /// process has left the membership and before it ends.
    async fn hand_off(&self);
}
