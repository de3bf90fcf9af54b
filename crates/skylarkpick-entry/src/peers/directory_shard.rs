//! Interface to this process's shard of the prefix directory.

use async_trait::async_trait;
use skylarkpick_protocol::peer::{DirectoryAnswer, DirectoryLookup, DirectoryUpdate};

/// This process's shard of the prefix directory, as its peers use it.
#[async_trait]
pub trait DirectoryShard: Send + Sync {
    /// Applies updates of what caches and stores hold.
    async fn update(&self, update: DirectoryUpdate);

    /// Returns the holders of a prefix.
    async fn look_up(&self, lookup: DirectoryLookup) -> DirectoryAnswer;

    /// Hands the shard off to the processes that hold it next. Called once, after this process has
    /// left the membership and before it exits.
    async fn hand_off(&self);
}
