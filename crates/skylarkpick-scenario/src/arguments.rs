//! The arguments of a step. Each is removed when it is read, so that unknown ones are left over and
//! can be rejected.

use crate::error::StepError;
use std::{collections::BTreeMap, str::FromStr, time::Duration};

/// The arguments of a step and the lines below it.
#[derive(Clone, Debug)]
pub struct Arguments {
    values: BTreeMap<String, Vec<String>>,
    /// The lines below the step.
    pub input: String,
}

impl Arguments {
    /// Wraps the arguments that the `datadriven` library parsed.
    pub fn open(values: impl IntoIterator<Item = (String, Vec<String>)>, input: &str) -> Arguments {
        Arguments { values: values.into_iter().collect(), input: input.to_string() }
    }

    /// Takes a required argument.
    pub fn take<T: FromStr>(&mut self, name: &str, expected: &str) -> Result<T, StepError> {
        self.take_optional(name, expected)?
            .ok_or_else(|| StepError::MissingArgument(name.to_string()))
    }

    /// Takes an optional argument.
    pub fn take_optional<T: FromStr>(
        &mut self,
        name: &str,
        expected: &str,
    ) -> Result<Option<T>, StepError> {
        let Some(values) = self.values.remove(name) else { return Ok(None) };
        let value = values.join(",");
        value.parse().map(Some).map_err(|_| bad_argument(name, &value, expected))
    }

    /// Takes an optional argument with a default value.
    pub fn take_or<T: FromStr>(
        &mut self,
        name: &str,
        expected: &str,
        default: T,
    ) -> Result<T, StepError> {
        Ok(self.take_optional(name, expected)?.unwrap_or(default))
    }

    /// Takes an optional duration in milliseconds.
    pub fn take_time(&mut self, name: &str) -> Result<Option<Duration>, StepError> {
        Ok(self.take_optional::<u64>(name, "milliseconds")?.map(Duration::from_millis))
    }

    /// Takes a list, which is empty if the argument is missing.
    pub fn take_list(&mut self, name: &str) -> Vec<String> {
        self.values.remove(name).unwrap_or_default()
    }

    /// Takes a flag; returns whether it is present.
    pub fn take_flag(&mut self, name: &str) -> bool {
        self.values.remove(name).is_some()
    }

    /// Returns an error if an argument was not taken.
    pub fn finish(self) -> Result<(), StepError> {
        match self.values.into_keys().next() {
            Some(name) => Err(StepError::UnknownArgument(name)),
            None => Ok(()),
        }
    }
}

/// Returns the error for an invalid value.
pub(crate) fn bad_argument(name: &str, value: &str, expected: &str) -> StepError {
    let (name, value, expected) = (name.to_string(), value.to_string(), expected.to_string());
    StepError::BadArgument { name, value, expected }
}
