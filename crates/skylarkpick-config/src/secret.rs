//! Secrets of a process. Settings name the file or environment variable of a secret, never its
//! value.

use serde::{Deserialize, Serialize};
use std::fmt::{Debug, Formatter};

/// Size limit of a secret.
const SECRET_SIZE_LIMIT_BYTES: usize = 65_536;

/// Source of a secret, as `{"path": "FILE"}` or `{"environment": "NAME"}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SecretSource {
    /// A file that contains only the secret.
    Path(String),
    /// An environment variable that contains the secret.
    Environment(String),
}

/// A secret. Its `Debug` output contains only the length, so that logs never contain the value.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

/// Why a secret could not be read. Contains the source, never the value.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("failed to read the secret file {path:?}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        reason: String,
    },
    /// The variable is not set or not valid Unicode.
    #[error("the environment variable {0:?} is not set or not valid Unicode")]
    Environment(String),
    /// The secret is empty or exceeds the size limit.
    #[error("the secret from {0:?} is empty or longer than {SECRET_SIZE_LIMIT_BYTES} bytes")]
    Size(String),
}

impl Secret {
    /// Wraps the bytes of a secret.
    ///
    /// ```
    /// let secret = skylarkpick_config::Secret::open("a key");
    /// assert_eq!(secret.expose(), b"a key");
    /// assert_eq!(format!("{secret:?}"), "Secret(5 bytes)");
    /// ```
    pub fn open(value: impl Into<Vec<u8>>) -> Secret {
        Secret(value.into())
    }

    /// Returns the bytes of the secret.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl Debug for Secret {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        write!(to, "Secret({} bytes)", self.0.len())
    }
}

impl SecretSource {
    /// Reads the secret and trims ASCII white space around it.
    ///
    /// # Errors
    /// Returns an error if the source cannot be read, is empty, or exceeds the size limit.
    ///
    /// ```
    /// use skylarkpick_config::{SecretError, SecretSource};
    /// let source = SecretSource::Environment("NOT_SET_ANYWHERE".to_string());
    /// assert_eq!(source.read(), Err(SecretError::Environment("NOT_SET_ANYWHERE".to_string())));
    /// ```
    pub fn read(&self) -> Result<Secret, SecretError> {
        let (name, value) = match self {
            SecretSource::Path(path) => (path, read_file(path)?),
            SecretSource::Environment(name) => (name, read_variable(name)?),
        };
        let value = value.trim_ascii();
        if value.is_empty() || value.len() > SECRET_SIZE_LIMIT_BYTES {
            return Err(SecretError::Size(name.clone()));
        }
        Ok(Secret::open(value))
    }
}

fn read_file(path: &str) -> Result<Vec<u8>, SecretError> {
    std::fs::read(path)
        .map_err(|error| SecretError::File { path: path.to_string(), reason: error.to_string() })
}

fn read_variable(name: &str) -> Result<Vec<u8>, SecretError> {
    std::env::var(name)
        .map(String::into_bytes)
        .map_err(|_| SecretError::Environment(name.to_string()))
}
