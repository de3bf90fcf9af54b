//! Exports of a prefix from a runner to a store: reserve space, write the blocks, seal the
//! manifest. After any failure the reservation is retired.

use skylarkpick_interface::{
    ExportOrder, Generation, Manifest, ManifestState, Runner, SavedPrefix, StartError, Store,
    StoreError, StoreId, TransferError, WeightVersion,
};
use std::{sync::Arc, time::Duration};

/// Attempts to retire the reservation of a failed export while the store does not respond.
const RETIRE_ATTEMPTS_LIMIT: u32 = 3;
/// Time between two such attempts.
const RETIRE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// One export of a prefix.
#[derive(Clone)]
pub(super) struct ExportJob {
    pub(super) runner: Arc<dyn Runner>,
    pub(super) store: Arc<dyn Store>,
    pub(super) store_name: StoreId,
    pub(super) store_address: String,
    pub(super) prefix: SavedPrefix,
}

/// Why a prefix was not saved. No part of it can be imported.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum ExportError {
    /// The store rejected the reservation.
    #[error("the store reserved no space: {0}")]
    Reserve(StoreError),
    /// The runner did not write the blocks.
    #[error(transparent)]
    Transfer(#[from] TransferError),
    /// The runner wrote another number of bytes than was reserved.
    #[error("the runner wrote {0} bytes, which is not the reserved size")]
    SizeMismatch(u64),
    /// The runner loaded other weights during the export.
    #[error("the runner now serves weight version {0}")]
    WeightsChanged(WeightVersion),
    /// The runner's status could not be read.
    #[error("the runner's weight version is unknown: {0}")]
    Runner(#[from] StartError),
    /// The store did not confirm the seal.
    #[error("the copy was not sealed: {0}")]
    Seal(StoreError),
}

impl ExportJob {
    /// Saves the prefix. The manifest is sealed last, so that an incomplete copy is never imported.
    pub(super) async fn run(&self) -> Result<Manifest, ExportError> {
        let generation =
            self.store.reserve(self.prefix.clone()).await.map_err(ExportError::Reserve)?;
        match self.write_and_seal(generation).await {
            Ok(digest) => {
                let (prefix, state) = (self.prefix.clone(), ManifestState::Sealed);
                Ok(Manifest { prefix, generation, digest, state })
            }
            Err(error) => {
                self.retire_reservation(generation).await;
                Err(error)
            }
        }
    }

    async fn write_and_seal(&self, generation: Generation) -> Result<String, ExportError> {
        let prefix = &self.prefix;
        let receipt = self
            .runner
            .export(ExportOrder {
                store: self.store_name.clone(),
                store_address: self.store_address.clone(),
                prefix_key: prefix.prefix_key,
                generation,
                weight_version: prefix.weight_version,
                tokens: prefix.tokens,
            })
            .await?;
        if receipt.size_bytes != prefix.size_bytes {
            return Err(ExportError::SizeMismatch(receipt.size_bytes));
        }
        // The runner may have swapped its weights while the blocks were written.
        let status = self.runner.status().await?;
        if status.weight_version != prefix.weight_version || status.loading.is_some() {
            return Err(ExportError::WeightsChanged(status.weight_version));
        }
        let sealed = self.store.seal(prefix.prefix_key, generation, &receipt.digest).await;
        sealed.map_err(ExportError::Seal)?;
        Ok(receipt.digest)
    }

    /// Retires the reservation. If the store stays unavailable, the process that next lists it
    /// retires the abandoned copy.
    async fn retire_reservation(&self, generation: Generation) {
        for _ in 0..RETIRE_ATTEMPTS_LIMIT {
            let retired = self.store.retire(self.prefix.prefix_key, generation).await;
            if matches!(retired, Ok(()) | Err(StoreError::NotFound)) {
                return;
            }
            tokio::time::sleep(RETIRE_RETRY_INTERVAL).await;
        }
    }
}
