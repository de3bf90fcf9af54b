//! `skylarkpick stand-in`.

use super::check::{diagnostic_lines, read_document};
use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
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

/// Delay before a change appears in the platform's list of VMs.
const LIST_LAG: Duration = Duration::from_secs(5);
/// Time that a runner takes to load weights.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Number of concurrent weight loads above which every load slows down.
const FULL_SPEED_LOADS: u32 = 2;

/// Runs a stand-in for an external system.
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
        options.optopt("", "configuration", "platform: initial configuration", "FILE");
        options.optopt("", "model", "runner: model to serve (default \"model\")", "NAME");
        options.optopt(
            "",
            "token-interval-ms",
            "runner: milliseconds between tokens (default 20)",
            "N",
        );
        Signature {
            usage: "platform|runner|store|service [--address ADDRESS] [--configuration FILE] \
                    [--model NAME] [--token-interval-ms N]"
                .to_string(),
            options,
            min_arguments: 1,
            max_arguments: 1,
        }
    }

    fn description(&self) -> &'static str {
        "Runs a stand-in for an external system until SIGTERM or SIGINT, for trying out entry \
         processes without the real one. All state is in memory. On exit, a runner or a service \
         prints the requests that it ran, one JSON object per line."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "An unknown kind is a usage error",
                arguments: &["balancer"],
                exit: Exit::UsageError,
                expected_output: "",
            },
            Example {
                description: "An invalid initial configuration is a usage error",
                arguments: &["platform", "--configuration", "config/default.jsonc"],
                exit: Exit::UsageError,
                expected_output: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        runtime.block_on(serve(matches, console))
    }
}

/// A running stand-in, and the lines that it prints on exit.
struct StandIn {
    server: Server,
    exit_lines: Box<dyn Fn() -> Vec<String> + Send>,
}

async fn serve(matches: &Matches, console: &mut Console) -> anyhow::Result<Exit> {
    let address = matches.opt_str("address").unwrap_or_else(|| "127.0.0.1:0".to_string());
    if address.parse::<std::net::SocketAddr>().is_err() {
        return Err(UsageError(format!("invalid address {address:?}; expected IP:port")).into());
    }
    let stand_in = match matches.free[0].as_str() {
        "platform" => spawn_platform(&address, matches).await?,
        "runner" => spawn_runner(&address, matches).await?,
        "store" => spawn_store(&address).await?,
        "service" => spawn_service(&address).await?,
        other => {
            let message =
                format!("unknown kind {other:?}; expected platform, runner, store or service");
            return Err(UsageError(message).into());
        }
    };
    console.print_message(&format!("listening on {}", stand_in.server.address()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    for line in (stand_in.exit_lines)() {
        console.print(&line);
    }
    Ok(Exit::Success)
}

fn without_exit_lines(server: Server) -> StandIn {
    StandIn { server, exit_lines: Box::new(Vec::new) }
}

async fn spawn_platform(address: &str, matches: &Matches) -> anyhow::Result<StandIn> {
    let platform = MemoryPlatform::open(LIST_LAG, PlatformRates::default());
    if let Some(path) = matches.opt_str("configuration") {
        let text = read_document(&path)?;
        let configuration = parse_configuration(&text)
            .map_err(|diagnostics| UsageError(diagnostic_lines(&path, &diagnostics)))?;
        let record = json!({"version": 1, "history": [], "configuration": configuration});
        let value = serde_json::to_vec(&record)?;
        platform
            .put(CONFIGURATION_KEY, None, value)
            .await
            .context("failed to write the initial configuration")?;
    }
    let server = serve_platform(address, platform).await.context("failed to bind the address")?;
    Ok(without_exit_lines(server))
}

async fn spawn_runner(address: &str, matches: &Matches) -> anyhow::Result<StandIn> {
    let interval_ms = matches
        .opt_get_default("token-interval-ms", 20)
        .map_err(|error| UsageError(format!("--token-interval-ms: {error}")))?;
    let defaults = RunnerSettings::default();
    let settings = RunnerSettings {
        model: matches.opt_str("model").unwrap_or_else(|| defaults.model.clone()),
        token_interval: Duration::from_millis(interval_ms),
        ..defaults
    };
    let weight_store = WeightStore::open(LOAD_TIME, FULL_SPEED_LOADS);
    let runner = FakeRunner::open(settings, Arc::new(HttpConnector::open()), weight_store);
    let server = serve_runner(address, Arc::new(runner.clone()))
        .await
        .context("failed to bind the address")?;
    let exit_lines = Box::new(move || {
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
    Ok(StandIn { server, exit_lines })
}

async fn spawn_store(address: &str) -> anyhow::Result<StandIn> {
    let store = FakeStore::open(StoreSettings::default());
    let server = serve_store(address, store).await.context("failed to bind the address")?;
    Ok(without_exit_lines(server))
}

async fn spawn_service(address: &str) -> anyhow::Result<StandIn> {
    let service = FakeService::open();
    let server =
        serve_service(address, service.clone()).await.context("failed to bind the address")?;
    let exit_lines = Box::new(move || {
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
    Ok(StandIn { server, exit_lines })
}
