//! One entry process in front of one runner stand-in, on loopback.

use anyhow::Context;
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, Settings, hash_token};
use skylarkpick_entry::{ApiServer, Entry, EntryParts};
use skylarkpick_http::{HttpConnector, HttpPlatform, Server};
use skylarkpick_interface::{BootClock, NoPeers, ObjectStore};
use skylarkpick_standin::{
    FakeRunner, MemoryPlatform, PlatformRates, RunnerSettings, WeightStore, serve_platform,
    serve_runner,
};
use std::{sync::Arc, time::Duration};

/// Loopback address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";
/// Maximum wait for the entry process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the readiness of the entry process is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Concurrent runs that the runner accepts; more than the load ever has in flight.
const SLOTS: u32 = 4_096;

/// Client account that sends the load.
pub(super) const ACCOUNT: &str = "bench";
/// Token of the account.
pub(super) const TOKEN: &str = "bench-token";
/// Model that the load requests.
pub(super) const MODEL: &str = "bench-model";

/// The entry process and the stand-ins behind it.
pub(super) struct Fleet {
    pub(super) api_server: ApiServer,
    pub(super) runner_address: String,
    _servers: Vec<Server>,
}

impl Fleet {
    /// Starts all servers and waits until the entry process is ready and has the runner's status.
    pub(super) async fn spawn() -> anyhow::Result<Fleet> {
        let runner_server = serve_runner(ANY_PORT, Arc::new(open_runner())).await?;
        let runner_address = runner_server.address().to_string();
        let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
        let record =
            json!({"version": 1, "history": [], "configuration": configuration(&runner_address)});
        platform
            .put(CONFIGURATION_KEY, None, serde_json::to_vec(&record)?)
            .await
            .context("failed to write the configuration")?;
        let platform_server = serve_platform(ANY_PORT, platform).await?;
        let entry = spawn_entry(&platform_server.address().to_string());
        wait_ready(&entry).await?;
        let api_server = ApiServer::bind(entry).await?;
        Ok(Fleet { api_server, runner_address, _servers: vec![runner_server, platform_server] })
    }
}

fn open_runner() -> FakeRunner {
    let settings = RunnerSettings {
        model: MODEL.to_string(),
        slots: SLOTS,
        prefill_tokens_per_second: 1e12,
        token_interval: Duration::from_millis(1),
        ..RunnerSettings::default()
    };
    let weight_store = WeightStore::open(Duration::from_secs(1), 1);
    FakeRunner::open(settings, Arc::new(HttpConnector::open()), weight_store)
}

fn configuration(runner_address: &str) -> serde_json::Value {
    json!({
        "accounts": {ACCOUNT: {"token_hashes": [hash_token(TOKEN)]}},
        "models": {MODEL: {"weight_version": 1, "serving": "bench"}},
        "serving": {"bench": {"saving": false}},
        "data_centres": {"bench-a": {"runners": {
            "bench-runner": {"address": runner_address, "model": MODEL},
        }}},
    })
}

fn spawn_entry(platform_address: &str) -> Entry {
    let settings = Settings {
        entry_id: "bench-entry".to_string(),
        data_centre: "bench-a".to_string(),
        http_address: ANY_PORT.to_string(),
        platform_address: platform_address.to_string(),
        ..Settings::default()
    };
    Entry::spawn(EntryParts {
        settings,
        platform: Arc::new(HttpPlatform::open(platform_address, Duration::from_secs(2))),
        connector: Arc::new(HttpConnector::open()),
        peers: NoPeers::open(),
        clock: Arc::new(BootClock),
        resume_key: None,
        seed: 1,
    })
}

async fn wait_ready(entry: &Entry) -> anyhow::Result<()> {
    let ready = async {
        loop {
            let runners = entry.state().await.runners;
            let has_runner_status = runners.iter().any(|runner| runner.weight_version.is_some());
            if entry.is_ready() && has_runner_status {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready)
        .await
        .context("the entry process did not become ready")
}
