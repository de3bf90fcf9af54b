//! `skylarkpick help`.

use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
    commands::all_commands,
    console::Console,
    dispatch::{find_command, help_text, unknown_command},
};
use getopts::Matches;

/// Lists the commands, or explains one.
pub(crate) struct HelpCommand;

impl Command for HelpCommand {
    fn name(&self) -> &'static str {
        "help"
    }

    fn summary(&self) -> &'static str {
        "List the commands, or explain one"
    }

    fn signature(&self) -> Signature {
        Signature { usage: "[COMMAND]".to_string(), arguments_limit: 1, ..Signature::plain() }
    }

    fn description(&self) -> &'static str {
        "Lists the commands. With the name of a command, explains that one."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "List the commands",
                arguments: &[],
                exit: Exit::Success,
                shows: "demo",
            },
            Example {
                description: "Explain the demo",
                arguments: &["demo"],
                exit: Exit::Success,
                shows: "Usage: skylarkpick demo",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        match matches.free.first() {
            Some(name) => {
                let command = find_command(name).ok_or_else(|| WrongUse(unknown_command(name)))?;
                console.result(&help_text(&*command));
            }
            None => list(console),
        }
        Ok(Exit::Success)
    }
}

fn list(console: &mut Console) {
    console.result("A serving system for prompts that return after long gaps.\n");
    console.result("Usage: skylarkpick COMMAND [ARGUMENTS]\n");
    for command in all_commands() {
        let name = console.bold(&format!("{:<10}", command.name()));
        console.result(&format!("    {name}{}", command.summary()));
    }
    console.result("\nSee `skylarkpick help COMMAND` for more on one of them.");
}
