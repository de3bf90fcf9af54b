//! Prints how long an accepted configuration takes to be in force on every process, in virtual
//! time, with the actors that run in production over memory networks.
//!
//! `cargo run --release -p skylarkpick-entry --example spread`

use anyhow::Context;
use async_trait::async_trait;
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, Patch, PatchOutcome, Settings};
use skylarkpick_entry::{Entry, EntryParts};
use skylarkpick_interface::{
    ListedObject, ListedVm, Object, ObjectStore, ObjectVersion, PlatformError, TokioClock,
    WriteError,
};
use skylarkpick_standin::{MemoryConnector, MemoryPeers, MemoryPlatform, PlatformRates};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::time::{Instant, sleep};

/// Time for the processes to meet.
const MEETING_TIME: Duration = Duration::from_secs(40);
/// Longest time that is waited for a version.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Patches for each shape.
const PATCHES: u64 = 5;

struct Shape {
    /// Processes in each data centre.
    counts: &'static [usize],
    /// Whether the last data centre is cut off from the platform.
    platform_cut: bool,
}

const SHAPES: [Shape; 5] = [
    Shape { counts: &[7], platform_cut: false },
    Shape { counts: &[3, 2, 2], platform_cut: false },
    Shape { counts: &[3, 2, 2], platform_cut: true },
    Shape { counts: &[72, 72, 72, 72, 72], platform_cut: false },
    Shape { counts: &[72, 72, 72, 72, 72], platform_cut: true },
];

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() -> anyhow::Result<()> {
    println!("processes | last centre without platform | accepted to in force everywhere, ms");
    for shape in SHAPES {
        measure(&shape).await?;
    }
    Ok(())
}

async fn measure(shape: &Shape) -> anyhow::Result<()> {
    let platform = MemoryPlatform::open(Duration::from_secs(5), PlatformRates::default());
    let record = json!({"version": 1, "history": [], "configuration": {
        "serving": {"ordinary": {}},
    }});
    let first = platform.put(CONFIGURATION_KEY, None, serde_json::to_vec(&record)?).await;
    first.context("the first configuration was not written")?;
    let cut = Arc::new(AtomicBool::new(false));
    let entries = spawn(shape, &platform, &cut);
    sleep(MEETING_TIME).await;
    cut.store(shape.platform_cut, Ordering::SeqCst);
    let mut took_ms = Vec::new();
    for version in 2..2 + PATCHES {
        sleep(Duration::from_millis(3_700)).await;
        let patch = Patch {
            patch_id: format!("patch-{version}"),
            base_version: version - 1,
            change: json!({"serving": {"ordinary": {"deadline_ms": 10_000 + version}}}),
        };
        let first = entries.first().context("no process")?;
        let started = Instant::now();
        let outcome = first.patch(&patch, "operator").await;
        anyhow::ensure!(outcome == PatchOutcome::Accepted(version), "{outcome:?}");
        while entries.iter().any(|entry| entry.active_configuration().version < version) {
            anyhow::ensure!(started.elapsed() < WAIT_LIMIT, "not in force in time");
            sleep(Duration::from_millis(10)).await;
        }
        took_ms.push(started.elapsed().as_millis());
    }
    let watches = platform.calls().open_watches;
    println!("{:?} | {} | {took_ms:?} | {watches} watches", shape.counts, shape.platform_cut);
    Ok(())
}

fn spawn(shape: &Shape, platform: &Arc<MemoryPlatform>, cut: &Arc<AtomicBool>) -> Vec<Entry> {
    let peers = MemoryPeers::open(Duration::from_millis(1));
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let clock = Arc::new(TokioClock::start(wall));
    let mut entries = Vec::new();
    for (centre, count) in shape.counts.iter().enumerate() {
        for index in 0..*count {
            let address = format!("dc{centre}-{index}");
            let settings = Settings {
                entry_id: address.clone(),
                data_centre: format!("dc{centre}"),
                seed_peers: vec!["dc0-0".to_string(), "dc1-0".to_string()],
                ..Settings::default()
            };
            let last = centre + 1 == shape.counts.len();
            let cut = if last { cut.clone() } else { Arc::default() };
            entries.push(Entry::spawn(EntryParts {
                peers: peers.join(&address, &settings.data_centre),
                settings,
                platform: Arc::new(CutPlatform { platform: platform.clone(), cut }),
                connector: MemoryConnector::open(),
                clock: clock.clone(),
                resume_key: None,
                seed: (centre * 1_000 + index) as u64,
            }));
        }
    }
    entries
}

/// The platform as one data centre reaches it.
struct CutPlatform {
    platform: Arc<MemoryPlatform>,
    cut: Arc<AtomicBool>,
}

impl CutPlatform {
    fn check(&self) -> Result<(), PlatformError> {
        if self.cut.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable("cut off".to_string()));
        }
        Ok(())
    }
}

#[async_trait]
impl ObjectStore for CutPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.check()?;
        self.platform.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<ObjectVersion>,
        value: Vec<u8>,
    ) -> Result<ObjectVersion, WriteError> {
        self.check().map_err(|error| WriteError::NotWritten(error.to_string()))?;
        self.platform.put(key, expected, value).await
    }

    async fn delete(&self, key: &str, expected: ObjectVersion) -> Result<(), WriteError> {
        self.check().map_err(|error| WriteError::NotWritten(error.to_string()))?;
        self.platform.delete(key, expected).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError> {
        self.check()?;
        self.platform.list(prefix, after, count_limit).await
    }

    async fn watch(
        &self,
        key: &str,
        seen: ObjectVersion,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.check()?;
        let found = self.platform.watch(key, seen, timeout).await;
        self.check()?;
        found
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.check()?;
        self.platform.list_vms().await
    }
}
