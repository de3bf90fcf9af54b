//! The view of the platform from a process.

use super::{Link, Partitioned};
use async_trait::async_trait;
use skylarkpick_interface::{
    ListedObject, ListedVm, Object, ObjectStore, PlatformError, StoreRevision, WriteError,
};
use std::{sync::Arc, time::Duration};

/// The view of the platform from a process.
pub(crate) struct PlatformView {
    pub(crate) link: Link,
    pub(crate) platform: Arc<dyn ObjectStore>,
}

fn read<T>(
    outcome: Result<Result<Result<T, PlatformError>, Partitioned>, Partitioned>,
) -> Result<T, PlatformError> {
    match outcome {
        Ok(Ok(outcome)) => outcome,
        _ => Err(PlatformError::Unavailable("the network is partitioned".to_string())),
    }
}

fn write<T>(
    outcome: Result<Result<Result<T, WriteError>, Partitioned>, Partitioned>,
) -> Result<T, WriteError> {
    match outcome {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(Partitioned)) => Err(WriteError::Unknown("the network was partitioned".to_string())),
        Err(Partitioned) => Err(WriteError::NotWritten("the network is partitioned".to_string())),
    }
}

#[async_trait]
impl ObjectStore for PlatformView {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        read(self.link.call(self.platform.get(key)).await)
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> Result<StoreRevision, WriteError> {
        write(self.link.call(self.platform.put(key, expected, value)).await)
    }

    async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), WriteError> {
        write(self.link.call(self.platform.delete(key, expected)).await)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError> {
        read(self.link.call(self.platform.list(prefix, after, count_limit)).await)
    }

    async fn watch(
        &self,
        key: &str,
        seen: StoreRevision,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        read(self.link.call(self.platform.watch(key, seen, timeout)).await)
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        read(self.link.call(self.platform.list_vms()).await)
    }
}
