//! Checks a parsed document against its schema and collects all errors with their offsets.

use super::{Field, FieldKind, UNIT_SUFFIXES};
use crate::diagnostic::Diagnostic;
use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};
use serde_json::{Map, Number, Value as Json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Minimum Jaro-Winkler similarity for suggesting a known field in place of an unknown one.
const HINT_SIMILARITY_FLOOR: f64 = 0.8;

/// Results of checking a document against its schema.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    /// Errors with their byte offset in the text.
    pub(crate) diagnostics: Vec<(usize, Diagnostic)>,
    /// Byte offset of each field's value by its path.
    pub(crate) offsets: BTreeMap<String, usize>,
    /// Paths of fields whose value is invalid, missing or ambiguous. Later checks ignore them.
    pub(crate) invalid_paths: BTreeSet<String>,
}

/// Checks a document against `fields`. Returns it without its unknown and invalid parts; required
/// fields and map entries get a placeholder instead.
pub(crate) fn walk(value: &Value<'_>, fields: &'static [Field], findings: &mut Findings) -> Json {
    walk_value("", value, &FieldKind::Object(fields), findings)
        .unwrap_or_else(|| Json::Object(Map::new()))
}

fn walk_value(
    path: &str,
    value: &Value<'_>,
    kind: &FieldKind,
    findings: &mut Findings,
) -> Option<Json> {
    findings.offsets.insert(path.to_string(), value.start());
    match (kind, value) {
        (FieldKind::Object(fields), Value::Object(object)) => {
            Some(walk_object(path, object, fields, findings))
        }
        (FieldKind::Map(element), Value::Object(object)) => {
            Some(walk_map(path, object, element, findings))
        }
        (FieldKind::List(element), Value::Array(array)) => {
            let elements = array.elements.iter().enumerate().filter_map(|(index, value)| {
                walk_value(&format!("{path}[{index}]"), value, element, findings)
            });
            Some(Json::Array(elements.collect()))
        }
        (FieldKind::Secret, value) => read_secret(path, value, findings),
        (FieldKind::Boolean, Value::BooleanLit(flag)) => Some(Json::Bool(flag.value)),
        (_, Value::StringLit(text)) => read_text(path, value, &text.value, kind, findings),
        (_, Value::NumberLit(number)) => read_number(path, value, number.value, kind, findings),
        _ => report_invalid(path, value, format!("is {}", kind_of(value)), kind, findings),
    }
}

fn walk_object(path: &str, object: &Object<'_>, fields: &[Field], findings: &mut Findings) -> Json {
    let mut read = Map::new();
    let mut seen = BTreeSet::new();
    for property in &object.properties {
        let name = property.name.as_str();
        let field_path = join(path, name);
        let Some(field) = fields.iter().find(|field| field.name == name) else {
            report_unknown(path, name, property.name.start(), fields, findings);
            continue;
        };
        if !seen.insert(field.name) {
            report_duplicate(&field_path, property.name.start(), findings);
        }
        if let Some(value) = walk_value(&field_path, &property.value, &field.kind, findings) {
            read.insert(name.to_string(), value);
        }
    }
    for field in fields.iter().filter(|field| field.is_required) {
        let field_path = join(path, field.name);
        if !seen.contains(field.name) && findings.invalid_paths.insert(field_path.clone()) {
            let expected = format!("{}: {}", field.kind.expected(), field.description);
            let diagnostic = Diagnostic::at(field_path, "is missing", &expected);
            findings.diagnostics.push((object.range.start, diagnostic));
        }
        read.entry(field.name).or_insert_with(|| field.kind.placeholder());
    }
    Json::Object(read)
}

fn walk_map(path: &str, object: &Object<'_>, element: &FieldKind, findings: &mut Findings) -> Json {
    let mut read = Map::new();
    for property in &object.properties {
        let name = property.name.as_str();
        let entry_path = join(path, name);
        if read.contains_key(name) {
            report_duplicate(&entry_path, property.name.start(), findings);
        }
        let value = walk_value(&entry_path, &property.value, element, findings);
        read.insert(name.to_string(), value.unwrap_or_else(|| element.placeholder()));
    }
    Json::Object(read)
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

fn report_duplicate(path: &str, offset: usize, findings: &mut Findings) {
    findings
        .diagnostics
        .push((offset, Diagnostic::at(path, "is set more than once", "each field once")));
    findings.invalid_paths.insert(path.to_string());
}

fn report_unknown(
    path: &str,
    name: &str,
    offset: usize,
    fields: &[Field],
    findings: &mut Findings,
) {
    let field_path = join(path, name);
    let Some(known) = nearest_field(name, fields) else {
        let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
        let expected = format!("one of {}", super::quoted(&names));
        findings
            .diagnostics
            .push((offset, Diagnostic::at(field_path, "is not a known field", &expected)));
        return;
    };
    findings.invalid_paths.insert(join(path, known.name));
    let reason =
        if lacks_unit(name, known.name) { "lacks its unit suffix" } else { "is not a known field" };
    let message = format!("{reason}; did you mean `{}`?", known.name);
    let expected = format!("`{}`, {}", known.name, known.kind.expected());
    findings.diagnostics.push((offset, Diagnostic::at(field_path, message, &expected)));
}

fn lacks_unit(name: &str, known: &str) -> bool {
    UNIT_SUFFIXES.iter().any(|suffix| known.strip_suffix(suffix) == Some(name))
}

fn nearest_field<'a>(name: &str, fields: &'a [Field]) -> Option<&'a Field> {
    if let Some(known) = fields.iter().find(|known| lacks_unit(name, known.name)) {
        return Some(known);
    }
    let similarity = |known: &Field| strsim::jaro_winkler(name, known.name);
    let nearest =
        fields.iter().max_by(|left, right| similarity(left).total_cmp(&similarity(right)))?;
    (similarity(nearest) >= HINT_SIMILARITY_FLOOR).then_some(nearest)
}

fn report_invalid(
    path: &str,
    value: &Value<'_>,
    message: String,
    kind: &FieldKind,
    findings: &mut Findings,
) -> Option<Json> {
    let shown = if path.is_empty() { "document" } else { path };
    findings.diagnostics.push((value.start(), Diagnostic::at(shown, message, &kind.expected())));
    findings.invalid_paths.insert(path.to_string());
    None
}

fn read_text(
    path: &str,
    value: &Value<'_>,
    text: &str,
    kind: &FieldKind,
    findings: &mut Findings,
) -> Option<Json> {
    let is_address = text.parse::<SocketAddr>().is_ok();
    let is_valid = match kind {
        FieldKind::Text => true,
        FieldKind::NonEmptyText => !text.is_empty(),
        FieldKind::Address => is_address,
        FieldKind::OptionalAddress => text.is_empty() || is_address,
        FieldKind::Choice(words) => words.contains(&text),
        _ => return report_invalid(path, value, "is a string".to_string(), kind, findings),
    };
    if is_valid {
        return Some(Json::String(text.to_string()));
    }
    report_invalid(path, value, format!("cannot be {text:?}"), kind, findings)
}

fn read_number(
    path: &str,
    value: &Value<'_>,
    text: &str,
    kind: &FieldKind,
    findings: &mut Findings,
) -> Option<Json> {
    let read = match kind {
        FieldKind::Integer { min, max } => text
            .parse::<u64>()
            .ok()
            .filter(|number| (*min..=*max).contains(number))
            .map(Number::from),
        FieldKind::Number { min, max } => text
            .parse::<f64>()
            .ok()
            .filter(|number| (*min..=*max).contains(number))
            .and_then(Number::from_f64),
        _ => return report_invalid(path, value, "is a number".to_string(), kind, findings),
    };
    match read {
        Some(number) => Some(Json::Number(number)),
        None => report_invalid(path, value, format!("cannot be {text}"), kind, findings),
    }
}

fn read_secret(path: &str, value: &Value<'_>, findings: &mut Findings) -> Option<Json> {
    let Value::Object(object) = value else {
        if matches!(value, Value::NullKeyword(_)) {
            return Some(Json::Null);
        }
        let message = "must not be in the settings file itself".to_string();
        return report_invalid(path, value, message, &FieldKind::Secret, findings);
    };
    let [property] = object.properties.as_slice() else {
        return report_invalid(
            path,
            value,
            "does not name exactly one source".to_string(),
            &FieldKind::Secret,
            findings,
        );
    };
    let name = property.name.as_str();
    let Value::StringLit(text) = &property.value else {
        return report_invalid(
            path,
            value,
            "does not name a valid source".to_string(),
            &FieldKind::Secret,
            findings,
        );
    };
    if !["environment", "path"].contains(&name) || text.value.is_empty() {
        return report_invalid(
            path,
            value,
            "does not name a valid source".to_string(),
            &FieldKind::Secret,
            findings,
        );
    }
    let mut source = Map::new();
    source.insert(name.to_string(), Json::String(text.value.to_string()));
    Some(Json::Object(source))
}

fn kind_of(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}
