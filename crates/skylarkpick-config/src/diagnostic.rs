//! Diagnostics found in a document, with where they are and what was expected.

use serde::Serialize;
use std::fmt::{Display, Formatter};

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Diagnostic {
    /// Path of the field, for example `models.tala-llm.serving`.
    pub path: String,
    /// Line in the file, from 1, where the document came from a file.
    pub line: Option<usize>,
    /// Column in the line, from 1.
    pub column: Option<usize>,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub expected: String,
}

impl Diagnostic {
    /// A fault without a position.
    ///
    /// ```
    /// let fault = skylarkpick_config::Diagnostic::at("limits", "is missing", "an object");
    /// assert_eq!(fault.to_string(), "limits: is missing; expected an object");
    /// ```
    pub fn at(path: impl Into<String>, message: impl Into<String>, expected: &str) -> Diagnostic {
        Diagnostic {
            path: path.into(),
            line: None,
            column: None,
            message: message.into(),
            expected: expected.to_string(),
        }
    }
}

impl Display for Diagnostic {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(to, "{line}:{column}: ")?;
        }
        write!(to, "{}: {}", self.path, self.message)?;
        if !self.expected.is_empty() {
            write!(to, "; expected {}", self.expected)?;
        }
        Ok(())
    }
}

/// All faults of a document.
#[derive(Clone, Debug, Default, Eq, PartialEq, thiserror::Error)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Display for Diagnostics {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(to)?;
            }
            write!(to, "{fault}")?;
        }
        Ok(())
    }
}
