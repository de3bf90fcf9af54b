//! The stand-ins and entry processes of the demo, all on loopback.

use anyhow::Context;
use serde_json::json;
use skylarkpick_config::{Limits, Settings, hash_token};
use skylarkpick_entry::{ApiServer, Entry, EntryParts, ResumeKey};
use skylarkpick_http::{HttpConnector, HttpPlatform, Server};
use skylarkpick_interface::{BootClock, ObjectStore, PeerNetwork, Runner};
use skylarkpick_standin::{
    FakeRunner, FakeService, FakeStore, MemoryPlatform, PlatformRates, RunnerSettings,
    StoreSettings, WeightStore, serve_platform, serve_runner, serve_service, serve_store,
};
use skylarkpick_transport::{
    Authority, CertificateTiming, PeerIdentity, QuicPeers, TransportLimits,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Loopback address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";
/// Delay before a change appears in the platform's list of VMs.
const LIST_LAG: Duration = Duration::from_secs(5);
/// Time that a runner takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(600);
/// Maximum time for a response of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Secret with which the entry processes sign resume tokens.
const RESUME_SECRET: &[u8] = b"the demo runs on loopback and ends by itself";

/// Data centres of the demo.
pub(super) const DATA_CENTRES: [&str; 2] = ["mnl-a", "mnl-b"];
/// Runners in each data centre.
const RUNNERS_PER_DATA_CENTRE: usize = 3;
/// Entry processes in each data centre.
const ENTRIES_PER_DATA_CENTRE: usize = 2;
/// Model that the callers request.
pub(super) const MODEL: &str = "tala-llm";
/// Client accounts of the callers.
pub(super) const ACCOUNTS: [&str; 4] = ["cubesat", "imaging", "relay", "weather"];

/// The running stand-ins and entry processes.
pub(super) struct Fleet {
    pub(super) platform: Arc<MemoryPlatform>,
    pub(super) runners: BTreeMap<String, FakeRunner>,
    pub(super) stores: Vec<Arc<FakeStore>>,
    pub(super) service: Arc<FakeService>,
    pub(super) weight_store: Arc<WeightStore>,
    pub(super) entries: Vec<Entry>,
    /// API server of each entry process, in the order of `entries`.
    pub(super) api_servers: Vec<ApiServer>,
    _servers: Vec<Server>,
}

/// Returns the access token of an account.
pub(super) fn token(account: &str) -> String {
    format!("{account}-token")
}

/// The running stand-ins for targets, and the configuration that contains them.
struct Targets {
    servers: Vec<Server>,
    runners: BTreeMap<String, FakeRunner>,
    stores: Vec<Arc<FakeStore>>,
    service: Arc<FakeService>,
    weight_store: Arc<WeightStore>,
    configuration: serde_json::Value,
}

impl Fleet {
    /// Starts all servers and waits until every entry process is ready and has the status of every
    /// runner.
    pub(super) async fn spawn() -> anyhow::Result<Fleet> {
        let platform = MemoryPlatform::open(LIST_LAG, PlatformRates::default());
        let platform_server = serve_platform(ANY_PORT, platform.clone()).await?;
        let mut targets = spawn_targets().await?;
        let record = json!({"version": 1, "history": [], "configuration": targets.configuration});
        platform
            .put("config/current", None, serde_json::to_vec(&record)?)
            .await
            .context("failed to write the initial configuration")?;
        let platform_address = platform_server.address().to_string();
        targets.servers.push(platform_server);
        let (entries, api_servers) = spawn_entries(&platform_address).await?;
        let fleet = Fleet {
            platform,
            runners: targets.runners,
            stores: targets.stores,
            service: targets.service,
            weight_store: targets.weight_store,
            entries,
            api_servers,
            _servers: targets.servers,
        };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let ready = async {
            loop {
                let mut ready_entries = 0;
                for entry in &self.entries {
                    let state = entry.state().await;
                    let has_all_runners =
                        state.runners.iter().all(|runner| runner.weight_version.is_some());
                    ready_entries += usize::from(entry.is_ready() && has_all_runners);
                }
                if ready_entries == self.entries.len() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), ready)
            .await
            .context("the fleet did not become ready")
    }
}

async fn spawn_targets() -> anyhow::Result<Targets> {
    let weight_store = WeightStore::open(LOAD_TIME, 2);
    let service = FakeService::open();
    let mut servers = Vec::new();
    let mut runners = BTreeMap::new();
    let mut stores = Vec::new();
    let mut data_centres = json!({});
    for data_centre in DATA_CENTRES {
        let mut runner_targets = json!({});
        for index in 0..RUNNERS_PER_DATA_CENTRE {
            let runner = open_runner(weight_store.clone());
            let server = serve_runner(ANY_PORT, Arc::new(runner.clone())).await?;
            let name = format!("{data_centre}-runner-{index}");
            let address = server.address().to_string();
            runner_targets[&name] =
                json!({"address": address, "model": MODEL, "checks_fencing": true});
            runners.insert(name, runner);
            servers.push(server);
        }
        let store = FakeStore::open(StoreSettings::default());
        let store_server = serve_store(ANY_PORT, store.clone()).await?;
        let service_server = serve_service(ANY_PORT, service.clone()).await?;
        let store_address = store_server.address().to_string();
        let service_address = service_server.address().to_string();
        data_centres[data_centre] = json!({
            "region": "mnl",
            "runners": runner_targets,
            "stores": {format!("{data_centre}-store"): {
                "address": store_address, "link_bytes_per_second": 12.5e9,
            }},
            "services": {format!("{data_centre}-book"): {
                "address": service_address, "service": "book-api",
            }},
        });
        stores.push(store);
        servers.extend([store_server, service_server]);
    }
    let configuration = configuration(&data_centres);
    Ok(Targets { servers, runners, stores, service, weight_store, configuration })
}

fn open_runner(weight_store: Arc<WeightStore>) -> FakeRunner {
    let settings = RunnerSettings {
        model: MODEL.to_string(),
        cache_blocks: 96,
        token_interval: Duration::from_millis(5),
        load_lag: Duration::from_millis(200),
        ..RunnerSettings::default()
    };
    FakeRunner::open(settings, Arc::new(HttpConnector::open()), weight_store)
}

fn configuration(data_centres: &serde_json::Value) -> serde_json::Value {
    let mut accounts = json!({"operator": {
        "role": "operator", "token_hashes": [hash_token(&token("operator"))],
    }});
    for account in ACCOUNTS {
        accounts[account] = json!({"token_hashes": [hash_token(&token(account))]});
    }
    json!({
        "accounts": accounts,
        "models": {MODEL: {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {"deadline_ms": 20_000}},
        "services": {"book-api": {"not_repeatable": ["POST /bookings"]}},
        "data_centres": data_centres,
    })
}

async fn spawn_entries(platform_address: &str) -> anyhow::Result<(Vec<Entry>, Vec<ApiServer>)> {
    let (certificate, key) = Authority::generate_pem()?;
    let mut members = Vec::new();
    for data_centre in DATA_CENTRES {
        for index in 0..ENTRIES_PER_DATA_CENTRE {
            let authority = Authority::open(certificate.as_bytes(), key.as_bytes())?;
            members.push(bind_peers(
                data_centre,
                &format!("{data_centre}-entry-{index}"),
                authority,
            )?);
        }
    }
    let seed_peers: Vec<String> = members.iter().map(|(_, peers)| peers.address()).collect();
    let (mut entries, mut api_servers) = (Vec::new(), Vec::new());
    for (index, (identity, peers)) in members.into_iter().enumerate() {
        let settings = Settings {
            entry_id: identity.entry_id,
            data_centre: identity.data_centre,
            http_address: ANY_PORT.to_string(),
            platform_address: platform_address.to_string(),
            peer_address: peers.address(),
            seed_peers: seed_peers.clone(),
            limits: Limits { drain_notice_ms: 300, ..Limits::default() },
            ..Settings::default()
        };
        let entry = Entry::spawn(EntryParts {
            settings,
            platform: Arc::new(HttpPlatform::open(platform_address, PLATFORM_TIMEOUT)),
            connector: Arc::new(HttpConnector::open()),
            peers,
            clock: Arc::new(BootClock),
            resume_key: Some(ResumeKey::from_secret(RESUME_SECRET)),
            seed: index as u64,
        });
        api_servers.push(ApiServer::bind(entry.clone()).await?);
        entries.push(entry);
    }
    Ok((entries, api_servers))
}

/// Binds the peer network of an entry process, over QUIC on loopback.
fn bind_peers(
    data_centre: &str,
    entry_id: &str,
    authority: Authority,
) -> anyhow::Result<(PeerIdentity, Arc<dyn PeerNetwork>)> {
    let identity =
        PeerIdentity { entry_id: entry_id.to_string(), data_centre: data_centre.to_string() };
    let limits = TransportLimits::open(Limits::default().frame_size_bytes);
    let timing = CertificateTiming::default();
    let peers = QuicPeers::bind(ANY_PORT, authority, identity.clone(), timing, limits)?;
    Ok((identity, peers))
}

/// Returns whether a runner serves the given weight version now.
pub(super) async fn serves_weights(runner: &FakeRunner, weight_version: u64) -> bool {
    runner.status().await.is_ok_and(|status| status.weight_version == weight_version)
}
