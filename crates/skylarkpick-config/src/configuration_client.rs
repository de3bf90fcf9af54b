//! Reads and patches the configuration stored on the platform.

use crate::{
    diagnostic::{Diagnostic, Diagnostics},
    patch::{Patch, PatchError, apply_patch},
    record::{CONFIGURATION_KEY, ConfigurationRecord},
};
use skylarkpick_interface::{
    Clock, ConfigurationVersion, ObjectStore, PlatformError, StoreRevision, WriteError,
};
use std::{sync::Arc, time::SystemTime};

/// Why the configuration could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// The platform did not respond.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object does not decode as a configuration record.
    #[error("the stored configuration is invalid: {0}")]
    Invalid(String),
}

/// Outcome of a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum PatchOutcome {
    /// The patch was applied and created this version.
    Accepted(ConfigurationVersion),
    /// The patch was rejected and changed nothing.
    Refused(PatchError),
    /// The patch was not applied, for example because the platform is unavailable.
    NotSent(String),
    /// The platform's response was lost. A retry with the same patch id is safe.
    Unknown(String),
}

/// Reads and patches the configuration stored on the platform. Stateless.
#[derive(Clone)]
pub struct ConfigurationClient {
    platform: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
}

impl ConfigurationClient {
    /// Opens a client of the configuration on `platform`.
    pub fn open(platform: Arc<dyn ObjectStore>, clock: Arc<dyn Clock>) -> ConfigurationClient {
        ConfigurationClient { platform, clock }
    }

    /// Reads the configuration. Version 0 means that none is stored yet.
    ///
    /// # Errors
    /// Returns an error if the platform is unavailable or the object does not decode.
    pub async fn read(&self) -> Result<ConfigurationRecord, ReadError> {
        self.read_object().await.map(|(_, record)| record)
    }

    /// Applies a patch. Idempotent: a patch with the same id is applied at most once.
    pub async fn patch(&self, patch: &Patch, author: &str) -> PatchOutcome {
        let (object_version, record) = match self.read_object().await {
            Ok(found) => found,
            Err(error) => return PatchOutcome::NotSent(error.to_string()),
        };
        if let Some(version) = record.version_of(&patch.patch_id) {
            return PatchOutcome::Accepted(version);
        }
        let configuration = match apply_patch(&record, patch) {
            Ok(configuration) => configuration,
            Err(error) => return PatchOutcome::Refused(error),
        };
        let successor = record.successor(patch, configuration, author, self.wall_clock_ms());
        let value = match serde_json::to_vec(&successor) {
            Ok(value) => value,
            Err(error) => return PatchOutcome::NotSent(error.to_string()),
        };
        match self.platform.put(CONFIGURATION_KEY, object_version, value).await {
            Ok(_) => PatchOutcome::Accepted(successor.version),
            Err(WriteError::NotWritten(reason)) => PatchOutcome::NotSent(reason),
            Err(WriteError::Conflict { .. } | WriteError::Unknown(_)) => {
                self.resolve(patch, successor.version).await
            }
        }
    }

    /// Determines whether a patch was applied after its write conflicted or its response was lost.
    async fn resolve(&self, patch: &Patch, attempted: ConfigurationVersion) -> PatchOutcome {
        let record = match self.read().await {
            Ok(record) => record,
            Err(error) => return PatchOutcome::Unknown(error.to_string()),
        };
        if let Some(version) = record.version_of(&patch.patch_id) {
            return PatchOutcome::Accepted(version);
        }
        if record.version >= attempted {
            let (base, current) = (patch.base_version, record.version);
            return PatchOutcome::Refused(PatchError::VersionConflict { base, current });
        }
        PatchOutcome::Unknown("the write may still take effect".to_string())
    }

    async fn read_object(&self) -> Result<(Option<StoreRevision>, ConfigurationRecord), ReadError> {
        let Some(object) = self.platform.get(CONFIGURATION_KEY).await? else {
            return Ok((None, ConfigurationRecord::default()));
        };
        let record = serde_json::from_slice(&object.value)
            .map_err(|error| ReadError::Invalid(error.to_string()))?;
        Ok((Some(object.version), record))
    }

    fn wall_clock_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

impl From<serde_json::Error> for Diagnostics {
    fn from(error: serde_json::Error) -> Diagnostics {
        Diagnostics(vec![Diagnostic {
            path: "document".to_string(),
            line: Some(error.line()),
            column: Some(error.column()),
            message: error.to_string(),
            expected: String::new(),
        }])
    }
}
