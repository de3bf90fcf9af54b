//! The implementations of the subcommands.

mod capacity;
mod check;
mod config;
mod demo;
mod entry;
mod help;
mod node;
mod overhead;
mod replay;
mod scenario;
mod soak;
mod stand_in;
mod state;
mod token;
mod version;

use crate::command::Command;

/// Returns every command, in the order in which `skylarkpick help` lists them.
pub fn all_commands() -> Vec<Box<dyn Command>> {
    vec![
        Box::new(entry::EntryCommand),
        Box::new(node::NodeCommand),
        Box::new(demo::DemoCommand),
        Box::new(check::CheckCommand),
        Box::new(config::ConfigCommand),
        Box::new(state::StateCommand),
        Box::new(token::TokenCommand),
        Box::new(stand_in::StandInCommand),
        Box::new(overhead::OverheadCommand),
        Box::new(replay::ReplayCommand),
        Box::new(scenario::ScenarioCommand),
        Box::new(soak::SoakCommand),
        Box::new(capacity::CapacityCommand),
        Box::new(version::VersionCommand),
        Box::new(help::HelpCommand),
    ]
}

#[cfg(test)]
mod tests;
