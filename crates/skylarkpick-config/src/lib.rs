//! Configuration documents, settings files, patches and their validation.
//!
//! The [`Configuration`] of a fleet is stored on the platform as one object. [`Patch`]es change it
//! and state the version that they are based on. A [`Settings`] file belongs to one process.

mod configuration_client;
mod conflicts;
mod diagnostic;
mod document;
mod patch;
mod read;
mod record;
mod record_codec;
mod schema;
mod secret;
mod settings;
mod tokens;
mod validate;

pub use configuration_client::{ConfigurationClient, PatchOutcome, ReadError};
pub use conflicts::find_conflicts;
pub use diagnostic::{Diagnostic, Diagnostics};
pub use document::{
    Account, AccountRole, Configuration, DataCentre, Model, RunnerTarget, ServiceRules,
    ServiceTarget, Serving, StoreTarget,
};
pub use patch::{Patch, PatchError, PatchId, apply_patch};
pub use read::{
    DOCUMENT_SIZE_LIMIT_BYTES, DocumentKind, detect_document_kind, parse_configuration,
    parse_policy, parse_settings,
};
pub use record::{AcceptedPatch, CONFIGURATION_KEY, ConfigurationRecord};
pub use record_codec::{DecodeError, decode_record, encode_record};
pub use schema::{CONFIGURATION_FIELDS, Field, FieldKind, SETTINGS_FIELDS};
pub use secret::{Secret, SecretError, SecretSource};
pub use settings::{Limits, LogLevel, Settings};
pub use tokens::{TokenHash, hash_token};
pub use validate::validate;
