//! An in-memory fleet of stand-in runners and stores, on tokio's clock.
#![allow(clippy::expect_used, clippy::unwrap_used, dead_code)]

use serde_json::json;
use skylarkpick_config::{Limits, Settings};
use skylarkpick_entry::{Entry, EntryParts, ResumeKey};
use skylarkpick_interface::{
    NoPeers, ObjectStore, PeerNetwork, Priority, Runner, Store, TokioClock,
};
use skylarkpick_standin::{
    FakeRunner, FakeStore, MemoryConnector, MemoryPlatform, PlatformRates, RunnerSettings,
    StoreSettings, WeightStore,
};
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

/// Peer addresses of the entry processes that a test may connect to each other.
pub const SEED_PEERS: [&str; 2] = ["peer-1", "peer-2"];
pub const MODEL: &str = "model";
pub const ACCOUNT: &str = "cubesat";
pub const OTHER_ACCOUNT: &str = "relay";

/// Stand-in runners and stores, and a platform with the configuration that lists them.
pub struct Fleet {
    pub platform: Arc<MemoryPlatform>,
    pub connector: Arc<MemoryConnector>,
    pub runners: Vec<FakeRunner>,
    pub stores: Vec<Arc<FakeStore>>,
    pub document: serde_json::Value,
}

impl Fleet {
    pub async fn open(runner: RunnerSettings, runners: usize, stores: &[StoreSettings]) -> Fleet {
        Fleet::open_with(runner, runners, stores, |_| {}).await
    }

    /// Opens a fleet whose configuration was modified by `change`.
    pub async fn open_with(
        runner: RunnerSettings,
        runners: usize,
        stores: &[StoreSettings],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Fleet {
        let connector = MemoryConnector::open();
        let platform = MemoryPlatform::open(Duration::from_secs(5), PlatformRates::default());
        let weight_store = WeightStore::open(Duration::from_millis(600), 2);
        let mut document = json!({
            "accounts": {ACCOUNT: {}, OTHER_ACCOUNT: {}},
            "models": {MODEL: {
                "weight_version": 1, "also_served_weight_versions": [2], "serving": "ordinary",
                "context_bytes_per_token": runner.context_bytes_per_token,
            }},
            "serving": {"ordinary": {"deadline_ms": 20_000}},
            "data_centres": {"mnl-a": {"region": "mnl", "runners": {}, "stores": {}}},
        });
        let mut fleet = Fleet {
            platform,
            connector: connector.clone(),
            runners: Vec::new(),
            stores: Vec::new(),
            document: json!(null),
        };
        for index in 0..runners {
            let fake = FakeRunner::open(runner.clone(), connector.clone(), weight_store.clone());
            let name = format!("runner-{index}");
            let address = runner_address(index);
            connector.put_runner(&address, Arc::new(fake.clone()));
            document["data_centres"]["mnl-a"]["runners"][&name] =
                json!({"address": address, "model": MODEL});
            fleet.runners.push(fake);
        }
        for (index, settings) in stores.iter().enumerate() {
            let store = FakeStore::open(*settings);
            let name = format!("store-{index}");
            let address = store_address(index);
            connector.put_store(&address, store.clone());
            let link_bytes_per_second = settings.link_bytes_per_second;
            document["data_centres"]["mnl-a"]["stores"][&name] =
                json!({"address": address, "link_bytes_per_second": link_bytes_per_second});
            fleet.stores.push(store);
        }
        change(&mut document);
        let record = json!({"version": 1, "history": [], "configuration": document});
        let value = serde_json::to_vec(&record).unwrap();
        fleet.platform.put("config/current", None, value).await.unwrap();
        fleet.document = document;
        fleet
    }

    /// Replaces the handle through which entry processes reach a runner.
    pub fn wrap_runner(&self, index: usize, runner: Arc<dyn Runner>) {
        self.connector.put_runner(&runner_address(index), runner);
    }

    /// Replaces the handle through which entry processes and runners reach a store.
    pub fn wrap_store(&self, index: usize, store: Arc<dyn Store>) {
        self.connector.put_store(&store_address(index), store);
    }

    pub async fn entry(&self, seed: u64, key: Option<&[u8]>) -> Entry {
        self.entry_with(seed, key, NoPeers::open(), "mnl-a").await
    }

    /// Starts an entry process and waits until it has the status of every runner.
    pub async fn entry_with(
        &self,
        seed: u64,
        key: Option<&[u8]>,
        peers: Arc<dyn PeerNetwork>,
        data_centre: &str,
    ) -> Entry {
        let entry = Entry::spawn(EntryParts {
            settings: Settings {
                entry_id: format!("entry-{seed}"),
                data_centre: data_centre.to_string(),
                peer_address: peers.address(),
                seed_peers: SEED_PEERS.iter().map(|seed| seed.to_string()).collect(),
                limits: Limits { resume_window_ms: 5_000, ..Limits::default() },
                ..Settings::default()
            },
            platform: self.platform.clone(),
            connector: self.connector.clone(),
            peers,
            clock: Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH)),
            resume_key: key.map(ResumeKey::from_secret),
            seed,
        });
        for _ in 0..1_000 {
            let runners = entry.state().await.runners;
            let known = runners.iter().all(|runner| runner.weight_version.is_some());
            if known && runners.len() == self.runners.len() {
                return entry;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the entry process has no status of some runners: {:?}", entry.state().await);
    }
}

fn runner_address(index: usize) -> String {
    format!("127.0.1.{index}:1")
}

fn store_address(index: usize) -> String {
    format!("127.0.2.{index}:1")
}

pub fn runner_settings() -> RunnerSettings {
    RunnerSettings {
        token_interval: Duration::from_millis(10),
        event_lag: Duration::from_millis(50),
        load_lag: Duration::from_millis(50),
        ..RunnerSettings::default()
    }
}

pub fn request(id: &str, prompt: &str, answer_tokens: u64) -> skylarkpick_entry::CompletionRequest {
    skylarkpick_entry::CompletionRequest {
        request_id: id.to_string(),
        account: ACCOUNT.to_string(),
        model: MODEL.to_string(),
        adapter: None,
        prompt: prompt.to_string(),
        answer_tokens_limit: answer_tokens,
        priority: Priority::Normal,
        deadline: None,
        resumable: false,
    }
}
