//! `skylarkpick state`.

use crate::{
    command::{Command, Example, Exit, Signature},
    console::Console,
    operator_client::{OperatorClient, add_token_option},
};
use anyhow::Context;
use getopts::{Matches, Options};

/// Dumps the state of an entry process.
pub(crate) struct StateCommand;

impl Command for StateCommand {
    fn name(&self) -> &'static str {
        "state"
    }

    fn summary(&self) -> &'static str {
        "Dump the state of an entry process"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        add_token_option(&mut options);
        Signature {
            usage: "[--token-environment NAME] ADDRESS".to_string(),
            options,
            arguments_floor: 1,
            arguments_limit: 1,
        }
    }

    fn description(&self) -> &'static str {
        "Prints the state of the entry process at ADDRESS (IP:port) as one JSON document, \
         without secrets. The operator's token is read from the environment."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A name is no address",
            arguments: &["somewhere"],
            exit: Exit::WrongUse,
            shows: "",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let client = OperatorClient::open(&matches.free[0], matches)?;
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        let state = runtime.block_on(client.get("/state"))?;
        console.result(&serde_json::to_string_pretty(&state)?);
        Ok(Exit::Success)
    }
}
