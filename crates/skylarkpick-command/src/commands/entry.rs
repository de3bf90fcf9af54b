//! `skylarkpick entry`.

use super::check::{diagnostic_lines, read_document};
use crate::{
    command::{Command, Example, Exit, Signature, UsageError},
    console::Console,
};
use anyhow::Context;
use getopts::Matches;
use skylarkpick_config::{LogLevel, Secret, SecretSource, Settings, parse_settings};
use skylarkpick_entry::{ApiServer, Entry, EntryParts, ResumeKey};
use skylarkpick_http::{HttpConnector, HttpPlatform};
use skylarkpick_interface::{BootClock, NoPeers, PeerNetwork};
use skylarkpick_telemetry::{Level, LevelFilter, Metrics, install_metrics, open_logs};
use skylarkpick_transport::{
    Authority, CertificateTiming, PeerIdentity, QuicPeers, TransportLimits,
};
use std::{sync::Arc, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry process.
pub(crate) struct EntryCommand;

impl Command for EntryCommand {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn summary(&self) -> &'static str {
        "Run an entry process"
    }

    fn signature(&self) -> Signature {
        Signature {
            usage: "SETTINGS-FILE".to_string(),
            min_arguments: 1,
            max_arguments: 1,
            ..Signature::empty()
        }
    }

    fn description(&self) -> &'static str {
        "Runs an entry process until SIGTERM or SIGINT, then finishes every response in flight and \
         exits. The settings file is JSON with comments."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example {
                description: "A missing settings file is a usage error",
                arguments: &["no-such-file.jsonc"],
                exit: Exit::UsageError,
                expected_output: "",
            },
            Example {
                description: "Conflicting settings are a usage error",
                arguments: &["crates/skylarkpick-config/tests/wrong/contradiction.jsonc"],
                exit: Exit::UsageError,
                expected_output: "",
            },
        ]
    }

    fn run(&self, matches: &Matches, _: &mut Console) -> anyhow::Result<Exit> {
        let settings = read_settings(&matches.free[0])?;
        let runtime =
            tokio::runtime::Runtime::new().context("failed to start the async runtime")?;
        runtime.block_on(serve(settings))
    }
}

fn read_settings(path: &str) -> anyhow::Result<Settings> {
    let text = read_document(path)?;
    let settings = parse_settings(&text)
        .map_err(|diagnostics| UsageError(diagnostic_lines(path, &diagnostics)))?;
    Ok(settings)
}

fn open_telemetry(settings: &Settings) -> anyhow::Result<()> {
    open_logs(match settings.log_level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
    })?;
    if !settings.metrics_address.is_empty() {
        let address = settings.metrics_address.parse().context("the metrics address is invalid")?;
        let tags =
            [("entry", settings.entry_id.as_str()), ("data_centre", settings.data_centre.as_str())];
        install_metrics(Metrics::open_udp(address, &tags)?);
    }
    Ok(())
}

/// Binds the peer network. Without a `peer_address`, the process runs without peers.
fn open_peers(settings: &Settings) -> anyhow::Result<Arc<dyn PeerNetwork>> {
    if settings.peer_address.is_empty() {
        return Ok(NoPeers::open());
    }
    let certificate =
        read_secret("authority_certificate", settings.authority_certificate.as_ref())?;
    let key = read_secret("authority_key", settings.authority_key.as_ref())?;
    let authority = Authority::open(certificate.expose(), key.expose())
        .map_err(|error| UsageError(format!("authority_certificate, authority_key: {error}")))?;
    let identity = PeerIdentity {
        entry_id: settings.entry_id.clone(),
        data_centre: settings.data_centre.clone(),
    };
    let limits = TransportLimits::open(settings.limits.frame_size_bytes);
    let timing = CertificateTiming::default();
    let peers = QuicPeers::bind(&settings.peer_address, authority, identity, timing, limits)
        .context("failed to open the peer network")?;
    Ok(peers)
}

fn read_secret(field: &str, source: Option<&SecretSource>) -> anyhow::Result<Secret> {
    let source = source.ok_or_else(|| UsageError(format!("{field} is missing")))?;
    Ok(source.read().map_err(|error| UsageError(format!("{field}: {error}")))?)
}

async fn serve(mut settings: Settings) -> anyhow::Result<Exit> {
    if settings.entry_id.is_empty() {
        settings.entry_id = format!("entry-{:016x}", rand::random::<u64>());
    }
    open_telemetry(&settings)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let resume_key = match &settings.resume_key {
        Some(source) => source.read().map_err(|error| UsageError(error.to_string()))?,
        None => Secret::open(rand::random::<[u8; 32]>()),
    };
    let platform_timeout = Duration::from_millis(settings.limits.platform_timeout_ms);
    let platform = HttpPlatform::open(&settings.platform_address, platform_timeout);
    let peers = open_peers(&settings)?;
    let entry = Entry::spawn(EntryParts {
        platform: Arc::new(platform),
        connector: Arc::new(HttpConnector::open()),
        peers,
        clock: Arc::new(BootClock),
        resume_key: Some(ResumeKey::from_secret(resume_key.expose())),
        seed: rand::random(),
        settings,
    });
    let api_server = ApiServer::bind(entry).await.context("failed to bind the HTTP address")?;
    spdlog::info!("listening", kv: { address = api_server.address().to_string().as_str() });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    spdlog::info!("draining");
    let drained = api_server.shutdown().await;
    spdlog::info!("ended", kv: { whole = drained });
    Ok(if drained { Exit::Success } else { Exit::Failed })
}
