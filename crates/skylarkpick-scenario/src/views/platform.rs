//! The platform as one process sees it.

use super::{Cut, Way};
use async_trait::async_trait;
use skylarkpick_interface::{
    ListedObject, ListedVm, Object, ObjectStore, ObjectVersion, PlatformError, WriteError,
};
use std::{sync::Arc, time::Duration};

/// The platform as one process sees it.
pub(crate) struct PlatformView {
    pub(crate) way: Way,
    pub(crate) platform: Arc<dyn ObjectStore>,
}

fn read<T>(
    outcome: Result<Result<Result<T, PlatformError>, Cut>, Cut>,
) -> Result<T, PlatformError> {
    match outcome {
        Ok(Ok(outcome)) => outcome,
        _ => Err(PlatformError::Unavailable("the way is cut".to_string())),
    }
}

fn write<T>(outcome: Result<Result<Result<T, WriteError>, Cut>, Cut>) -> Result<T, WriteError> {
    match outcome {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(Cut)) => Err(WriteError::Unknown("the way was cut".to_string())),
        Err(Cut) => Err(WriteError::NotWritten("the way is cut".to_string())),
    }
}

#[async_trait]
impl ObjectStore for PlatformView {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        read(self.way.call(self.platform.get(key)).await)
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<ObjectVersion>,
        value: Vec<u8>,
    ) -> Result<ObjectVersion, WriteError> {
        write(self.way.call(self.platform.put(key, expected, value)).await)
    }

    async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<(), WriteError> {
        write(self.way.call(self.platform.delete(key, expected)).await)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError> {
        read(self.way.call(self.platform.list(prefix, after, count_limit)).await)
    }

    async fn watch(
        &self,
        key: &str,
        seen: ObjectVersion,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        read(self.way.call(self.platform.watch(key, seen, timeout)).await)
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        read(self.way.call(self.platform.list_vms()).await)
    }
}
