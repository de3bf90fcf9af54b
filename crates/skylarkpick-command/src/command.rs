//! What every command has.

use crate::console::Console;
use getopts::{Matches, Options};
use std::str::FromStr;

/// How a command ended, which is also the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It did what was asked.
    Success = 0,
    /// It failed, or what it checked does not hold.
    Failed = 1,
    /// It was called in a wrong way, or given bad input.
    WrongUse = 2,
}

/// Says that a command was called in a wrong way.
#[derive(Debug)]
pub struct WrongUse(pub String);

impl std::fmt::Display for WrongUse {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(&self.0)
    }
}

impl std::error::Error for WrongUse {}

/// Value of an option, or `default` where the call has none.
///
/// # Errors
/// When the value has another form than its type.
///
/// ```
/// use skylarkpick_command::option_or;
/// let mut options = getopts::Options::new();
/// options.optopt("", "seeds", "how many", "N");
/// let matches = options.parse(["--seeds", "3"])?;
/// assert_eq!(option_or(&matches, "seeds", 1).ok(), Some(3));
/// # Ok::<(), getopts::Fail>(())
/// ```
pub fn option_or<T>(matches: &Matches, name: &str, default: T) -> Result<T, WrongUse>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    matches.opt_get_default(name, default).map_err(|error| WrongUse(format!("--{name}: {error}")))
}

/// How a command is called.
pub struct Signature {
    /// What stands after the command's name, for example `FILE [--json]`.
    pub usage: String,
    /// The options, `--help` left out.
    pub options: Options,
    /// Fewest arguments that are not options.
    pub arguments_floor: usize,
    /// Most arguments that are not options.
    pub arguments_limit: usize,
}

impl Signature {
    /// A signature without arguments or options.
    pub fn plain() -> Signature {
        let (usage, options) = (String::new(), Options::new());
        Signature { usage, options, arguments_floor: 0, arguments_limit: 0 }
    }
}

/// A call that a test runs.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// What the call shows.
    pub description: &'static str,
    /// Arguments after the command's name.
    pub arguments: &'static [&'static str],
    /// How the call ends.
    pub exit: Exit,
    /// Text that its result contains.
    pub shows: &'static str,
}

/// One command of the binary.
pub trait Command: Send + Sync {
    /// Name on the command line.
    fn name(&self) -> &'static str;

    /// One line for the list of commands.
    fn summary(&self) -> &'static str;

    /// How it is called.
    fn signature(&self) -> Signature;

    /// What it does, in full sentences.
    fn description(&self) -> &'static str;

    /// Calls that show its use. A test runs each of them.
    fn examples(&self) -> Vec<Example>;

    /// Runs it.
    ///
    /// # Errors
    /// [`WrongUse`] for a wrong call or bad input; any other error for a failure.
    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit>;
}
