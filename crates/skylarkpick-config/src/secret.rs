//! Secrets of a process: settings name a file or an environment variable, never the value.

use serde::{Deserialize, Serialize};
use std::fmt::{Debug, Formatter};

/// Largest secret that is read.
const SECRET_SIZE_LIMIT_BYTES: usize = 65_536;

/// Where a secret is read from, as `{"path": "FILE"}` or `{"environment": "NAME"}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SecretSource {
    /// A file that holds the secret and nothing else.
    Path(String),
    /// An environment variable that holds the secret.
    Environment(String),
}

/// A secret. Its text never reaches a log: `Debug` shows the length alone.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

/// Why a secret could not be read. Names the source, never the value.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("the secret file {path:?} cannot be read: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// The variable is not set, or is not text.
    #[error("the environment variable {0:?} is not set, or is not text")]
    Environment(String),
    /// The secret is empty or longer than any secret.
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

    /// The bytes themselves.
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
    /// Reads the secret. White space around it is dropped.
    ///
    /// # Errors
    /// When the source does not exist, is empty, or holds more than any secret does.
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
