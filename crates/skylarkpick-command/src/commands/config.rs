//! `skylarkpick config`.

use super::check::read_document;
use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
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
        options.optopt("", "base-version", "version that the patch was made against", "N");
        options.optopt("", "patch-id", "id of the patch (default: made at random)", "ID");
        options.optflag("", "json", "print the result as one JSON document");
        add_token_option(&mut options);
        Signature {
            usage: "get|history|status|patch --entry ADDRESS [--json] [--base-version N] \
                    [--patch-id ID] [FILE]"
                .to_string(),
            options,
            arguments_floor: 1,
            arguments_limit: 2,
        }
    }

    fn description(&self) -> &'static str {
        "Reads the configuration (get), the accepted patches (history) or which processes have \
         which version in force (status), or applies a patch: a JSON merge patch in FILE, made \
         against the version that --base-version names. When the answer to a patch is lost, \
         ask again with the same --patch-id: it is applied once. The operator's token is read \
         from the environment."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "A patch names the version that it was made against",
                arguments: &["patch", "--entry", "127.0.0.1:8080", "change.jsonc"],
                exit: Exit::WrongUse,
                shows: "",
            },
            Example {
                description: "An unknown action is wrong use",
                arguments: &["list", "--entry", "127.0.0.1:8080"],
                exit: Exit::WrongUse,
                shows: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let action = Action::read(matches)?;
        let address = matches
            .opt_str("entry")
            .ok_or_else(|| WrongUse("name an entry process with --entry ADDRESS".to_string()))?;
        let client = OperatorClient::open(&address, matches)?;
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        let answer = runtime.block_on(action.ask(&client, console))?;
        let as_json = matches.opt_present("json");
        console.result(&action.show(&answer, as_json)?);
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
    fn read(matches: &Matches) -> Result<Action, WrongUse> {
        let action = match matches.free[0].as_str() {
            "get" => Action::Get,
            "history" => Action::History,
            "status" => Action::Status,
            "patch" => return read_patch(matches).map(Action::Patch),
            other => {
                let message =
                    format!("no action {other:?}; expected get, history, status or patch");
                return Err(WrongUse(message));
            }
        };
        match matches.free.get(1) {
            Some(surplus) => Err(WrongUse(format!("{surplus:?} is one argument too many"))),
            None => Ok(action),
        }
    }

    async fn ask(&self, client: &OperatorClient, console: &mut Console) -> anyhow::Result<Value> {
        match self {
            Action::Get => client.get("/v1/configuration").await,
            Action::History => client.get("/v1/configuration/history").await,
            Action::Status => client.get("/v1/configuration/status").await,
            Action::Patch(patch) => {
                // Said before the answer comes, because the answer may be lost.
                console.message(&format!("patch id {}", patch["patch_id"]));
                client.patch("/v1/configuration", patch).await
            }
        }
    }

    fn show(&self, answer: &Value, as_json: bool) -> anyhow::Result<String> {
        if as_json {
            return Ok(serde_json::to_string_pretty(answer)?);
        }
        Ok(match self {
            Action::History => history_table(answer),
            Action::Patch(_) => format!("accepted as version {}", answer["version"]),
            Action::Status => status_table(answer),
            Action::Get => serde_json::to_string_pretty(answer)?,
        })
    }
}

fn read_patch(matches: &Matches) -> Result<Value, WrongUse> {
    let path = matches.free.get(1).ok_or_else(|| WrongUse("name the FILE of a patch".into()))?;
    let version = matches
        .opt_str("base-version")
        .ok_or_else(|| WrongUse("name the version with --base-version N".to_string()))?;
    let base_version: u64 =
        version.parse().map_err(|_| WrongUse(format!("{version:?} is no version")))?;
    let text = read_document(path).map_err(|error| WrongUse(error.to_string()))?;
    let change: Option<Value> = jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|error| WrongUse(format!("{path}: {error}")))?;
    let change = change.ok_or_else(|| WrongUse(format!("{path} is empty")))?;
    let patch_id = matches
        .opt_str("patch-id")
        .unwrap_or_else(|| format!("patch-{:016x}", rand::random::<u64>()));
    Ok(json!({"patch_id": patch_id, "base_version": base_version, "change": change}))
}

fn status_table(answer: &Value) -> String {
    let mut lines = vec![format!(
        "version {} in force on {} of {}",
        answer["version"], answer["in_force_on"], answer["members"]
    )];
    for process in answer["processes"].as_array().into_iter().flatten() {
        let Some(lagging_ms) = process["lagging_for_ms"].as_u64() else { continue };
        let name = process["entry_id"].as_str().unwrap_or_default();
        let data_centre = process["data_centre"].as_str().unwrap_or_default();
        let version = &process["version"];
        lines.push(format!("{name} in {data_centre}: version {version} for {lagging_ms} ms"));
    }
    for data_centre in answer["silent_data_centres"].as_array().into_iter().flatten() {
        lines.push(format!("nothing is heard of {}", data_centre.as_str().unwrap_or_default()));
    }
    lines.join("\n")
}

fn history_table(answer: &Value) -> String {
    let mut lines = vec![format!("{:>8}  {:<24}  {}", "version", "author", "patch id")];
    for accepted in answer.as_array().into_iter().flatten() {
        let author = accepted["author"].as_str().unwrap_or_default();
        let patch_id = accepted["patch_id"].as_str().unwrap_or_default();
        let version = accepted["version"].as_u64().unwrap_or_default();
        lines.push(format!("{version:>8}  {author:<24}  {patch_id}"));
    }
    lines.join("\n")
}
