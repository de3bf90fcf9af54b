//! Reads documents that people write: JSON with comments, with every fault and its position.

use crate::{
    conflicts::find_conflicts,
    diagnostic::{Diagnostic, Diagnostics},
    document::Configuration,
    schema::{CONFIGURATION_FIELDS, Field, Findings, SETTINGS_FIELDS, walk},
    settings::Settings,
    validate::validate,
};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

/// Largest document that is read.
pub const DOCUMENT_SIZE_LIMIT_BYTES: usize = 4 * 1_048_576;

/// JSON with comments and trailing commas, and nothing looser.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Kinds of documents that people write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentKind {
    /// The configuration of a fleet.
    Configuration,
    /// The settings of a process.
    Settings,
}

/// Reads settings from text.
///
/// # Errors
/// Gives every fault found, with its position.
///
/// ```
/// let text = r#"{
///     // The data centre of this VM.
///     "data_centre": "mnl-a",
///     "http_address": "127.0.0.1:0",
///     "platform_address": "127.0.0.1:9000",
/// }"#;
/// let settings = skylarkpick_config::parse_settings(text)?;
/// assert_eq!(settings.data_centre, "mnl-a");
/// # Ok::<(), skylarkpick_config::Diagnostics>(())
/// ```
pub fn parse_settings(text: &str) -> Result<Settings, Diagnostics> {
    parse(text, SETTINGS_FIELDS, find_conflicts)
}

/// Reads a configuration document from text.
///
/// # Errors
/// Gives every fault found, with its position.
///
/// ```
/// let text = r#"{"serving": {"quick": {"deadline_ms": 500}}}"#;
/// let configuration = skylarkpick_config::parse_configuration(text)?;
/// assert_eq!(configuration.serving["quick"].deadline_ms, 500);
/// # Ok::<(), skylarkpick_config::Diagnostics>(())
/// ```
pub fn parse_configuration(text: &str) -> Result<Configuration, Diagnostics> {
    parse(text, CONFIGURATION_FIELDS, validate)
}

/// Guesses what a document is from the fields that it has.
///
/// ```
/// use skylarkpick_config::{DocumentKind, detect_document_kind};
/// let kind = detect_document_kind(r#"{"data_centre": "mnl-a"}"#);
/// assert_eq!(kind, Some(DocumentKind::Settings));
/// ```
pub fn detect_document_kind(text: &str) -> Option<DocumentKind> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).ok()?;
    let value = parsed.value?;
    let object = value.as_object()?;
    let known = |fields: &[Field]| {
        let is_known = |name: &str| fields.iter().any(|field| field.name == name);
        object.properties.iter().filter(|property| is_known(property.name.as_str())).count()
    };
    let (settings, configuration) = (known(SETTINGS_FIELDS), known(CONFIGURATION_FIELDS));
    match settings.cmp(&configuration) {
        std::cmp::Ordering::Greater => Some(DocumentKind::Settings),
        std::cmp::Ordering::Less => Some(DocumentKind::Configuration),
        std::cmp::Ordering::Equal => None,
    }
}

fn parse<T: Default + DeserializeOwned>(
    text: &str,
    fields: &'static [Field],
    check: impl Fn(&T) -> Vec<Diagnostic>,
) -> Result<T, Diagnostics> {
    if text.len() > DOCUMENT_SIZE_LIMIT_BYTES {
        let message = format!("is longer than {DOCUMENT_SIZE_LIMIT_BYTES} bytes");
        return Err(Diagnostics(vec![Diagnostic::at("document", message, "a shorter one")]));
    }
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(syntax_fault)?;
    let value = parsed
        .value
        .ok_or_else(|| Diagnostics(vec![Diagnostic::at("document", "is empty", "an object")]))?;
    let mut findings = Findings::default();
    let read = walk(&value, fields, &mut findings);
    let document = if findings.faults.is_empty() {
        serde_json::from_value(read)?
    } else {
        // Placeholders stand for what cannot be read, so that the rest is still checked.
        serde_json::from_value(read).unwrap_or_default()
    };
    for fault in check(&document) {
        let is_doubtful = findings.doubtful.iter().any(|path| concerns(&fault, path));
        if !is_doubtful {
            findings.faults.push((place_of(&fault.path, &findings), fault));
        }
    }
    if findings.faults.is_empty() { Ok(document) } else { Err(positioned(text, findings)) }
}

fn syntax_fault(error: jsonc_parser::errors::ParseError) -> Diagnostics {
    Diagnostics(vec![Diagnostic {
        path: "document".to_string(),
        line: Some(error.line_display()),
        column: Some(error.column_display()),
        message: error.kind().to_string(),
        expected: "JSON with comments".to_string(),
    }])
}

/// Whether a fault speaks of a field whose value is not known.
fn concerns(fault: &Diagnostic, path: &str) -> bool {
    let rest = fault.path.strip_prefix(path);
    let is_within = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']));
    let name = path.rsplit('.').next().unwrap_or(path);
    is_within || fault.message.contains(&format!("`{name}`"))
}

/// Place of a field, or of the nearest one around it that the document has.
fn place_of(path: &str, findings: &Findings) -> usize {
    let mut path = path;
    loop {
        if let Some(place) = findings.places.get(path) {
            return *place;
        }
        path = path.rfind(['.', '[']).map_or("", |end| &path[..end]);
        if path.is_empty() {
            return findings.places.get("").copied().unwrap_or_default();
        }
    }
}

fn positioned(text: &str, mut findings: Findings) -> Diagnostics {
    findings.faults.sort_by_key(|(place, _)| *place);
    let with_position = |(place, fault): (usize, Diagnostic)| {
        let before = text.get(..place).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
        Diagnostic { line: Some(line), column: Some(column), ..fault }
    };
    Diagnostics(findings.faults.into_iter().map(with_position).collect())
}
