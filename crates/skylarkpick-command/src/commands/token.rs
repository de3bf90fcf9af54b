//! `skylarkpick token`.

use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
    console::Console,
};
use getopts::{Matches, Options};
use skylarkpick_config::hash_token;

/// Makes an access token and its hash.
pub(crate) struct TokenCommand;

impl Command for TokenCommand {
    fn name(&self) -> &'static str {
        "token"
    }

    fn summary(&self) -> &'static str {
        "Make an access token and the hash that the configuration keeps"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "environment", "hash the token that this variable holds", "NAME");
        Signature { usage: "[--environment NAME]".to_string(), options, ..Signature::plain() }
    }

    fn description(&self) -> &'static str {
        "Makes a random access token, prints it on standard error, and prints its hash, for \
         `token_hashes` of a client account, on standard output. With --environment, hashes the \
         token that the variable holds and prints the hash alone."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example { description: "Make a token", arguments: &[], exit: Exit::Success, shows: "" },
            Example {
                description: "A variable that is not set is wrong use",
                arguments: &["--environment", "NOT_SET"],
                exit: Exit::WrongUse,
                shows: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let token = match matches.opt_str("environment") {
            Some(name) => std::env::var(&name)
                .map_err(|_| WrongUse(format!("the environment variable {name} is not set")))?,
            None => {
                let token =
                    format!("{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
                console.message(&token);
                token
            }
        };
        console.result(&hash_token(&token));
        Ok(Exit::Success)
    }
}
