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
    pub kind: Kind,
    /// Whether it must be there.
    pub is_required: bool,
    /// What it means, in a line.
    pub meaning: &'static str,
}

/// What a field holds.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
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
    List(&'static Kind),
    /// An object whose names people choose.
    Map(&'static Kind),
    /// An object with known fields.
    Object(&'static [Field]),
}

impl Kind {
    /// What to write, in words.
    pub fn expected(&self) -> String {
        match self {
            Kind::Text => "a text".to_string(),
            Kind::Name => "a text that is not empty".to_string(),
            Kind::Address => "IP:port, for example \"127.0.0.1:8080\"".to_string(),
            Kind::AddressOrNone => "IP:port, or \"\" for none".to_string(),
            Kind::Flag => "true or false".to_string(),
            Kind::Whole { floor, limit: u64::MAX } => format!("a whole number from {floor}"),
            Kind::Whole { floor, limit } => format!("a whole number from {floor} to {limit}"),
            Kind::Number { floor, limit } => format!("a number from {floor} to {limit}"),
            Kind::Choice(words) => format!("one of {}", quoted(words)),
            Kind::Secret => "{\"path\": \"FILE\"} or {\"environment\": \"NAME\"}".to_string(),
            Kind::List(element) => format!("a list, each element {}", element.expected()),
            Kind::Map(_) => "an object with an entry for each name".to_string(),
            Kind::Object(fields) => {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                format!("an object with the fields {}", quoted(&names))
            }
        }
    }
}

impl Kind {
    /// A value of the kind that stands for one that cannot be read.
    fn placeholder(&self) -> Json {
        match self {
            Kind::Text | Kind::Name | Kind::Address | Kind::AddressOrNone => json!(""),
            Kind::Choice(words) => json!(words.first()),
            Kind::Flag => json!(false),
            Kind::Whole { floor, .. } => json!(floor),
            Kind::Number { limit, .. } => json!(limit),
            Kind::Secret => Json::Null,
            Kind::List(_) => json!([]),
            Kind::Map(_) => json!({}),
            Kind::Object(fields) => {
                let required = fields.iter().filter(|field| field.is_required);
                required.map(|field| (field.name.to_string(), field.kind.placeholder())).collect()
            }
        }
    }
}

fn quoted(words: &[&str]) -> String {
    words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(", ")
}

const fn field(name: &'static str, kind: Kind, meaning: &'static str) -> Field {
    Field { name, kind, is_required: false, meaning }
}

const fn required(name: &'static str, kind: Kind, meaning: &'static str) -> Field {
    Field { name, kind, is_required: true, meaning }
}
