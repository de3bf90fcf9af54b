//! `skylarkpick token`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
};
use getopts::{Matches, Options};
use skylarkpick_config::hash_token;

/// Generates an access token and its hash.
pub(crate) struct TokenCommand;

impl Command for TokenCommand {
    fn name(&self) -> &'static str {
        "token"
    }

    fn summary(&self) -> &'static str {
        "Generate an access token and its hash for the configuration"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "environment", "hash the token in this environment variable", "NAME");
        Signature { usage: "[--environment NAME]".to_string(), options, ..Signature::empty() }
    }

    fn description(&self) -> &'static str {
        "Generates a random access token, prints it to standard error, and prints its hash, for \
         `token_hashes` of a client account, to standard output. With --environment, hashes the \
         token in that environment variable instead and prints only the hash."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "Generate a token",
                arguments: &[],
                exit: Exit::Success,
                expected_output: "",
            },
            Example {
                description: "A variable that is not set is a usage error",
                arguments: &["--environment", "NOT_SET"],
                exit: Exit::UsageError,
                expected_output: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let token = match matches.opt_str("environment") {
            Some(name) => std::env::var(&name)
                .map_err(|_| UsageError(format!("the environment variable {name} is not set")))?,
            None => {
                let token =
                    format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
                console.print_message(&token);
                token
            }
        };
        console.print(&hash_token(&token));
        Ok(Exit::Success)
    }
}
