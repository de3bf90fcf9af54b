//! `skylarkpick config`.

use super::check::read_document;
use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
    operator_client::{OperatorClient, add_token_option},
};
use anyhow::Context;
use getopts::{Matches, Options};
use serde_json::{Value, json};

/// Reads and patches the configuration through an entry process.
pub(crate) struct ConfigCommand;

impl Command for ConfigCommand {
    fn name(&self) -> &'static str {
        "config"
    }

    fn summary(&self) -> &'static str {
        "Read or patch the configuration"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "entry", "IP:port of an entry process", "ADDRESS");
        options.optopt("", "base-version", "configuration version that the patch is based on", "N");
        options.optopt("", "patch-id", "id of the patch (default: random)", "ID");
        options.optflag("", "json", "print the result as one JSON document");
        add_token_option(&mut options);
        Signature {
            usage: "get|history|status|patch --entry ADDRESS [--json] [--base-version N] \
                    [--patch-id ID] [FILE]"
                .to_string(),
            options,
            min_arguments: 1,
            max_arguments: 2,
        }
    }

    fn description(&self) -> &'static str {
        "Prints the configuration (get), the accepted patches (history), or the active \
         configuration version of the processes (status), or applies a JSON merge patch from \
         FILE to the version in --base-version (patch). If the response to a patch is lost, \
         retry with the same --patch-id: the patch is applied only once. The operator token is \
         read from an environment variable."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "A patch without its base version is a usage error",
                arguments: &["patch", "--entry", "127.0.0.1:8080", "change.jsonc"],
                exit: Exit::UsageError,
                expected_output: "",
            },
            Example {
                description: "An unknown action is a usage error",
                arguments: &["list", "--entry", "127.0.0.1:8080"],
                exit: Exit::UsageError,
                expected_output: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let action = Action::parse(matches)?;
        let address = matches
            .opt_str("entry")
            .ok_or_else(|| UsageError("missing option --entry ADDRESS".to_string()))?;
        let client = OperatorClient::open(&address, matches)?;
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        let response = runtime.block_on(action.send(&client, console))?;
        let as_json = matches.opt_present("json");
        console.print(&action.format_response(&response, as_json)?);
        Ok(Exit::Success)
    }
}

enum Action {
    Get,
    History,
    Status,
    Patch(Value),
}

impl Action {
    fn parse(matches: &Matches) -> Result<Action, UsageError> {
        let action = match matches.free[0].as_str() {
            "get" => Action::Get,
            "history" => Action::History,
            "status" => Action::Status,
            "patch" => return read_patch(matches).map(Action::Patch),
            other => {
                let message =
                    format!("unknown action {other:?}; expected get, history, status or patch");
                return Err(UsageError(message));
            }
        };
        match matches.free.get(1) {
            Some(surplus) => Err(UsageError(format!("unexpected argument {surplus:?}"))),
            None => Ok(action),
        }
    }

    async fn send(&self, client: &OperatorClient, console: &mut Console) -> anyhow::Result<Value> {
        match self {
            Action::Get => client.get("/v1/configuration").await,
            Action::History => client.get("/v1/configuration/history").await,
            Action::Status => client.get("/v1/configuration/status").await,
            Action::Patch(patch) => {
                // Printed before the request, so that the user can retry if the response is lost.
                console.print_message(&format!("patch id {}", patch["patch_id"]));
                client.patch("/v1/configuration", patch).await
            }
        }
    }

    fn format_response(&self, response: &Value, as_json: bool) -> anyhow::Result<String> {
        if as_json {
            return Ok(serde_json::to_string_pretty(response)?);
        }
        Ok(match self {
            Action::History => history_table(response),
            Action::Patch(_) => format!("accepted as version {}", response["version"]),
            Action::Status => status_table(response),
            Action::Get => serde_json::to_string_pretty(response)?,
        })
    }
}

fn read_patch(matches: &Matches) -> Result<Value, UsageError> {
    let path = matches
        .free
        .get(1)
        .ok_or_else(|| UsageError("missing argument FILE with the patch".into()))?;
    let version = matches
        .opt_str("base-version")
        .ok_or_else(|| UsageError("missing option --base-version N".to_string()))?;
    let base_version: u64 = version
        .parse()
        .map_err(|_| UsageError(format!("invalid version {version:?}; expected a whole number")))?;
    let text = read_document(path).map_err(|error| UsageError(error.to_string()))?;
    let change: Option<Value> = jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|error| UsageError(format!("{path}: {error}")))?;
    let change = change.ok_or_else(|| UsageError(format!("{path} is empty")))?;
    let patch_id = matches
        .opt_str("patch-id")
        .unwrap_or_else(|| format!("patch-{:016x}", rand::random::<u64>()));
    Ok(json!({"patch_id": patch_id, "base_version": base_version, "change": change}))
}

fn status_table(response: &Value) -> String {
    let mut lines = vec![format!(
        "version {} active on {} of {} entry processes",
        response["version"], response["in_force_on"], response["members"]
    )];
    for process in response["processes"].as_array().into_iter().flatten() {
        let Some(lagging_ms) = process["lagging_for_ms"].as_u64() else { continue };
        let name = process["entry_id"].as_str().unwrap_or_default();
        let data_centre = process["data_centre"].as_str().unwrap_or_default();
        let version = &process["version"];
        lines.push(format!(
            "{name} in {data_centre}: version {version}, outdated for {lagging_ms} ms"
        ));
    }
    for data_centre in response["silent_data_centres"].as_array().into_iter().flatten() {
        lines.push(format!(
            "no reports from data centre {}",
            data_centre.as_str().unwrap_or_default()
        ));
    }
    lines.join("\n")
}

fn history_table(response: &Value) -> String {
    let mut lines = vec![format!("{:>8}  {:<24}  {}", "version", "author", "patch id")];
    for accepted in response.as_array().into_iter().flatten() {
        let author = accepted["author"].as_str().unwrap_or_default();
        let patch_id = accepted["patch_id"].as_str().unwrap_or_default();
        let version = accepted["version"].as_u64().unwrap_or_default();
        lines.push(format!("{version:>8}  {author:<24}  {patch_id}"));
    }
    lines.join("\n")
}
