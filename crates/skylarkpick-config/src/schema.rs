//! Schemas of settings files and configuration documents.

mod configuration;
mod policy;
mod settings;
mod walk;

#[cfg(test)]
mod tests;

use serde_json::{Value as Json, json};

pub use configuration::CONFIGURATION_FIELDS;
pub use policy::POLICY_FIELDS;
pub use settings::SETTINGS_FIELDS;
pub(crate) use walk::{Findings, walk};

/// Suffixes of field names that state a unit.
pub(crate) const UNIT_SUFFIXES: [&str; 7] =
    ["_bytes", "_bytes_per_second", "_limit", "_ms", "_percent_limit", "_per_second", "_tokens"];

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name, ending in the unit if there is one.
    pub name: &'static str,
    /// Type and allowed values of the field.
    pub kind: FieldKind,
    /// Whether the field is mandatory.
    pub is_required: bool,
    /// Description in one line.
    pub description: &'static str,
}

/// Type and allowed values of a field.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// Any string.
    Text,
    /// A non-empty string.
    NonEmptyText,
    /// `IP:port`.
    Address,
    /// `IP:port`, or an empty string for none.
    OptionalAddress,
    /// `true` or `false`.
    Boolean,
    /// A whole number within bounds.
    Integer {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// A number within bounds.
    Number {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// One of several strings.
    Choice(&'static [&'static str]),
    /// Source of a secret, as `{"path": "FILE"}` or `{"environment": "NAME"}`, or null for none.
    Secret,
    /// A list of elements of one kind.
    List(&'static FieldKind),
    /// An object with arbitrary keys and values of one kind.
    Map(&'static FieldKind),
    /// An object with a fixed set of fields.
    Object(&'static [Field]),
}

impl FieldKind {
    /// Describes a valid value in words.
    pub fn expected(&self) -> String {
        match self {
            FieldKind::Text => "a string".to_string(),
            FieldKind::NonEmptyText => "a non-empty string".to_string(),
            FieldKind::Address => "IP:port, for example \"127.0.0.1:8080\"".to_string(),
            FieldKind::OptionalAddress => "IP:port, or \"\" for none".to_string(),
            FieldKind::Boolean => "true or false".to_string(),
            FieldKind::Integer { min, max: u64::MAX } => format!("a whole number from {min}"),
            FieldKind::Integer { min, max } => format!("a whole number from {min} to {max}"),
            FieldKind::Number { min, max } => format!("a number from {min} to {max}"),
            FieldKind::Choice(words) => format!("one of {}", quoted(words)),
            FieldKind::Secret => "{\"path\": \"FILE\"} or {\"environment\": \"NAME\"}".to_string(),
            FieldKind::List(element) => format!("a list, each element {}", element.expected()),
            FieldKind::Map(_) => "an object with one entry per name".to_string(),
            FieldKind::Object(fields) => {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                format!("an object with the fields {}", quoted(&names))
            }
        }
    }
}

impl FieldKind {
    /// Returns a value of the kind's JSON type, used in place of an invalid or missing one.
    fn placeholder(&self) -> Json {
        match self {
            FieldKind::Text
            | FieldKind::NonEmptyText
            | FieldKind::Address
            | FieldKind::OptionalAddress => json!(""),
            FieldKind::Choice(words) => json!(words.first()),
            FieldKind::Boolean => json!(false),
            FieldKind::Integer { min, .. } => json!(min),
            FieldKind::Number { max, .. } => json!(max),
            FieldKind::Secret => Json::Null,
            FieldKind::List(_) => json!([]),
            FieldKind::Map(_) => json!({}),
            FieldKind::Object(fields) => {
                let required = fields.iter().filter(|field| field.is_required);
                required.map(|field| (field.name.to_string(), field.kind.placeholder())).collect()
            }
        }
    }
}

fn quoted(words: &[&str]) -> String {
    words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(", ")
}

const fn field(name: &'static str, kind: FieldKind, description: &'static str) -> Field {
    Field { name, kind, is_required: false, description }
}

const fn required(name: &'static str, kind: FieldKind, description: &'static str) -> Field {
    Field { name, kind, is_required: true, description }
}
