//! The platform object that stores the configuration.

use crate::{
    document::Configuration,
    patch::{Patch, PatchId},
};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::ConfigurationVersion;

/// Key of the platform object that stores the configuration.
pub const CONFIGURATION_KEY: &str = "config/current";

/// Number of accepted patches in the history. It allows an operator to look up a patch whose
/// response was lost.
pub const HISTORY_LENGTH_LIMIT: usize = 512;

/// An accepted patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedPatch {
    /// Id that the operator chose.
    pub patch_id: PatchId,
    /// Version that the patch created.
    pub version: ConfigurationVersion,
    /// Account of the operator who sent the patch.
    pub author: String,
    /// Wall-clock time of acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
}

/// A configuration with its version and its latest patches.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationRecord {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// The latest accepted patches, oldest first.
    pub history: Vec<AcceptedPatch>,
    /// The configuration itself.
    pub configuration: Configuration,
}

impl ConfigurationRecord {
    /// Returns the version that a patch created, if the patch is in the history.
    pub fn version_of(&self, patch_id: &str) -> Option<ConfigurationVersion> {
        self.history
            .iter()
            .find(|accepted| accepted.patch_id == patch_id)
            .map(|found| found.version)
    }

    /// Returns the next record, in which `configuration` is the result of applying `patch`.
    pub fn successor(
        &self,
        patch: &Patch,
        configuration: Configuration,
        author: &str,
        accepted_at_ms: u64,
    ) -> ConfigurationRecord {
        let version = self.version + 1;
        let mut history = self.history.clone();
        history.push(AcceptedPatch {
            patch_id: patch.patch_id.clone(),
            version,
            author: author.to_string(),
            accepted_at_ms,
        });
        let surplus = history.len().saturating_sub(HISTORY_LENGTH_LIMIT);
        history.drain(..surplus);
        ConfigurationRecord { version, history, configuration }
    }
}
