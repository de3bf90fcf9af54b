//! The platform's object API and VM list.

use crate::store_revision::{StoreEra, StoreRevision};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Path of an object, for example `config/current`.
pub type ObjectKey = String;

/// An object and its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Version of the last write.
    pub version: StoreRevision,
    /// Content, at most 1 MB.
    pub value: Vec<u8>,
}

/// Entry of an object listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// Path of the object.
    pub key: ObjectKey,
    /// Version of the last write.
    pub version: StoreRevision,
}

/// Whether the platform is about to remove a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed; receives no new work.
    Leaving,
}

/// Entry of the platform's VM list, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the target or entry process on the VM.
    pub name: String,
    /// State according to the list.
    pub state: VmState,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The platform did not respond, or responded with an error.
    #[error("the platform is unavailable: {0}")]
    Unavailable(String),
    /// The call exceeded the platform's rate limit and had no effect.
    #[error("the platform's rate limit rejected the call")]
    RateLimited,
}

/// Why a write was not confirmed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WriteError {
    /// The object's version is not the expected one; nothing was written.
    #[error("the object is at version {current:?}")]
    Conflict {
        /// Current version, or `None` if the object does not exist.
        current: Option<StoreRevision>,
    },
    /// Nothing was written.
    #[error("not written: {0}")]
    NotWritten(String),
    /// No response arrived: the write may have taken effect.
    #[error("no response to the write: {0}")]
    Unknown(String),
}

/// The platform's object API: versioned objects, conditional writes and watches.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object.
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError>;

    /// Writes an object only if its version is `expected`, where `None` means that it does not
    /// exist. Returns the new version.
    async fn put(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> Result<StoreRevision, WriteError>;

    /// Deletes an object only if its version is `expected`.
    async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), WriteError>;

    /// Lists up to `count_limit` objects whose keys start with `prefix` and sort after `after`, in
    /// key order.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError>;

    /// Waits up to `timeout` until the object's version exceeds `seen`. Returns the object, or
    /// `None` on timeout.
    async fn watch(
        &self,
        key: &str,
        seen: StoreRevision,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError>;

    /// Returns the latest era that the store has named in any response, 0 if it names none. Returns at
    /// once. A holder of a role asks before each step, since other calls learn of a new era as well.
    fn known_era(&self) -> StoreEra {
        0
    }

    /// Lists the VMs that are live or leaving.
    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError>;
}
