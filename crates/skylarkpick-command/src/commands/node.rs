//! `skylarkpick node`.

use crate::{
    command::{Command, Example, Exit, Signature, WrongUse},
    console::Console,
};
use anyhow::Context;
use getopts::Matches;
use skylarkpick_forward::{Node, NodeParts};
use skylarkpick_interface::{BootClock, NodeSettings};
use skylarkpick_platform::{
    ObjectClient, PlatformControl, PlatformDialect, PlatformFleet, PlatformObjects,
    read_node_settings,
};
use skylarkpick_telemetry::{
    Exposition, Level, LevelFilter, Metrics, install_metrics, open_stdout_logs,
};
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Runs the process of a VM of the platform.
pub(crate) struct NodeCommand;

impl Command for NodeCommand {
    fn name(&self) -> &'static str {
        "node"
    }

    fn summary(&self) -> &'static str {
        "Run the process of a VM of the platform"
    }

    fn signature(&self) -> Signature {
        Signature::plain()
    }

    fn description(&self) -> &'static str {
        "Runs until SIGTERM, then finishes every answer under way and exits. SIGHUP reads the \
         settings again. The settings file is the one that the platform wrote, named by the \
         environment variable SKYLARKPICK_CONFIG."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example {
            description: "Without a settings file there is nothing to run",
            arguments: &[],
            exit: Exit::WrongUse,
            shows: "",
        }]
    }

    fn run(&self, _: &Matches, _: &mut Console) -> anyhow::Result<Exit> {
        let settings = read_node_settings().map_err(|error| WrongUse(error.to_string()))?;
        open_stdout_logs(LevelFilter::MoreSevereEqual(Level::Info))?;
        // A VM has a part of one core; one thread spares the switches.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("no runtime could be started")?;
        runtime.block_on(serve(settings))
    }
}

async fn serve(settings: NodeSettings) -> anyhow::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
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
        settings,
    })
    .await
    .context("an address cannot be taken")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => note_reload(),
        }
    }
    let whole = node.shutdown().await;
    spdlog::info!("ended", kv: { whole });
    Ok(if whole { Exit::Success } else { Exit::Failed })
}

/// Checks the settings that are in the file now. Addresses and bounds hold for the life of a
/// process, so that a change takes effect with its next start.
fn note_reload() {
    match read_node_settings() {
        Ok(_) => spdlog::info!("settings read again"),
        Err(error) => spdlog::warn!("the settings are wrong; the former ones hold", kv: { error: }),
    }
}
