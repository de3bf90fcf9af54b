//! `skylarkpick version`.

use crate::{
    command::{Command, Example, Exit, Signature},
    console::Console,
};
use getopts::Matches;

/// Prints the version.
pub(crate) struct VersionCommand;

impl Command for VersionCommand {
    fn name(&self) -> &'static str {
        "version"
    }

    fn summary(&self) -> &'static str {
        "Print the version"
    }

    fn signature(&self) -> Signature {
        Signature::empty()
    }

    fn description(&self) -> &'static str {
        "Prints the version of this binary."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "Print the version",
            arguments: &[],
            exit: Exit::Success,
            expected_output: "skylarkpick 0.",
        }]
    }

    fn run(&self, _: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        console.print(&format!("skylarkpick {}", env!("CARGO_PKG_VERSION")));
        Ok(Exit::Success)
    }
}
