//! The platform's object API and its list of VMs.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Path of an object, for example `config/current`.
pub type ObjectKey = String;
/// Version that the platform gives to an object with each write; only grows.
pub type ObjectVersion = u64;

/// An object with the version at which it was read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Version of the last write.
    pub version: ObjectVersion,
    /// Content, at most a megabyte.
    pub value: Vec<u8>,
}

/// One line of a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// Path of the object.
    pub key: ObjectKey,
    /// Version of the last write.
    pub version: ObjectVersion,
}

/// Whether the platform keeps a VM or is taking it away.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be taken away; gets no new work.
    Leaving,
}

/// One VM on the platform's list, which lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the target or entry process on the VM.
    pub name: String,
    /// What the list says of it.
    pub state: VmState,
}

/// Why a read gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// No answer, or a refusal to serve.
    #[error("the platform is away: {0}")]
    Unavailable(String),
    /// Over the platform's rate; nothing was done.
    #[error("the platform refused the call for its rate")]
    RateLimited,
}

/// Why a write was not confirmed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WriteError {
    /// The object is not at the expected version; nothing was written.
    #[error("the object is at version {current:?}")]
    Conflict {
        /// Version found, `None` where the object does not exist.
        current: Option<ObjectVersion>,
    },
    /// Nothing was written.
    #[error("not written: {0}")]
    NotWritten(String),
    /// No answer came: the write may have taken effect.
    #[error("no answer to the write: {0}")]
    Unknown(String),
}

/// The platform's object API: versions, conditional updates and watches.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object.
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError>;

    /// Writes an object only if it is at `expected`, where `None` means that it does not exist.
    /// Gives the new version.
    async fn put(
        &self,
        key: &str,
        expected: Option<ObjectVersion>,
        value: Vec<u8>,
    ) -> Result<ObjectVersion, WriteError>;

    /// Removes an object only if it is at `expected`.
    async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<(), WriteError>;

    /// Lists objects whose key starts with `prefix` and sorts after `after`, in key order.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError>;

    /// Waits until the object's version is above `seen`, at most for `timeout`, and gives the
    /// object then, or `None` when the time ran out.
    async fn watch(
        &self,
        key: &str,
        seen: ObjectVersion,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError>;

    /// Reads the list of live and leaving VMs.
    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError>;
}
