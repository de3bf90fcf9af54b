//! Changes of the versioned configuration as JSON merge patches (RFC 7396).

use crate::{
    diagnostic::{Diagnostic, Diagnostics},
    document::Configuration,
    record::ConfigurationRecord,
    validate::validate,
};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::ConfigurationVersion;

/// Id that the operator chooses for a patch. Makes retries idempotent when the response was lost.
pub type PatchId = String;

/// A change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id of the patch.
    pub patch_id: PatchId,
    /// Version that the patch is based on.
    pub base_version: ConfigurationVersion,
    /// JSON merge patch of the configuration; `null` removes a field.
    pub change: serde_json::Value,
}

/// Why a patch was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PatchError {
    /// The patch is based on another version than the current one.
    #[error("made against version {base}, but the configuration is at version {current}")]
    VersionConflict {
        /// Version that the patch is based on.
        base: ConfigurationVersion,
        /// Current version on the platform.
        current: ConfigurationVersion,
    },
    /// The patched configuration is invalid.
    #[error("the patched configuration is invalid:\n{0}")]
    Invalid(Diagnostics),
}

/// Applies a patch to the configuration of a record and validates the result.
///
/// # Errors
/// Returns an error if the patch is based on another version or its result is invalid.
///
/// ```
/// use skylarkpick_config::{ConfigurationRecord, Patch, apply_patch};
/// let patch = Patch {
///     patch_id: "p1".to_string(),
///     base_version: 0,
///     change: serde_json::json!({"serving": {"quick": {"deadline_ms": 500}}}),
/// };
/// let changed = apply_patch(&ConfigurationRecord::default(), &patch)?;
/// assert_eq!(changed.serving["quick"].deadline_ms, 500);
/// # Ok::<(), skylarkpick_config::PatchError>(())
/// ```
pub fn apply_patch(
    record: &ConfigurationRecord,
    patch: &Patch,
) -> Result<Configuration, PatchError> {
    if patch.base_version != record.version {
        let (base, current) = (patch.base_version, record.version);
        return Err(PatchError::VersionConflict { base, current });
    }
    let mut document = serde_json::to_value(&record.configuration).map_err(decode_error)?;
    json_patch::merge(&mut document, &patch.change);
    let configuration: Configuration = serde_json::from_value(document).map_err(decode_error)?;
    let diagnostics = validate(&configuration);
    if diagnostics.is_empty() {
        Ok(configuration)
    } else {
        Err(PatchError::Invalid(Diagnostics(diagnostics)))
    }
}

fn decode_error(error: serde_json::Error) -> PatchError {
    PatchError::Invalid(Diagnostics(vec![Diagnostic::at("change", error.to_string(), "")]))
}
