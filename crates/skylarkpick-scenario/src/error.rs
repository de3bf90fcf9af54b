//! Errors of scenario steps.

/// Why a step could not be run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StepError {
    /// There is no step of this name.
    #[error("unknown step {0:?}; see docs/SCENARIOS.md")]
    UnknownStep(String),
    /// A required argument is missing.
    #[error("the argument {0:?} is missing")]
    MissingArgument(String),
    /// The value of an argument is invalid.
    #[error("invalid value {value:?} for the argument {name:?}; expected {expected}")]
    BadArgument {
        /// Name of the argument.
        name: String,
        /// Its value.
        value: String,
        /// Description of a valid value.
        expected: String,
    },
    /// The step has no argument of this name.
    #[error("unknown argument {0:?}")]
    UnknownArgument(String),
    /// There is no process, target or request of this name.
    #[error("there is no process, target or request named {0:?}")]
    UnknownName(String),
    /// The first step must be `fleet`, and no other step.
    #[error("the first step of a scenario must be `fleet`, and no other step")]
    NoFleet,
}
