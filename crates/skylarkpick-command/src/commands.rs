//! The commands, one a file.

mod demo;
mod entry;
mod help;
mod replay;
mod scenario;
mod version;

use crate::command::Command;

/// Every command, in the order of the list of commands.
pub fn all_commands() -> Vec<Box<dyn Command>> {
    vec![
        Box::new(entry::EntryCommand),
        Box::new(demo::DemoCommand),
        Box::new(replay::ReplayCommand),
        Box::new(scenario::ScenarioCommand),
        Box::new(version::VersionCommand),
        Box::new(help::HelpCommand),
    ]
}

#[cfg(test)]
mod tests;
