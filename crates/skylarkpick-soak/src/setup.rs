//! What the fleet of a run is set up with: routes, limits, API keys and processes.

use crate::{
    checks::{CONFIGURATION_LIMIT, DRAIN_LIMIT, GRACE_PERIOD, ROUTE_TIMEOUT},
    history::{CallKind, ConfiguredKey},
    process::{NodeProcess, ProcessSettings},
    run::SoakSettings,
};
use anyhow::Context;
use skylarkpick_platform_standin::{FleetLimits, NodeLocation, RouteSpec, node_settings};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};
use tokio::time::Instant;

/// Time limit for new weights in the settings. The soak does not change weights.
const WEIGHTS_LIMIT: Duration = Duration::from_secs(12);

pub(crate) fn start_process(
    settings: &SoakSettings,
    index: usize,
    platform: SocketAddr,
    has_peer_links: bool,
) -> anyhow::Result<NodeProcess> {
    let number = u8::try_from(index + 1).context("at most 255 processes")?;
    let name = format!("entry-{number}");
    let location = NodeLocation {
        name: name.clone(),
        data_centre: "mnl-a".to_string(),
        address: IpAddr::V4(Ipv4Addr::new(127, settings.loopback_network, 1, number)),
        platform,
        has_peer_links,
    };
    let file = |ending: &str| -> PathBuf { settings.folder.join(format!("{name}.{ending}")) };
    let path = file("conf");
    std::fs::write(&path, node_settings(&location, &limits()))
        .with_context(|| format!("{} cannot be written", path.display()))?;
    NodeProcess::spawn(ProcessSettings {
        index,
        program: settings.program.clone(),
        location,
        settings_file: path,
        log_file: file("log"),
    })
}

fn limits() -> FleetLimits {
    FleetLimits {
        drain: DRAIN_LIMIT,
        grace: GRACE_PERIOD,
        configuration: CONFIGURATION_LIMIT,
        weights: WEIGHTS_LIMIT,
    }
}

/// Returns the routes of all kinds of calls, and of idempotent requests these.
pub(crate) fn routes(added: impl Iterator<Item = &'static str>) -> Vec<RouteSpec> {
    let route = |name: &'static str, kind: CallKind| RouteSpec {
        name,
        kind: match kind {
            CallKind::Read => "idempotent",
            CallKind::Write => "non_idempotent",
            CallKind::Events | CallKind::Unresumable => "streaming",
        },
        attempts: kind.attempts(),
        is_resumable: kind == CallKind::Events,
        timeout: ROUTE_TIMEOUT,
        target_latency: RouteSpec::TARGET_LATENCY,
    };
    let constant = CallKind::ALL.into_iter().map(|kind| route(kind.route(), kind));
    constant.chain(added.map(|name| route(name, CallKind::Read))).collect()
}

pub(crate) fn key_from_now(key: &str) -> ConfiguredKey {
    ConfiguredKey { key: key.to_string(), from: Instant::now(), until: None }
}
