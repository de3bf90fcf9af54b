//! Arguments of a step, taken one by one so that an unknown one is noticed.

use crate::error::StepError;
use std::{collections::BTreeMap, str::FromStr, time::Duration};

/// Arguments of a step with the lines below it.
#[derive(Clone, Debug)]
pub struct Arguments {
    values: BTreeMap<String, Vec<String>>,
    /// The lines below the step.
    pub input: String,
}

impl Arguments {
    /// Takes over the arguments that the library read.
    pub fn open(values: impl IntoIterator<Item = (String, Vec<String>)>, input: &str) -> Arguments {
        Arguments { values: values.into_iter().collect(), input: input.to_string() }
    }

    /// Takes an argument that must be there.
    pub fn take<T: FromStr>(&mut self, name: &str, expected: &str) -> Result<T, StepError> {
        self.take_optional(name, expected)?
            .ok_or_else(|| StepError::MissingArgument(name.to_string()))
    }

    /// Takes an argument that may be missing.
    pub fn take_optional<T: FromStr>(
        &mut self,
        name: &str,
        expected: &str,
    ) -> Result<Option<T>, StepError> {
        let Some(values) = self.values.remove(name) else { return Ok(None) };
        let value = values.join(",");
        value.parse().map(Some).map_err(|_| bad_argument(name, &value, expected))
    }

    /// Takes an argument that may be missing, or gives a default.
    pub fn take_or<T: FromStr>(
        &mut self,
        name: &str,
        expected: &str,
        default: T,
    ) -> Result<T, StepError> {
        Ok(self.take_optional(name, expected)?.unwrap_or(default))
    }

    /// Takes a time in milliseconds.
    pub fn take_time(&mut self, name: &str) -> Result<Option<Duration>, StepError> {
        Ok(self.take_optional::<u64>(name, "milliseconds")?.map(Duration::from_millis))
    }

    /// Takes a list of texts.
    pub fn take_list(&mut self, name: &str) -> Vec<String> {
        self.values.remove(name).unwrap_or_default()
    }

    /// Takes a flag.
    pub fn take_flag(&mut self, name: &str) -> bool {
        self.values.remove(name).is_some()
    }

    /// Refuses what was not taken.
    pub fn finish(self) -> Result<(), StepError> {
        match self.values.into_keys().next() {
            Some(name) => Err(StepError::UnknownArgument(name)),
            None => Ok(()),
        }
    }
}

/// Error for an argument's value.
pub(crate) fn bad_argument(name: &str, value: &str, expected: &str) -> StepError {
    let (name, value, expected) = (name.to_string(), value.to_string(), expected.to_string());
    StepError::BadArgument { name, value, expected }
}
