//! The commands of the binary, one a file, behind one trait.

mod command;
mod commands;
mod console;
mod demo;
mod dispatch;
mod operator_client;
mod overhead;

pub use command::{Command, Example, Exit, Signature, WrongUse, option_or};
pub use commands::all_commands;
pub use console::Console;
pub use dispatch::{run_main, run_with};
