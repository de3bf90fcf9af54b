//! Memory of an open response stream at an entry process, with in-memory stand-ins for the platform
//! and the runner.

use crate::{memory::resident_bytes, slope::Slopes};
use futures::StreamExt;
use skylarkpick_config::{CONFIGURATION_KEY, Settings};
use skylarkpick_entry::{CompletionEvent, CompletionRequest, CompletionStream, Entry, EntryParts};
use skylarkpick_interface::{NoPeers, ObjectStore, Priority, TokioClock};
use skylarkpick_standin::{
    FakeRunner, MemoryConnector, MemoryPlatform, PlatformRates, RunnerSettings, WeightStore,
};
use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

/// Open streams over which memory is averaged.
const HELD_STREAMS: usize = 2_000;
/// Size of each prompt.
const PROMPT_SIZE_BYTES: usize = 8_192;

pub(super) fn measure(slopes: &mut Slopes) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    let bytes = runtime.block_on(bytes_per_stream());
    // Leaked, so that later measurements do not reuse the memory; see `mean_bytes`.
    std::mem::forget(runtime);
    let method = "2,000 open streams of 8 KB prompts, the stand-in runner's share included";
    slopes.record("stream memory", bytes, "bytes", method);
}

async fn bytes_per_stream() -> f64 {
    let entry = open_entry().await;
    let mut held = Vec::new();
    let before = resident_bytes();
    for index in 0..HELD_STREAMS {
        held.extend(open_stream(&entry, index).await);
    }
    let grown = resident_bytes() - before;
    if held.len() < HELD_STREAMS {
        return f64::INFINITY;
    }
    std::mem::forget(held);
    grown.max(0.0) / HELD_STREAMS as f64
}

async fn open_stream(entry: &Entry, index: usize) -> Option<CompletionStream> {
    let request = CompletionRequest {
        request_id: format!("request-{index}"),
        account: "cubesat".to_string(),
        model: "model".to_string(),
        adapter: None,
        prompt: format!("{index} {}", "x".repeat(PROMPT_SIZE_BYTES)),
        answer_tokens_limit: 1_000_000,
        priority: Priority::Normal,
        deadline: None,
        resumable: false,
    };
    let mut events = entry.complete(request).ok()?;
    matches!(events.next().await?, CompletionEvent::Started { .. }).then_some(events)
}

async fn open_entry() -> Entry {
    let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    let record = serde_json::json!({"version": 1, "history": [], "configuration": {
        "accounts": {"cubesat": {
            "requests_limit": 1_000_000, "tokens_per_second_limit": 1e15,
        }},
        "models": {"model": {"weight_version": 1, "serving": "ordinary"}},
        "serving": {"ordinary": {"deadline_ms": 600_000}},
        "data_centres": {"dc": {"runners": {"runner": {"address": "10.0.0.1:1", "model": "model"}}}},
    }});
    // Without injected faults, the stand-in platform accepts the first write.
    let _ = platform.put(CONFIGURATION_KEY, None, record.to_string().into_bytes()).await;
    let connector = MemoryConnector::open();
    let settings = RunnerSettings {
        slots: 1_000_000,
        prefill_tokens_per_second: 1e12,
        token_interval: Duration::from_secs(600),
        ..RunnerSettings::default()
    };
    let weight_store = WeightStore::open(Duration::from_secs(1), 2);
    let runner = FakeRunner::open(settings, connector.clone(), weight_store);
    connector.put_runner("10.0.0.1:1", Arc::new(runner));
    let entry = Entry::spawn(EntryParts {
        settings: Settings {
            entry_id: "entry".to_string(),
            data_centre: "dc".to_string(),
            ..Settings::default()
        },
        platform,
        connector,
        peers: NoPeers::open(),
        clock: Arc::new(TokioClock::start(SystemTime::now())),
        seed: 1,
        resume_key: None,
    });
    while !entry.state().await.runners.iter().any(|runner| runner.weight_version.is_some()) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    entry
}
