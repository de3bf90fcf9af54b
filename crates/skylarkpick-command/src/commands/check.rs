//! `skylarkpick check`.

use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
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
        options.optopt("", "kind", "what the file is, when it does not show", "KIND");
        Signature {
            usage: "[--json] [--kind settings|configuration] FILE".to_string(),
            options,
            arguments_floor: 1,
            arguments_limit: 1,
        }
    }

    fn description(&self) -> &'static str {
        "Checks a settings file or a configuration document, both JSON with comments, and lists \
         every fault with its line, column and field path and what was expected. Exits with 2 \
         when there are faults."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "Check the default settings",
                arguments: &["config/default.jsonc"],
                exit: Exit::Success,
                shows: "settings without faults",
            },
            Example {
                description: "A file with typing errors, as JSON",
                arguments: &["--json", "crates/skylarkpick-config/tests/wrong/typo.jsonc"],
                exit: Exit::WrongUse,
                shows: "\"path\": \"limits.drain_timeout\"",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let path = &matches.free[0];
        let text = read_document(path)?;
        let kind = document_kind(matches.opt_str("kind").as_deref(), &text);
        let (kind, faults) = match kind? {
            DocumentKind::Settings => ("settings", parse_settings(&text).err()),
            DocumentKind::Configuration => ("configuration", parse_configuration(&text).err()),
        };
        let faults = faults.unwrap_or_default();
        if matches.opt_present("json") {
            let result = json!({"file": path, "kind": kind, "faults": faults.0});
            console.result(&serde_json::to_string_pretty(&result)?);
        } else if faults.0.is_empty() {
            console.result(&format!("{path}: {kind} without faults"));
        } else {
            console.message(&fault_lines(path, &faults));
        }
        Ok(if faults.0.is_empty() { Exit::Success } else { Exit::WrongUse })
    }
}

fn document_kind(named: Option<&str>, text: &str) -> anyhow::Result<DocumentKind> {
    match named {
        Some("settings") => Ok(DocumentKind::Settings),
        Some("configuration") => Ok(DocumentKind::Configuration),
        Some(other) => {
            let message = format!("--kind cannot be {other:?}; expected settings or configuration");
            Err(WrongUse(message).into())
        }
        // A file without any known field is most likely a settings file with typing errors.
        None => Ok(detect_document_kind(text).unwrap_or(DocumentKind::Settings)),
    }
}

/// Reads a file that a person wrote, up to the largest document.
pub(crate) fn read_document(path: &str) -> anyhow::Result<String> {
    let mut text = String::new();
    let limit = DOCUMENT_SIZE_LIMIT_BYTES as u64 + 1;
    std::fs::File::open(path)
        .and_then(|file| file.take(limit).read_to_string(&mut text))
        .map_err(|error| WrongUse(format!("{path} cannot be read: {error}")))?;
    Ok(text)
}

/// One line for each fault, starting with the file.
pub(crate) fn fault_lines(path: &str, faults: &Diagnostics) -> String {
    faults.0.iter().map(|fault| format!("{path}:{fault}")).collect::<Vec<_>>().join("\n")
}
