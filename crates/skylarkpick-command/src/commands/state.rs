//! `skylarkpick state`.

use crate::{
    command::{Command, Example, Exit, Signature},
    console::Console,
    operator_client::{OperatorClient, add_token_option},
};
use anyhow::Context;
use getopts::{Matches, Options};

/// Prints a state dump of an entry process.
pub(crate) struct StateCommand;

impl Command for StateCommand {
    fn name(&self) -> &'static str {
        "state"
    }

    fn summary(&self) -> &'static str {
        "Print a state dump of an entry process"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        add_token_option(&mut options);
        Signature {
            usage: "[--token-environment NAME] ADDRESS".to_string(),
            options,
            min_arguments: 1,
            max_arguments: 1,
        }
    }

    fn description(&self) -> &'static str {
        "Prints the state of the entry process at ADDRESS (IP:port) as one JSON document, \
         without secrets. The operator token is read from an \
         environment variable."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A host name is not accepted as an address",
            arguments: &["somewhere"],
            exit: Exit::UsageError,
            expected_output: "",
        }]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let client = OperatorClient::open(&matches.free[0], matches)?;
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        let state = runtime.block_on(client.get("/state"))?;
        console.print(&serde_json::to_string_pretty(&state)?);
        Ok(Exit::Success)
    }
}
