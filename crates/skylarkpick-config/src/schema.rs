//! What the documents that people write may hold, field by field.

mod configuration;
mod settings;
mod walk;

#[cfg(test)]
mod tests;

use serde_json::{Value as Json, json};

pub use configuration::CONFIGURATION_FIELDS;
pub use settings::SETTINGS_FIELDS;
pub(crate) use walk::{Findings, walk};

/// Units that field names end in.
pub(crate) const UNIT_SUFFIXES: [&str; 7] =
    ["_bytes", "_bytes_per_second", "_limit", "_ms", "_percent_limit", "_per_second", "_tokens"];

/// One field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name, which ends in the unit where there is one.
    pub name: &'static str,
    /// What the field holds.
    pub kind: FieldKind,
    /// Whether it must be there.
    pub is_required: bool,
    /// What it means, in a line.
    pub meaning: &'static str,
}

/// What a field holds.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// Any text.
    Text,
    /// A text that is not empty.
    Name,
    /// `IP:port`.
    Address,
    /// `IP:port`, or an empty text for none.
    AddressOrNone,
    /// `true` or `false`.
    Flag,
    /// A whole number within bounds.
    Whole {
        /// Smallest value.
        floor: u64,
        /// Largest value.
        limit: u64,
    },
    /// A number within bounds.
    Number {
        /// Smallest value.
        floor: f64,
        /// Largest value.
        limit: f64,
    },
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A secret, as `{"path": "FILE"}` or `{"environment": "NAME"}`; or null for none.
    Secret,
    /// A list whose elements are alike.
    List(&'static FieldKind),
    /// An object whose names people choose.
    Map(&'static FieldKind),
    /// An object with known fields.
    Object(&'static [Field]),
}

impl FieldKind {
    /// What to write, in words.
    pub fn expected(&self) -> String {
        match self {
            FieldKind::Text => "a text".to_string(),
            FieldKind::Name => "a text that is not empty".to_string(),
            FieldKind::Address => "IP:port, for example \"127.0.0.1:8080\"".to_string(),
            FieldKind::AddressOrNone => "IP:port, or \"\" for none".to_string(),
            FieldKind::Flag => "true or false".to_string(),
            FieldKind::Whole { floor, limit: u64::MAX } => format!("a whole number from {floor}"),
            FieldKind::Whole { floor, limit } => format!("a whole number from {floor} to {limit}"),
            FieldKind::Number { floor, limit } => format!("a number from {floor} to {limit}"),
            FieldKind::Choice(words) => format!("one of {}", quoted(words)),
            FieldKind::Secret => "{\"path\": \"FILE\"} or {\"environment\": \"NAME\"}".to_string(),
            FieldKind::List(element) => format!("a list, each element {}", element.expected()),
            FieldKind::Map(_) => "an object with an entry for each name".to_string(),
            FieldKind::Object(fields) => {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                format!("an object with the fields {}", quoted(&names))
            }
        }
    }
}

impl FieldKind {
    /// A value of the kind that stands for one that cannot be read.
    fn placeholder(&self) -> Json {
        match self {
            FieldKind::Text | FieldKind::Name | FieldKind::Address | FieldKind::AddressOrNone => {
                json!("")
            }
            FieldKind::Choice(words) => json!(words.first()),
            FieldKind::Flag => json!(false),
            FieldKind::Whole { floor, .. } => json!(floor),
            FieldKind::Number { limit, .. } => json!(limit),
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

const fn field(name: &'static str, kind: FieldKind, meaning: &'static str) -> Field {
    Field { name, kind, is_required: false, meaning }
}

const fn required(name: &'static str, kind: FieldKind, meaning: &'static str) -> Field {
    Field { name, kind, is_required: true, meaning }
}
