//! Exports and imports without an entry process.

use super::{
    export::ExportJob,
    import::{ImportActor, ImportJob, StartOrJoin},
};
use crate::router_actor::RouterActor;
use kameo::actor::Spawn;
use skylarkpick_interface::{Priority, RunRequest, Runner, SavedPrefix, Store, StoreTier};
use skylarkpick_schedule::ImportPlan;
use skylarkpick_standin::{
    FakeRunner, FakeStore, MemoryConnector, RunnerSettings, StoreSettings, WeightStore,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::sleep};

const KEYS: [u128; 4] = [1, 2, 3, 4];
const TOKENS: u64 = 1_024;
const SIZE_BYTES: u64 = 1_024_000;

fn run_request() -> RunRequest {
    RunRequest {
        run_id: "r.1".to_string(),
        request_id: "r".to_string(),
        attempt_id: 1,
        account: "cubesat".to_string(),
        model: "model".to_string(),
        adapter: None,
        expected_weight_version: 1,
        prompt: "prompt".to_string(),
        prefix_keys: KEYS.to_vec(),
        prompt_tokens: TOKENS,
        answer_tokens_limit: 1,
        delivered: Vec::new(),
        priority: Priority::Normal,
    }
}

/// The router may plan the same import for several requests; its bytes must be transferred once.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_share_one_import() {
    let connector = MemoryConnector::open();
    let store = FakeStore::open(StoreSettings {
        link_bytes_per_second: SIZE_BYTES as f64,
        ..StoreSettings::default()
    });
    connector.put_store("store", store.clone());
    let settings = RunnerSettings { context_bytes_per_token: 1_000, ..RunnerSettings::default() };
    let weights = WeightStore::open(Duration::from_millis(1), 1);
    let runner = FakeRunner::open(settings, connector.clone(), weights);
    let _frames = runner.start(run_request()).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let prefix = SavedPrefix {
        prefix_key: 4,
        prefix_keys: KEYS.to_vec(),
        account: "cubesat".to_string(),
        weight_version: 1,
        tokens: TOKENS,
        size_bytes: SIZE_BYTES,
        tier: StoreTier::Memory,
    };
    let export = ExportJob {
        runner: Arc::new(runner.clone()),
        store: store.clone(),
        store_name: "store".to_string(),
        store_address: "store".to_string(),
        prefix,
    };
    let manifest = export.run().await.unwrap();
    assert_eq!(store.link_carried_bytes(), SIZE_BYTES);
    let router = RouterActor::spawn(RouterActor::open("mnl-a", 1));
    let imports = ImportActor::spawn(ImportActor { router, waiters: BTreeMap::new() });
    let job = ImportJob {
        runner_name: "runner".to_string(),
        runner: Arc::new(runner),
        store: store.clone(),
        plan: ImportPlan {
            store: "store".to_string(),
            address: "store".to_string(),
            tier: StoreTier::Memory,
            tokens: TOKENS,
            prefix_key: 4,
            generation: manifest.generation,
            size_bytes: SIZE_BYTES,
            joined: false,
        },
        account: "cubesat".to_string(),
        weight_version: 1,
        keys: KEYS.to_vec(),
    };
    let mut confirmations = Vec::new();
    for _ in 0..3 {
        let (done, confirmed) = oneshot::channel();
        imports.tell(StartOrJoin { job: job.clone(), done }).await.unwrap();
        confirmations.push(confirmed);
    }
    for confirmed in confirmations {
        assert_eq!(confirmed.await, Ok(true));
    }
    assert_eq!(store.link_carried_bytes(), 2 * SIZE_BYTES);
    // The import has released its pin, so the store frees the copy at once.
    store.retire(4, manifest.generation).await.unwrap();
    assert!(store.manifests(None, 10).await.unwrap().is_empty());
}
