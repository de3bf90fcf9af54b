//! Entry point of the `skylarkpick` binary; `skylarkpick-command` implements its subcommands.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    skylarkpick_command::run_main(&arguments)
}
