//! Parses settings files and configuration documents (JSON with comments). Reports all errors of a
//! document with their positions.

use crate::{
    conflicts::find_conflicts,
    diagnostic::{Diagnostic, Diagnostics},
    document::Configuration,
    schema::{CONFIGURATION_FIELDS, Field, Findings, POLICY_FIELDS, SETTINGS_FIELDS, walk},
    settings::Settings,
    validate::validate,
};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

/// Size limit of a document.
pub const DOCUMENT_SIZE_LIMIT_BYTES: usize = 4 * 1_048_576;

/// Accepts comments and trailing commas as the only extensions of JSON.
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

/// Kind of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentKind {
    /// The configuration of a fleet.
    Configuration,
    /// The settings of a process.
    Settings,
}

/// Parses a settings file.
///
/// # Errors
/// Returns all errors of the document with their positions.
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

/// Parses a configuration document.
///
/// # Errors
/// Returns all errors of the document with their positions.
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

/// Parses a placement policy, whose type belongs to the crate that decides.
///
/// # Errors
/// Returns all errors of the document with their positions.
///
/// ```
/// #[derive(Default, serde::Deserialize)]
/// struct Policy {
///     eviction_risk: f64,
/// }
/// let policy: Policy = skylarkpick_config::parse_policy(r#"{"eviction_risk": 0.1}"#)?;
/// assert_eq!(policy.eviction_risk, 0.1);
/// # Ok::<(), skylarkpick_config::Diagnostics>(())
/// ```
pub fn parse_policy<T: Default + DeserializeOwned>(text: &str) -> Result<T, Diagnostics> {
    parse(text, POLICY_FIELDS, |_| Vec::new())
}

/// Detects the kind of a document by the number of top-level fields that it shares with each kind.
/// Returns `None` for a tie.
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
    let known_count = |fields: &[Field]| {
        let is_known = |name: &str| fields.iter().any(|field| field.name == name);
        object.properties.iter().filter(|property| is_known(property.name.as_str())).count()
    };
    let (settings, configuration) =
        (known_count(SETTINGS_FIELDS), known_count(CONFIGURATION_FIELDS));
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
        return Err(Diagnostics(vec![Diagnostic::at("document", message, "a shorter document")]));
    }
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(syntax_error)?;
    let value = parsed
        .value
        .ok_or_else(|| Diagnostics(vec![Diagnostic::at("document", "is empty", "an object")]))?;
    let mut findings = Findings::default();
    let json = walk(&value, fields, &mut findings);
    let document = if findings.diagnostics.is_empty() {
        serde_json::from_value(json)?
    } else {
        // Invalid fields hold placeholders, so that the rest of the document is still checked.
        serde_json::from_value(json).unwrap_or_default()
    };
    for diagnostic in check(&document) {
        let is_spurious = findings.invalid_paths.iter().any(|path| concerns(&diagnostic, path));
        if !is_spurious {
            findings.diagnostics.push((offset_of(&diagnostic.path, &findings), diagnostic));
        }
    }
    if findings.diagnostics.is_empty() { Ok(document) } else { Err(with_positions(text, findings)) }
}

fn syntax_error(error: jsonc_parser::errors::ParseError) -> Diagnostics {
    Diagnostics(vec![Diagnostic {
        path: "document".to_string(),
        line: Some(error.line_display()),
        column: Some(error.column_display()),
        message: error.kind().to_string(),
        expected: "JSON with comments".to_string(),
    }])
}

/// Whether a diagnostic refers to the field at `path`, directly or by its name in backticks.
fn concerns(diagnostic: &Diagnostic, path: &str) -> bool {
    let rest = diagnostic.path.strip_prefix(path);
    let is_within = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']));
    let name = path.rsplit('.').next().unwrap_or(path);
    is_within || diagnostic.message.contains(&format!("`{name}`"))
}

/// Returns the byte offset of a field, or of the innermost enclosing field in the document.
fn offset_of(path: &str, findings: &Findings) -> usize {
    let mut path = path;
    loop {
        if let Some(offset) = findings.offsets.get(path) {
            return *offset;
        }
        path = path.rfind(['.', '[']).map_or("", |end| &path[..end]);
        if path.is_empty() {
            return findings.offsets.get("").copied().unwrap_or_default();
        }
    }
}

fn with_positions(text: &str, mut findings: Findings) -> Diagnostics {
    findings.diagnostics.sort_by_key(|(offset, _)| *offset);
    let with_position = |(offset, diagnostic): (usize, Diagnostic)| {
        let before = text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
        Diagnostic { line: Some(line), column: Some(column), ..diagnostic }
    };
    Diagnostics(findings.diagnostics.into_iter().map(with_position).collect())
}
