//! Errors found in a document, with their position and the expected value.

use serde::Serialize;
use std::fmt::{Display, Formatter};

/// An error in a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Diagnostic {
    /// Path of the field, for example `models.tala-llm.serving`.
    pub path: String,
    /// Line in the file, counted from 1, if the document was read from a file.
    pub line: Option<usize>,
    /// Column in the line, counted from 1.
    pub column: Option<usize>,
    /// Description of the error, to be read after the path.
    pub message: String,
    /// Description of a valid value; empty for none.
    pub expected: String,
}

impl Diagnostic {
    /// Creates a diagnostic without a position.
    ///
    /// ```
    /// let diagnostic = skylarkpick_config::Diagnostic::at("limits", "is missing", "an object");
    /// assert_eq!(diagnostic.to_string(), "limits: is missing; expected an object");
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

/// All errors of a document.
#[derive(Clone, Debug, Default, Eq, PartialEq, thiserror::Error)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Display for Diagnostics {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(to)?;
            }
            write!(to, "{diagnostic}")?;
        }
        Ok(())
    }
}
