//! `skylarkpick node`.

use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
};
use anyhow::Context;
use getopts::{Matches, Options};
use skylarkpick_config::parse_policy;
use skylarkpick_forward::{Node, NodeParts};
use skylarkpick_interface::{BootClock, NodeSettings};
use skylarkpick_platform::{
    ObjectClient, PlatformControl, PlatformDialect, PlatformFleet, PlatformObjects,
    read_node_settings,
};
use skylarkpick_schedule::PlacementPolicy;
use skylarkpick_telemetry::{
    Exposition, Level, LevelFilter, Metrics, install_metrics, open_stdout_logs,
};
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs the node process on a VM of the platform.
pub(crate) struct NodeCommand;

impl Command for NodeCommand {
    fn name(&self) -> &'static str {
        "node"
    }

    fn summary(&self) -> &'static str {
        "Run the node process on a VM of the platform"
    }

    fn signature(&self) -> Signature {
        let mut options = Options::new();
        options.optopt(
            "",
            "policy",
            "weights and switches of placement, for experiments (JSON with comments)",
            "FILE",
        );
        Signature { usage: "[--policy FILE]".to_string(), options, ..Signature::empty() }
    }

    fn description(&self) -> &'static str {
        "Runs until SIGTERM, then finishes every response in flight and exits. On SIGHUP, checks \
         the settings file again; changes take effect at the next start. The platform writes the \
         settings file; the environment variable SKYLARKPICK_CONFIG contains its path."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "A missing settings file is a usage error",
            arguments: &[],
            exit: Exit::UsageError,
            expected_output: "",
        }]
    }

    fn run(&self, matches: &Matches, _: &mut Console) -> anyhow::Result<Exit> {
        // A VM has less than one core, so more threads would only add context switches.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("failed to start the async runtime")?;
        // Comes before anything that takes time.
        let signals = runtime.block_on(async { NodeSignals::open() })?;
        let settings = read_node_settings().map_err(|error| UsageError(error.to_string()))?;
        let policy = read_policy(matches.opt_str("policy"))?;
        open_stdout_logs(LevelFilter::MoreSevereEqual(Level::Info))?;
        runtime.block_on(serve(settings, policy, signals))
    }
}

/// Reads the placement policy from a file, or returns the default one.
fn read_policy(path: Option<String>) -> anyhow::Result<PlacementPolicy> {
    let Some(path) = path else { return Ok(PlacementPolicy::default()) };
    let text = std::fs::read_to_string(&path)
        .map_err(|error| UsageError(format!("failed to read the policy file {path}: {error}")))?;
    let policy = parse_policy(&text)
        .map_err(|error| UsageError(format!("invalid policy file {path}: {error}")))?;
    Ok(policy)
}

/// The signals of the platform. One that arrives before it is waited for is kept.
struct NodeSignals {
    terminate: Signal,
    reload: Signal,
}

impl NodeSignals {
    /// Replaces the default action of the signals, which ends the process.
    fn open() -> anyhow::Result<NodeSignals> {
        let open = |kind| signal(kind).context("failed to handle a signal");
        let (terminate, reload) = (open(SignalKind::terminate())?, open(SignalKind::hangup())?);
        Ok(NodeSignals { terminate, reload })
    }
}

async fn serve(
    settings: NodeSettings,
    policy: PlacementPolicy,
    mut signals: NodeSignals,
) -> anyhow::Result<Exit> {
    let client = ObjectClient::open(settings.platform_address);
    spdlog::info!("starting", kv: {
        node = settings.node.as_str(),
        data_centre = settings.data_centre.as_str(),
        version = env!("CARGO_PKG_VERSION"),
    });
    let exposition = Exposition::open();
    install_metrics(Metrics::open(exposition.clone(), &[]));
    let node = Node::spawn(NodeParts {
        exposition,
        fleet: Arc::new(PlatformFleet::open(client.clone())),
        objects: Arc::new(PlatformObjects::open(client)),
        dialect: Arc::new(PlatformDialect::open()),
        control: Arc::new(PlatformControl::open()),
        clock: Arc::new(BootClock),
        policy,
        settings,
    })
    .await
    .context("failed to bind an address")?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => check_settings(),
        }
    }
    let drained = node.shutdown().await;
    spdlog::info!("ended", kv: { whole = drained });
    Ok(if drained { Exit::Success } else { Exit::Failed })
}

/// Validates the current settings file and logs the result. Addresses and limits are fixed while
/// the process runs, so a change takes effect at its next start.
fn check_settings() {
    match read_node_settings() {
        Ok(_) => spdlog::info!("settings file is valid; changes take effect at the next start"),
        Err(error) => {
            spdlog::warn!("invalid settings file; the previous settings stay in effect", kv: { error: })
        }
    }
}
