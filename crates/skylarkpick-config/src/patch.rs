//! Patches: changes of a numbered configuration, as JSON merge patches (RFC 7396).

use crate::{
    diagnostic::{Diagnostic, Diagnostics},
    document::Configuration,
    record::ConfigurationRecord,
    validate::validate,
};
use serde::{Deserialize, Serialize};
use skylarkpick_interface::ConfigurationVersion;

/// Chosen by the operator, so that a patch whose answer was lost can be asked about.
pub type PatchId = String;

/// A change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id of the patch.
    pub patch_id: PatchId,
    /// Version that the patch was made against.
    pub base_version: ConfigurationVersion,
    /// JSON merge patch of the configuration: `null` removes a field.
    pub change: serde_json::Value,
}

/// Why a patch changed nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PatchError {
    /// The configuration has moved on.
    #[error("made against version {base}, but the configuration is at version {current}")]
    VersionConflict {
        /// Version that the patch names.
        base: ConfigurationVersion,
        /// Version in the platform.
        current: ConfigurationVersion,
    },
    /// The result would not be valid.
    #[error("the result would not be valid:\n{0}")]
    Invalid(Diagnostics),
}

/// Applies a patch to a record's configuration and validates the result.
///
/// # Errors
/// Refuses a patch made against another version, and one whose result is not valid.
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
    let mut document = serde_json::to_value(&record.configuration).map_err(unreadable)?;
    json_patch::merge(&mut document, &patch.change);
    let configuration: Configuration = serde_json::from_value(document).map_err(unreadable)?;
    let faults = validate(&configuration);
    if faults.is_empty() {
        Ok(configuration)
    } else {
        Err(PatchError::Invalid(Diagnostics(faults)))
    }
}

fn unreadable(error: serde_json::Error) -> PatchError {
    PatchError::Invalid(Diagnostics(vec![Diagnostic::at("change", error.to_string(), "")]))
}
