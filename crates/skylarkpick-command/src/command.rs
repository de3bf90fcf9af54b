//! The trait that every subcommand implements, and its types.

use crate::console::Console;
use getopts::{Matches, Options};
use std::str::FromStr;

/// Outcome of a command; its value is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed, or a check that it ran did not pass.
    Failed = 1,
    /// The command line or an input file is invalid.
    UsageError = 2,
}

/// Error for an invalid command line or input file, with its message.
#[derive(Debug)]
pub struct UsageError(pub String);

impl std::fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

/// Returns the parsed value of an option, or `default` when the option is not set.
///
/// # Errors
/// When the value does not parse as `T`.
///
/// ```
/// use skylarkpick_command::option_or;
/// let mut options = getopts::Options::new();
/// options.optopt("", "seeds", "how many", "N");
/// let matches = options.parse(["--seeds", "3"])?;
/// assert_eq!(option_or(&matches, "seeds", 1).ok(), Some(3));
/// # Ok::<(), getopts::Fail>(())
/// ```
pub fn option_or<T>(matches: &Matches, name: &str, default: T) -> Result<T, UsageError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    matches.opt_get_default(name, default).map_err(|error| UsageError(format!("--{name}: {error}")))
}

/// Arguments and options that a command accepts.
pub struct Signature {
    /// Usage text that follows the command's name, for example `FILE [--json]`.
    pub usage: String,
    /// The options, except `--help`, which every command has.
    pub options: Options,
    /// Minimum number of positional arguments.
    pub min_arguments: usize,
    /// Maximum number of positional arguments.
    pub max_arguments: usize,
}

impl Signature {
    /// Returns a signature without arguments or options.
    pub fn empty() -> Signature {
        let (usage, options) = (String::new(), Options::new());
        Signature { usage, options, min_arguments: 0, max_arguments: 0 }
    }
}

/// An example invocation for the help text; a test runs every one of them.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Description for the help text.
    pub description: &'static str,
    /// Arguments that follow the command's name.
    pub arguments: &'static [&'static str],
    /// Expected exit status.
    pub exit: Exit,
    /// Text that standard output must contain.
    pub expected_output: &'static str,
}

/// A subcommand of the binary.
pub trait Command: Send + Sync {
    /// Returns the name on the command line.
    fn name(&self) -> &'static str;

    /// Returns the one-line summary for the list of commands.
    fn summary(&self) -> &'static str;

    /// Returns the arguments and options that the command accepts.
    fn signature(&self) -> Signature;

    /// Returns the description for the command's help text, in full sentences.
    fn description(&self) -> &'static str;

    /// Returns example invocations. A test runs each of them.
    fn examples(&self) -> Vec<Example>;

    /// Runs the command.
    ///
    /// # Errors
    /// [`UsageError`] for an invalid command line or input file; any other error for a failure.
    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit>;
}
