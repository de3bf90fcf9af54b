//! Reads and patches the configuration in the platform.

use crate::{
    diagnostic::{Diagnostic, Diagnostics},
    patch::{Patch, PatchError, apply_patch},
    record::{CONFIGURATION_KEY, ConfigurationRecord},
};
use skylarkpick_interface::{
    Clock, ConfigurationVersion, ObjectStore, ObjectVersion, PlatformError, WriteError,
};
use std::{sync::Arc, time::SystemTime};

/// Why the configuration could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// The platform gave no answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The object is not a configuration.
    #[error("the stored configuration cannot be read: {0}")]
    Invalid(String),
}

/// What came of a patch, as far as it is known.
#[derive(Clone, Debug, PartialEq)]
pub enum PatchOutcome {
    /// The patch made this version.
    Accepted(ConfigurationVersion),
    /// Nothing was changed.
    Refused(PatchError),
    /// The platform is away and nothing was sent.
    NotSent(String),
    /// The platform's answer was lost: ask again with the same patch id.
    Unknown(String),
}

/// Reads and patches the configuration in the platform. Holds no state of its own.
#[derive(Clone)]
pub struct ConfigurationClient {
    platform: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
}

impl ConfigurationClient {
    /// Opens the configuration in a platform.
    pub fn open(platform: Arc<dyn ObjectStore>, clock: Arc<dyn Clock>) -> ConfigurationClient {
        ConfigurationClient { platform, clock }
    }

    /// Reads the configuration; version 0 stands for none yet.
    ///
    /// # Errors
    /// When the platform is away or the object cannot be read.
    pub async fn read(&self) -> Result<ConfigurationRecord, ReadError> {
        self.read_object().await.map(|(_, record)| record)
    }

    /// Applies a patch, once, however often it is repeated with the same id.
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
            Err(refusal) => return PatchOutcome::Refused(refusal),
        };
        let successor = record.successor(patch, configuration, author, self.wall_ms());
        let value = match serde_json::to_vec(&successor) {
            Ok(value) => value,
            Err(error) => return PatchOutcome::NotSent(error.to_string()),
        };
        match self.platform.put(CONFIGURATION_KEY, object_version, value).await {
            Ok(_) => PatchOutcome::Accepted(successor.version),
            Err(WriteError::NotWritten(why)) => PatchOutcome::NotSent(why),
            Err(WriteError::Conflict { .. } | WriteError::Unknown(_)) => {
                self.resolve(patch, successor.version).await
            }
        }
    }

    /// Finds out whether a patch took effect whose answer was lost or contested.
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

    async fn read_object(&self) -> Result<(Option<ObjectVersion>, ConfigurationRecord), ReadError> {
        let Some(object) = self.platform.get(CONFIGURATION_KEY).await? else {
            return Ok((None, ConfigurationRecord::default()));
        };
        let record = serde_json::from_slice(&object.value)
            .map_err(|error| ReadError::Invalid(error.to_string()))?;
        Ok((Some(object.version), record))
    }

    fn wall_ms(&self) -> u64 {
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
