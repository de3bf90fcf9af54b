//! Embeds an entry process in another program and sends it a completion request. The platform and
//! the runner are in-memory stand-ins; a real program implements their interfaces instead.

use anyhow::Context;
use futures::StreamExt;
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, Settings};
use skylarkpick_entry::{CompletionEvent, CompletionRequest, Entry, EntryParts};
use skylarkpick_interface::{BootClock, NoPeers, ObjectStore, Priority};
use skylarkpick_standin::{
    FakeRunner, MemoryConnector, MemoryPlatform, PlatformRates, RunnerSettings, WeightStore,
};
use std::{sync::Arc, time::Duration};

/// Address under which the connector finds the runner.
const RUNNER_ADDRESS: &str = "10.0.0.1:80";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let entry = spawn_entry().await?;
    while !is_serving(&entry).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut events = entry.complete(CompletionRequest {
        request_id: "request-1".to_string(),
        account: "cubesat".to_string(),
        model: "tala-llm".to_string(),
        adapter: None,
        prompt: "Summarise the passes.".to_string(),
        answer_tokens_limit: 5,
        priority: Priority::Normal,
        deadline: None,
        resumable: false,
    })?;
    while let Some(event) = events.next().await {
        match event {
            CompletionEvent::Token { text, .. } => print!("{text}"),
            CompletionEvent::Finished { reason, .. } => println!("\nended: {reason:?}"),
            CompletionEvent::Failed(failure) => return Err(failure.into()),
            _ => {}
        }
    }
    Ok(())
}

async fn spawn_entry() -> anyhow::Result<Entry> {
    let connector = MemoryConnector::open();
    let settings = RunnerSettings { model: "tala-llm".to_string(), ..RunnerSettings::default() };
    let weight_store = WeightStore::open(Duration::ZERO, 1);
    let runner = FakeRunner::open(settings, connector.clone(), weight_store);
    connector.put_runner(RUNNER_ADDRESS, Arc::new(runner));
    let settings = Settings {
        entry_id: "entry-1".to_string(),
        data_centre: "mnl-a".to_string(),
        ..Settings::default()
    };
    Ok(Entry::spawn(EntryParts {
        settings,
        platform: open_platform().await?,
        connector,
        peers: NoPeers::open(),
        clock: Arc::new(BootClock),
        resume_key: None,
        seed: 1,
    }))
}

/// Opens a platform that contains an initial configuration.
async fn open_platform() -> anyhow::Result<Arc<dyn ObjectStore>> {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let runners = json!({"runner-1": {"address": RUNNER_ADDRESS, "model": "tala-llm"}});
    let configuration = json!({
        "accounts": {"cubesat": {}},
        "models": {"tala-llm": {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {}},
        "data_centres": {"mnl-a": {"runners": runners}},
    });
    let record = json!({"version": 1, "history": [], "configuration": configuration});
    let value = serde_json::to_vec(&record)?;
    platform
        .put(CONFIGURATION_KEY, None, value)
        .await
        .context("failed to write the configuration")?;
    Ok(platform)
}

/// Returns whether the entry process is ready and has the status of a runner.
async fn is_serving(entry: &Entry) -> bool {
    let runners = entry.state().await.runners;
    entry.is_ready() && runners.iter().any(|runner| runner.weight_version.is_some())
}
