//! Finds the command that is asked for and runs it.

use crate::{
    command::{Command, Exit, Signature, WrongUse},
    commands::all_commands,
    console::Console,
};
use getopts::{Fail, Options};
use skylarkpick_telemetry::{LevelFilter, open_logs};
use std::process::ExitCode;

/// Likeness from which a misspelt name gets a hint.
const HINT_LIKENESS: f64 = 0.7;

/// Runs the command that the arguments of the process name.
pub fn run_main(arguments: &[String]) -> ExitCode {
    // Commands speak for themselves; `entry` opens the logs that its settings ask for.
    if let Err(error) = open_logs(LevelFilter::Off) {
        eprintln!("skylarkpick: {error}");
    }
    ExitCode::from(run_with(arguments, &mut Console::open()) as u8)
}

/// Runs a command, writing to the given console.
///
/// ```
/// use skylarkpick_command::{Console, Exit, run_with};
/// let mut console = Console::to(Box::new(std::io::sink()), Box::new(std::io::sink()));
/// assert_eq!(run_with(&["version".to_string()], &mut console), Exit::Success);
/// ```
pub fn run_with(arguments: &[String], console: &mut Console) -> Exit {
    match arguments.split_first() {
        None => run_named("help", &[], console),
        Some((name, rest)) if name == "--help" || name == "-h" => run_named("help", rest, console),
        Some((name, rest)) if name == "--version" => run_named("version", rest, console),
        Some((name, rest)) => run_named(name, rest, console),
    }
}

fn run_named(name: &str, arguments: &[String], console: &mut Console) -> Exit {
    let Some(command) = find_command(name) else {
        console.message(&unknown_command(name));
        return Exit::WrongUse;
    };
    let signature = command.signature();
    let mut options = signature.options;
    options.optflag("h", "help", "show this help");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let message = format!("{error}{}", option_hint(&options, &error));
            return wrong_use(&*command, &message, console);
        }
    };
    if matches.opt_present("help") {
        console.result(&help_text(&*command));
        return Exit::Success;
    }
    let count = matches.free.len();
    if count < signature.arguments_floor || count > signature.arguments_limit {
        let message = format!("{count} arguments were given");
        return wrong_use(&*command, &message, console);
    }
    match command.run(&matches, console) {
        Ok(exit) => exit,
        Err(error) if error.is::<WrongUse>() => wrong_use(&*command, &error.to_string(), console),
        Err(error) => {
            console.message(&format!("skylarkpick {name}: {error:#}"));
            Exit::Failed
        }
    }
}

fn wrong_use(command: &dyn Command, message: &str, console: &mut Console) -> Exit {
    let name = command.name();
    console.message(&format!("skylarkpick {name}: {message}"));
    console.message(&format!("See `skylarkpick help {name}`."));
    Exit::WrongUse
}

/// Finds a command by its name.
pub(crate) fn find_command(name: &str) -> Option<Box<dyn Command>> {
    all_commands().into_iter().find(|command| command.name() == name)
}

/// Message for a name that no command has.
pub(crate) fn unknown_command(name: &str) -> String {
    let commands = all_commands();
    let names = commands.iter().map(|command| command.name());
    match nearest(name, names) {
        Some(known) => format!("skylarkpick: no command {name:?}; did you mean {known:?}?"),
        None => format!("skylarkpick: no command {name:?}; see `skylarkpick help`"),
    }
}

/// Hint for a misspelt option, or nothing.
fn option_hint(options: &Options, error: &Fail) -> String {
    let Fail::UnrecognizedOption(name) = error else { return String::new() };
    let usage = options.usage("");
    let words = usage.split(|character: char| character.is_whitespace() || character == ',');
    match nearest(name, words.filter_map(|word| word.strip_prefix("--"))) {
        Some(known) => format!("; did you mean '--{known}'?"),
        None => String::new(),
    }
}

/// The known name that is most like `name`, if any is like it.
fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let likeness = |known: &str| strsim::jaro_winkler(name, known);
    known
        .filter(|known| likeness(known) >= HINT_LIKENESS)
        .max_by(|left, right| likeness(left).total_cmp(&likeness(right)))
}

/// Full help of one command.
pub(crate) fn help_text(command: &dyn Command) -> String {
    let Signature { usage, mut options, .. } = command.signature();
    options.optflag("h", "help", "show this help");
    let brief =
        format!("{}\n\nUsage: skylarkpick {} {usage}", command.description(), command.name());
    let mut text = options.usage(&brief);
    let examples = command.examples();
    if !examples.is_empty() {
        text.push_str("\nExamples:\n");
    }
    for example in examples {
        let arguments = example.arguments.join(" ");
        text.push_str(&format!("    skylarkpick {} {arguments}\n", command.name()));
        text.push_str(&format!("        {}\n", example.description));
    }
    text
}
