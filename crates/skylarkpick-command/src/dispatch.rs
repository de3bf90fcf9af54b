//! Parses the command line, runs the selected command, and suggests a name for a misspelt command
//! or option.

use crate::{
    command::{Command, Exit, Signature, UsageError},
    commands::all_commands,
    console::Console,
};
use getopts::{Fail, Options};
use skylarkpick_telemetry::{LevelFilter, open_logs};
use std::process::ExitCode;

/// Jaro-Winkler similarity at or above which a known name is suggested for a misspelt one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// Runs the command that the process arguments select, and returns its exit code.
pub fn run_main(arguments: &[String]) -> ExitCode {
    // Most commands report through the console. `entry` and `node` enable logs later, as their
    // settings require.
    if let Err(error) = open_logs(LevelFilter::Off) {
        eprintln!("skylarkpick: {error}");
    }
    ExitCode::from(run_with(arguments, &mut Console::open()) as u8)
}

/// Runs the command that `arguments` select, with its output on the given console.
///
/// ```
/// use skylarkpick_command::{Console, Exit, run_with};
/// let mut console = Console::with_writers(Box::new(std::io::sink()), Box::new(std::io::sink()));
/// assert_eq!(run_with(&["version".to_string()], &mut console), Exit::Success);
/// ```
pub fn run_with(arguments: &[String], console: &mut Console) -> Exit {
    match arguments.split_first() {
        None => run_command("help", &[], console),
        Some((name, rest)) if name == "--help" || name == "-h" => {
            run_command("help", rest, console)
        }
        Some((name, rest)) if name == "--version" => run_command("version", rest, console),
        Some((name, rest)) => run_command(name, rest, console),
    }
}

fn run_command(name: &str, arguments: &[String], console: &mut Console) -> Exit {
    let Some(command) = find_command(name) else {
        console.print_message(&unknown_command_message(name));
        return Exit::UsageError;
    };
    let signature = command.signature();
    let mut options = signature.options;
    options.optflag("h", "help", "show this help");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let message = format!("{error}{}", option_suggestion(&options, &error));
            return report_usage_error(&*command, &message, console);
        }
    };
    if matches.opt_present("help") {
        console.print(&help_text(&*command));
        return Exit::Success;
    }
    let count = matches.free.len();
    if count < signature.min_arguments || count > signature.max_arguments {
        let message = format!("unexpected number of arguments: {count}");
        return report_usage_error(&*command, &message, console);
    }
    match command.run(&matches, console) {
        Ok(exit) => exit,
        Err(error) if error.is::<UsageError>() => {
            report_usage_error(&*command, &error.to_string(), console)
        }
        Err(error) => {
            console.print_message(&format!("skylarkpick {name}: {error:#}"));
            Exit::Failed
        }
    }
}

fn report_usage_error(command: &dyn Command, message: &str, console: &mut Console) -> Exit {
    let name = command.name();
    console.print_message(&format!("skylarkpick {name}: {message}"));
    console.print_message(&format!("See `skylarkpick help {name}`."));
    Exit::UsageError
}

/// Returns the command with the given name.
pub(crate) fn find_command(name: &str) -> Option<Box<dyn Command>> {
    all_commands().into_iter().find(|command| command.name() == name)
}

/// Returns the error message for an unknown command, with a suggestion if a name is similar.
pub(crate) fn unknown_command_message(name: &str) -> String {
    let commands = all_commands();
    let names = commands.iter().map(|command| command.name());
    match most_similar(name, names) {
        Some(known) => format!("skylarkpick: unknown command {name:?}; did you mean {known:?}?"),
        None => format!("skylarkpick: unknown command {name:?}; see `skylarkpick help`"),
    }
}

/// Returns the suggestion for an unknown option; empty if no option is similar.
fn option_suggestion(options: &Options, error: &Fail) -> String {
    let Fail::UnrecognizedOption(name) = error else { return String::new() };
    let usage = options.usage("");
    let words = usage.split(|character: char| character.is_whitespace() || character == ',');
    match most_similar(name, words.filter_map(|word| word.strip_prefix("--"))) {
        Some(known) => format!("; did you mean '--{known}'?"),
        None => String::new(),
    }
}

/// Returns the known name most similar to `name`, if one reaches [`MIN_SUGGESTION_SIMILARITY`].
fn most_similar<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let similarity = |known: &str| strsim::jaro_winkler(name, known);
    known
        .filter(|known| similarity(known) >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|left, right| similarity(left).total_cmp(&similarity(right)))
}

/// Returns the full help text of a command.
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
