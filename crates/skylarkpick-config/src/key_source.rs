//! Where a process finds a key: a file or an environment variable.

use serde::{Deserialize, Serialize};

/// Shortest key that is taken.
const KEY_SIZE_FLOOR_BYTES: usize = 32;

/// Where a process finds a key. The key itself is never part of the settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// Path of a file that holds the key and nothing else.
    Path(String),
    /// Name of an environment variable that holds the key.
    Environment(String),
}

/// Why a key could not be read. Never shows the key.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeySourceError {
    /// The file cannot be read.
    #[error("the key file {path} cannot be read: {why}")]
    File {
        /// Path of the file.
        path: String,
        /// What the system said.
        why: String,
    },
    /// The variable is not set.
    #[error("the environment variable {0} is not set")]
    NotSet(String),
    /// The key is too short to protect anything.
    #[error("the key in {place} has {size_bytes} bytes; give at least 32 random ones")]
    TooShort {
        /// Where the key was found.
        place: String,
        /// Bytes found.
        size_bytes: usize,
    },
}

impl KeySource {
    /// Reads the key, without white space at its end.
    ///
    /// # Errors
    /// When there is no key, or it is too short.
    ///
    /// ```
    /// use skylarkpick_config::{KeySource, KeySourceError};
    /// let source = KeySource::Environment("NO_SUCH_VARIABLE".to_string());
    /// assert_eq!(source.read(), Err(KeySourceError::NotSet("NO_SUCH_VARIABLE".to_string())));
    /// ```
    pub fn read(&self) -> Result<Vec<u8>, KeySourceError> {
        let (place, content) = match self {
            KeySource::Path(path) => {
                let content = std::fs::read(path).map_err(|error| KeySourceError::File {
                    path: path.clone(),
                    why: error.to_string(),
                })?;
                (path, content)
            }
            KeySource::Environment(name) => {
                let content = std::env::var_os(name)
                    .ok_or_else(|| KeySourceError::NotSet(name.clone()))?
                    .into_encoded_bytes();
                (name, content)
            }
        };
        let key = content.trim_ascii_end();
        if key.len() < KEY_SIZE_FLOOR_BYTES {
            let (place, size_bytes) = (place.clone(), key.len());
            return Err(KeySourceError::TooShort { place, size_bytes });
        }
        Ok(key.to_vec())
    }
}
