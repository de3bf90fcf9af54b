//! The platform object that holds the configuration.

use crate::{
    document::Configuration,
    patch::{Patch, PatchId},
};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::ConfigurationVersion;

/// Key of the platform object that holds the configuration.
pub const CONFIGURATION_KEY: &str = "config/current";

/// Accepted patches that the object remembers, so that an operator can ask about a lost answer.
pub const HISTORY_LENGTH_LIMIT: usize = 512;

/// One accepted patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedPatch {
    /// Id that the operator chose.
    pub patch_id: PatchId,
    /// Version that the patch made.
    pub version: ConfigurationVersion,
    /// Account of the operator.
    pub author: String,
    /// Wall-clock time of the acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
}

/// A configuration with its number and the patches that led to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationRecord {
    /// Number of the configuration.
    pub version: ConfigurationVersion,
    /// The newest accepted patches, oldest first.
    pub history: Vec<AcceptedPatch>,
    /// The configuration itself.
    pub configuration: Configuration,
}

impl ConfigurationRecord {
    /// Version that a patch made, if it is among the remembered ones.
    pub fn version_of(&self, patch_id: &str) -> Option<ConfigurationVersion> {
        self.history
            .iter()
            .find(|accepted| accepted.patch_id == patch_id)
            .map(|found| found.version)
    }

    /// The record that follows when `patch`, already applied, made `configuration`.
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
