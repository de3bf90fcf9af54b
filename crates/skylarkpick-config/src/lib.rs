//! Configuration documents, settings files, patches and their validation.
//!
//! A [`Configuration`] is held by the platform under one object and changed by [`Patch`]es
//! against a numbered version. A [`Settings`] file belongs to one process.

mod document;
mod fault;
mod keeper;
mod key_source;
mod patch;
mod record;
mod settings;
mod tokens;
mod validate;

pub use document::{
    Account, AccountRole, Configuration, DataCentre, Model, RunnerTarget, ServiceRules,
    ServiceTarget, Serving, StoreTarget,
};
pub use fault::{Fault, Faults};
pub use keeper::{ConfigurationKeeper, PatchOutcome, ReadError};
pub use key_source::{KeySource, KeySourceError};
pub use patch::{Patch, PatchId, PatchRefusal, apply_patch};
pub use record::{AcceptedPatch, CONFIGURATION_KEY, ConfigurationRecord};
pub use settings::{Limits, Settings, parse_settings};
pub use tokens::{TokenHash, hash_token};
pub use validate::validate;
