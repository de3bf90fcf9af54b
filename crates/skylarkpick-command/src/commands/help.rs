//! `skylarkpick help`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    commands::all_commands,
    console::Console,
    dispatch::{find_command, help_text, unknown_command_message},
};
use getopts::Matches;

/// Lists the commands, or prints the help of one.
pub(crate) struct HelpCommand;

impl Command for HelpCommand {
    fn name(&self) -> &'static str {
        "help"
    }

    fn summary(&self) -> &'static str {
        "List the commands, or show the help of one"
    }

    fn signature(&self) -> Signature {
        Signature { usage: "[COMMAND]".to_string(), max_arguments: 1, ..Signature::empty() }
    }

    fn description(&self) -> &'static str {
        "Lists the commands. With the name of a command, prints the help of that command."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "List the commands",
                arguments: &[],
                exit: Exit::Success,
                expected_output: "demo",
            },
            Example {
                description: "Show the help of the demo",
                arguments: &["demo"],
                exit: Exit::Success,
                expected_output: "Usage: skylarkpick demo",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        match matches.free.first() {
            Some(name) => {
                let command =
                    find_command(name).ok_or_else(|| UsageError(unknown_command_message(name)))?;
                console.print(&help_text(&*command));
            }
            None => print_commands(console),
        }
        Ok(Exit::Success)
    }
}

fn print_commands(console: &mut Console) {
    console.print("A serving system for prompts that are repeated after long gaps.\n");
    console.print("Usage: skylarkpick COMMAND [ARGUMENTS]\n");
    for command in all_commands() {
        let name = console.bold(&format!("{:<10}", command.name()));
        console.print(&format!("    {name}{}", command.summary()));
    }
    console.print("\nSee `skylarkpick help COMMAND` for the help of a command.");
}
