//! Reads JSON bodies, with what a person needs to mend a wrong one.

use crate::failure::{Failure, FailureCode};
use serde::de::DeserializeOwned;

/// Likeness from which an unknown field gets a hint.
const HINT_LIKENESS: f64 = 0.75;

/// Reads a JSON body. Nesting is limited by the library to 128 levels.
pub(super) fn read_json<T: DeserializeOwned>(content: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(content).map_err(|error| {
        let message = format!("the body cannot be read: {error}{}", hint(&error.to_string()));
        Failure::not_run(FailureCode::BadRequest, message)
    })
}

/// Hint for an unknown field, from the names that the error lists.
fn hint(message: &str) -> String {
    let Some(list) = message.strip_prefix("unknown field ") else { return String::new() };
    let mut names = list.split('`').skip(1).step_by(2);
    let unknown = names.next().unwrap_or_default();
    let likeness = |known: &str| strsim::jaro_winkler(unknown, known);
    let nearest = names
        .filter(|known| likeness(known) >= HINT_LIKENESS)
        .max_by(|left, right| likeness(left).total_cmp(&likeness(right)));
    nearest.map_or_else(String::new, |known| format!("; did you mean `{known}`?"))
}
