//! An entry process with its HTTP server, connected to in-memory stand-ins for the targets and the
//! platform.

use crate::{ApiServer, Entry, EntryParts};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};
use skylarkpick_config::{CONFIGURATION_KEY, Settings, hash_token};
use skylarkpick_http::HttpClient;
use skylarkpick_interface::{BootClock, NoPeers, ObjectStore};
use skylarkpick_standin::{
    FakeRunner, FakeService, MemoryConnector, MemoryPlatform, PlatformRates, RunnerSettings,
    WeightStore,
};
use std::{sync::Arc, time::Duration};

/// Maximum wait for any event in these tests.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(20);

pub(super) struct Harness {
    pub(super) entry: Entry,
    pub(super) server: ApiServer,
    pub(super) runner: FakeRunner,
    pub(super) service: Arc<FakeService>,
    pub(super) client: HttpClient,
}

fn configuration() -> Value {
    json!({
        "accounts": {
            "cubesat": {"token_hashes": [hash_token("cubesat-token")]},
            "ground": {"role": "operator", "token_hashes": [hash_token("ground-token")]},
        },
        "models": {"tala-llm": {"weight_version": 1, "serving": "quick"}},
        "serving": {"quick": {"saving": false}},
        "services": {"book-api": {"not_repeatable": ["POST /bookings"]}},
        "data_centres": {"mnl-a": {
            "runners": {"runner-1": {"address": "10.0.0.1:80", "model": "tala-llm"}},
            "services": {
                "book-1": {"address": "10.0.0.2:80", "service": "book-api"},
                "book-2": {"address": "10.0.0.3:80", "service": "book-api"},
            },
        }},
    })
}

impl Harness {
    pub(super) async fn spawn() -> Harness {
        let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
        let record = json!({"version": 1, "history": [], "configuration": configuration()});
        let value = serde_json::to_vec(&record).unwrap();
        platform.put(CONFIGURATION_KEY, None, value).await.unwrap();
        let connector = MemoryConnector::open();
        let settings = RunnerSettings { model: "tala-llm".to_string(), ..Default::default() };
        let weight_store = WeightStore::open(Duration::ZERO, 1);
        let runner = FakeRunner::open(settings, connector.clone(), weight_store);
        connector.put_runner("10.0.0.1:80", Arc::new(runner.clone()));
        let service = FakeService::open();
        connector.put_service("10.0.0.2:80", service.clone());
        connector.put_service("10.0.0.3:80", service.clone());
        let mut settings = Settings {
            entry_id: "entry-1".to_string(),
            data_centre: "mnl-a".to_string(),
            http_address: "127.0.0.1:0".to_string(),
            ..Settings::default()
        };
        settings.limits.body_size_bytes = 65_536;
        settings.limits.headers_size_bytes = 16_384;
        settings.limits.request_read_timeout_ms = 300;
        settings.limits.drain_notice_ms = 0;
        let entry = Entry::spawn(EntryParts {
            settings,
            platform,
            connector,
            peers: NoPeers::open(),
            clock: Arc::new(BootClock),
            resume_key: None,
            seed: 1,
        });
        wait_ready(&entry).await;
        let server = ApiServer::bind(entry.clone()).await.unwrap();
        Harness { entry, server, runner, service, client: HttpClient::open() }
    }

    pub(super) fn request(
        &self,
        method: &str,
        path: &str,
        token: &str,
        body: &str,
    ) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.server.address()))
            .header("authorization", format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap()
    }

    pub(super) async fn send(
        &self,
        method: &str,
        path: &str,
        token: &str,
        body: &str,
    ) -> (Response<Bytes>, Value) {
        let request = self.request(method, path, token, body);
        let response = self.client.send_buffered(request, MAX_WAIT).await.unwrap();
        let value = serde_json::from_slice(response.body()).unwrap_or_default();
        (response, value)
    }
}

async fn wait_ready(entry: &Entry) {
    let ready = async {
        loop {
            let runners = entry.state().await.runners;
            if entry.is_ready() && runners.iter().any(|runner| runner.weight_version.is_some()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, ready).await.unwrap();
}
