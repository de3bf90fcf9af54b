//! The view of a store VM from a process.

use super::{Link, Partitioned};
use async_trait::async_trait;
use skylarkpick_interface::{
    Generation, Manifest, PinId, PrefixKey, SavedPrefix, Store, StoreError, StoreStatus,
};
use std::sync::Arc;

pub(super) struct StoreView {
    pub(super) link: Link,
    pub(super) store: Arc<dyn Store>,
}

impl StoreView {
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        match self.link.call(call).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(Partitioned)) | Err(Partitioned) => {
                Err(StoreError::Failed("the network is partitioned".to_string()))
            }
        }
    }
}

#[async_trait]
impl Store for StoreView {
    async fn reserve(&self, prefix: SavedPrefix) -> Result<Generation, StoreError> {
        self.call(self.store.reserve(prefix)).await
    }

    async fn write(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        content: Vec<u8>,
        size_bytes: u64,
    ) -> Result<String, StoreError> {
        self.call(self.store.write(prefix_key, generation, content, size_bytes)).await
    }

    async fn seal(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
        digest: &str,
    ) -> Result<(), StoreError> {
        self.call(self.store.seal(prefix_key, generation, digest)).await
    }

    async fn pin(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(PinId, Manifest), StoreError> {
        self.call(self.store.pin(prefix_key, generation)).await
    }

    async fn read(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<Vec<u8>, StoreError> {
        self.call(self.store.read(prefix_key, generation)).await
    }

    async fn unpin(&self, pin: PinId) -> Result<(), StoreError> {
        self.call(self.store.unpin(pin)).await
    }

    async fn retire(
        &self,
        prefix_key: PrefixKey,
        generation: Generation,
    ) -> Result<(), StoreError> {
        self.call(self.store.retire(prefix_key, generation)).await
    }

    async fn manifests(
        &self,
        after: Option<PrefixKey>,
        count_limit: usize,
    ) -> Result<Vec<Manifest>, StoreError> {
        self.call(self.store.manifests(after, count_limit)).await
    }

    async fn status(&self) -> Result<StoreStatus, StoreError> {
        self.call(self.store.status()).await
    }
}
