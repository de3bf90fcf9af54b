//! Why a step could not be carried out.

/// Why a step could not be carried out.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StepError {
    /// No such step.
    #[error("no step {0:?}; see docs/SCENARIOS.md")]
    UnknownStep(String),
    /// An argument is missing.
    #[error("the argument {0:?} is missing")]
    MissingArgument(String),
    /// An argument has a value that cannot be read.
    #[error("the argument {name:?} cannot be {value:?}; expected {expected}")]
    BadArgument {
        /// Name of the argument.
        name: String,
        /// Its value.
        value: String,
        /// What can stand there.
        expected: String,
    },
    /// An argument that the step does not know.
    #[error("the step does not know the argument {0:?}")]
    UnknownArgument(String),
    /// No process, target or request of that name.
    #[error("nothing is called {0:?}")]
    UnknownName(String),
    /// The first step must be `fleet`, and only the first.
    #[error("a scenario begins with one `fleet` step")]
    NoFleet,
}
