//! `skylarkpick stand-in`.

use super::check::{fault_lines, read_document};
use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
    console::Console,
};
use anyhow::Context;
use getopts::{Matches, Options};
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, parse_configuration};
use skylarkpick_http::{HttpConnector, Server};
use skylarkpick_interface::ObjectStore;
use skylarkpick_standin::{
    FakeRunner, FakeService, FakeStore, MemoryPlatform, PlatformRates, RunnerSettings,
    StoreSettings, WeightStore, serve_platform, serve_runner, serve_service, serve_store,
};
use std::{sync::Arc, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Lag of the platform's list of VMs.
const LIST_LAG: Duration = Duration::from_secs(5);
/// Time for a runner to load weights.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Loads at once above which each takes longer.
const LOADS_KNEE: u32 = 2;

/// Runs a stand-in for an outside system.
pub(crate) struct StandInCommand;

impl Command for StandInCommand {
    fn name(&self) -> &'static str {
        "stand-in"
    }

    fn summary(&self) -> &'static str {
        "Run a stand-in for the platform, a runner, a store or a service"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt("", "address", "IP:port to listen on (default 127.0.0.1:0)", "ADDRESS");
        options.optopt("", "configuration", "platform: first configuration", "FILE");
        options.optopt("", "model", "runner: model to serve (default \"model\")", "NAME");
        options.optopt("", "token-interval-ms", "runner: time between tokens (default 20)", "N");
        Signature {
            usage: "platform|runner|store|service [--address ADDRESS] [--configuration FILE] \
                    [--model NAME] [--token-interval-ms N]"
                .to_string(),
            options,
            arguments_floor: 1,
            arguments_limit: 1,
        }
    }

    fn description(&self) -> &'static str {
        "Runs a small stand-in for an outside system until SIGTERM or SIGINT, for trying entry \
         processes without the real ones. It keeps everything in memory. At its end a runner \
         and a service print what they ran, a JSON value a line."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "An unknown kind is wrong use",
                arguments: &["balancer"],
                exit: Exit::WrongUse,
                shows: "",
            },
            Example {
                description: "A first configuration is checked",
                arguments: &["platform", "--configuration", "config/default.jsonc"],
                exit: Exit::WrongUse,
                shows: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let runtime = tokio::runtime::Runtime::new().context("no runtime could be started")?;
        runtime.block_on(serve(matches, console))
    }
}

/// A served stand-in and what to print at its end.
struct Served {
    server: Server,
    ledger: Box<dyn Fn() -> Vec<String> + Send>,
}

async fn serve(matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
    let address = matches.opt_str("address").unwrap_or_else(|| "127.0.0.1:0".to_string());
    if address.parse::<std::net::SocketAddr>().is_err() {
        return Err(WrongUse(format!("{address:?} is no address; expected IP:port")).into());
    }
    let served = match matches.free[0].as_str() {
        "platform" => platform(&address, matches).await?,
        "runner" => runner(&address, matches).await?,
        "store" => store(&address).await?,
        "service" => service(&address).await?,
        other => {
            let message = format!("no kind {other:?}; expected platform, runner, store or service");
            return Err(WrongUse(message).into());
        }
    };
    console.message(&format!("listening on {}", served.server.address()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    for line in (served.ledger)() {
        console.result(&line);
    }
    Ok(Exit::Success)
}

fn without_ledger(server: Server) -> Served {
    Served { server, ledger: Box::new(Vec::new) }
}

async fn platform(address: &str, matches: &Matches) -> anyhow::Result<Served> {
    let platform = MemoryPlatform::open(LIST_LAG, PlatformRates::default());
    if let Some(path) = matches.opt_str("configuration") {
        let text = read_document(&path)?;
        let configuration =
            parse_configuration(&text).map_err(|faults| WrongUse(fault_lines(&path, &faults)))?;
        let record = json!({"version": 1, "history": [], "configuration": configuration});
        let value = serde_json::to_vec(&record)?;
        platform.put(CONFIGURATION_KEY, None, value).await.context("nothing was written")?;
    }
    let server = serve_platform(address, platform).await.context("the address is not free")?;
    Ok(without_ledger(server))
}

async fn runner(address: &str, matches: &Matches) -> anyhow::Result<Served> {
    let interval_ms = matches
        .opt_get_default("token-interval-ms", 20)
        .map_err(|error| WrongUse(format!("--token-interval-ms: {error}")))?;
    let defaults = RunnerSettings::default();
    let settings = RunnerSettings {
        model: matches.opt_str("model").unwrap_or_else(|| defaults.model.clone()),
        token_interval: Duration::from_millis(interval_ms),
        ..defaults
    };
    let weight_store = WeightStore::open(LOAD_TIME, LOADS_KNEE);
    let runner = FakeRunner::open(settings, Arc::new(HttpConnector::open()), weight_store);
    let server =
        serve_runner(address, Arc::new(runner.clone())).await.context("the address is not free")?;
    let ledger = Box::new(move || {
        let records = runner.ledger();
        let line = |record: &skylarkpick_standin::RunRecord| {
            json!({
                "run_id": record.run_id,
                "request_id": record.request_id,
                "account": record.account,
                "weight_version": record.weight_version,
                "cached_tokens": record.cached_tokens,
                "finished": record.finished,
            })
        };
        records.iter().map(|record| line(record).to_string()).collect()
    });
    Ok(Served { server, ledger })
}

async fn store(address: &str) -> anyhow::Result<Served> {
    let store = FakeStore::open(StoreSettings::default());
    let server = serve_store(address, store).await.context("the address is not free")?;
    Ok(without_ledger(server))
}

async fn service(address: &str) -> anyhow::Result<Served> {
    let service = FakeService::open();
    let server =
        serve_service(address, service.clone()).await.context("the address is not free")?;
    let ledger = Box::new(move || {
        let records = service.ledger();
        let line = |record: &skylarkpick_standin::ServiceRecord| {
            json!({
                "request_id": record.request_id,
                "account": record.account,
                "call": record.call,
            })
        };
        records.iter().map(|record| line(record).to_string()).collect()
    });
    Ok(Served { server, ledger })
}
