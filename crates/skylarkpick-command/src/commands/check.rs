//! `skylarkpick check`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
};
use getopts::{Matches, Options};
use serde_json::json;
use skylarkpick_config::{
    DOCUMENT_SIZE_LIMIT_BYTES, Diagnostics, DocumentKind, detect_document_kind,
    parse_configuration, parse_settings,
};
use std::io::Read;

/// Checks a settings file or a configuration document.
pub(crate) struct CheckCommand;

impl Command for CheckCommand {
    fn name(&self) -> &'static str {
        "check"
    }

    fn summary(&self) -> &'static str {
        "Check a settings file or a configuration document"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optflag("", "json", "print the result as one JSON document");
        options.optopt(
            "",
            "kind",
            "kind of the document (default: detected from its fields)",
            "KIND",
        );
        Signature {
            usage: "[--json] [--kind settings|configuration] FILE".to_string(),
            options,
            min_arguments: 1,
            max_arguments: 1,
        }
    }

    fn description(&self) -> &'static str {
        "Checks a settings file or a configuration document, both JSON with comments. Lists every \
         error with its line, column, field path and the expected value. Exits with 2 if there \
         are errors."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "Check the default settings",
                arguments: &["config/default.jsonc"],
                exit: Exit::Success,
                expected_output: "valid settings",
            },
            Example {
                description: "A file with misspelt fields, as JSON",
                arguments: &["--json", "crates/skylarkpick-config/tests/wrong/typo.jsonc"],
                exit: Exit::UsageError,
                expected_output: "\"path\": \"limits.drain_timeout\"",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let path = &matches.free[0];
        let text = read_document(path)?;
        let kind = document_kind(matches.opt_str("kind").as_deref(), &text);
        let (kind, diagnostics) = match kind? {
            DocumentKind::Settings => ("settings", parse_settings(&text).err()),
            DocumentKind::Configuration => ("configuration", parse_configuration(&text).err()),
        };
        let diagnostics = diagnostics.unwrap_or_default();
        if matches.opt_present("json") {
            let result = json!({"file": path, "kind": kind, "faults": diagnostics.0});
            console.print(&serde_json::to_string_pretty(&result)?);
        } else if diagnostics.0.is_empty() {
            console.print(&format!("{path}: valid {kind}"));
        } else {
            console.print_message(&diagnostic_lines(path, &diagnostics));
        }
        Ok(if diagnostics.0.is_empty() { Exit::Success } else { Exit::UsageError })
    }
}

fn document_kind(named: Option<&str>, text: &str) -> anyhow::Result<DocumentKind> {
    match named {
        Some("settings") => Ok(DocumentKind::Settings),
        Some("configuration") => Ok(DocumentKind::Configuration),
        Some(other) => {
            let message = format!("--kind cannot be {other:?}; expected settings or configuration");
            Err(UsageError(message).into())
        }
        // A file without any known field is most likely a settings file with misspelt fields.
        None => Ok(detect_document_kind(text).unwrap_or(DocumentKind::Settings)),
    }
}

/// Reads a settings or configuration file. Reads at most one byte more than the maximum document
/// size, so that the parser rejects a larger file.
pub(crate) fn read_document(path: &str) -> anyhow::Result<String> {
    let mut text = String::new();
    let limit = DOCUMENT_SIZE_LIMIT_BYTES as u64 + 1;
    std::fs::File::open(path)
        .and_then(|file| file.take(limit).read_to_string(&mut text))
        .map_err(|error| UsageError(format!("failed to read {path}: {error}")))?;
    Ok(text)
}

/// Returns one line per error, each prefixed with the path of the file.
pub(crate) fn diagnostic_lines(path: &str, diagnostics: &Diagnostics) -> String {
    diagnostics
        .0
        .iter()
        .map(|diagnostic| format!("{path}:{diagnostic}"))
        .collect::<Vec<_>>()
        .join("\n")
}
