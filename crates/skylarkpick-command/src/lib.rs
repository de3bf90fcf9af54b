//! The subcommands of the `skylarkpick` binary: parsing of the command line, dispatch, and one
//! [`Command`] implementation per file.

mod command;
mod commands;
mod console;
mod demo;
mod dispatch;
mod operator_client;
mod overhead;

pub use command::{Command, Example, Exit, Signature, UsageError, option_or};
pub use commands::all_commands;
pub use console::Console;
pub use dispatch::{run_main, run_with};
