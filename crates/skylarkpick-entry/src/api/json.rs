//! Parses JSON request bodies, with errors that help a person correct them.

use crate::failure::{Failure, FailureCode};
use serde::de::DeserializeOwned;

/// Jaro-Winkler similarity from which a known field is suggested for an unknown one.
const HINT_SIMILARITY: f64 = 0.75;

/// Parses a JSON body. serde_json limits nesting to 128 levels.
pub(super) fn read_json<T: DeserializeOwned>(content: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(content).map_err(|error| {
        let message = format!("invalid request body: {error}{}", hint(&error.to_string()));
        Failure::not_run(FailureCode::BadRequest, message)
    })
}

/// Suggests a field for an unknown one, from the names that the error lists.
fn hint(message: &str) -> String {
    let Some(list) = message.strip_prefix("unknown field ") else { return String::new() };
    let mut names = list.split('`').skip(1).step_by(2);
    let unknown = names.next().unwrap_or_default();
    let similarity = |known: &str| strsim::jaro_winkler(unknown, known);
    let nearest = names
        .filter(|known| similarity(known) >= HINT_SIMILARITY)
        .max_by(|left, right| similarity(left).total_cmp(&similarity(right)));
    nearest.map_or_else(String::new, |known| format!("; did you mean `{known}`?"))
}
