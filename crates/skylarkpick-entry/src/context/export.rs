//! Exports: reserve, write, seal; on any failure retire.

use skylarkpick_interface::{
    ExportOrder, Generation, Manifest, ManifestState, Runner, SavedPrefix, StartError, Store,
    StoreError, StoreId, TransferError, WeightVersion,
};
use std::{sync::Arc, time::Duration};

/// Times that the room of a failed export is given back to a store that does not answer.
const RETIRE_ATTEMPTS_LIMIT: u32 = 3;
/// Time between two of them.
const RETIRE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A prefix to save.
#[derive(Clone)]
pub(super) struct ExportJob {
    pub(super) runner: Arc<dyn Runner>,
    pub(super) store: Arc<dyn Store>,
    pub(super) store_name: StoreId,
    pub(super) store_address: String,
    pub(super) prefix: SavedPrefix,
}

/// Why a prefix was not saved. Nothing of it can be imported.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum ExportError {
    /// The store took no reservation.
    #[error("no room was reserved: {0}")]
    Reserve(StoreError),
    /// The runner did not write the blocks.
    #[error(transparent)]
    Transfer(#[from] TransferError),
    /// The runner wrote something else than was asked.
    #[error("the runner wrote {0} bytes, not what was reserved")]
    OtherSize(u64),
    /// The runner has been given other weights meanwhile.
    #[error("the runner serves weight version {0} by now")]
    OtherWeights(WeightVersion),
    /// The runner could not be asked for its weights.
    #[error("the runner's weights are not known: {0}")]
    Runner(#[from] StartError),
    /// The manifest was not written, as far as is known.
    #[error("the copy was not sealed: {0}")]
    Seal(StoreError),
}

impl ExportJob {
    /// Saves the prefix; the manifest is sealed last, so that nobody imports half of it.
    pub(super) async fn carry_out(&self) -> Result<Manifest, ExportError> {
        let generation =
            self.store.reserve(self.prefix.clone()).await.map_err(ExportError::Reserve)?;
        match self.write_and_seal(generation).await {
            Ok(digest) => {
                let (prefix, state) = (self.prefix.clone(), ManifestState::Sealed);
                Ok(Manifest { prefix, generation, digest, state })
            }
            Err(error) => {
                self.give_back(generation).await;
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
            return Err(ExportError::OtherSize(receipt.size_bytes));
        }
        // The weights may have been swapped while the blocks were written.
        let status = self.runner.status().await?;
        if status.weight_version != prefix.weight_version || status.loading.is_some() {
            return Err(ExportError::OtherWeights(status.weight_version));
        }
        let sealed = self.store.seal(prefix.prefix_key, generation, &receipt.digest).await;
        sealed.map_err(ExportError::Seal)?;
        Ok(receipt.digest)
    }

    /// Retires what was reserved. A store that stays away is cleared of it by whoever lists it.
    async fn give_back(&self, generation: Generation) {
        for _ in 0..RETIRE_ATTEMPTS_LIMIT {
            let retired = self.store.retire(self.prefix.prefix_key, generation).await;
            if matches!(retired, Ok(()) | Err(StoreError::NotFound)) {
                return;
            }
            tokio::time::sleep(RETIRE_RETRY_INTERVAL).await;
        }
    }
}
