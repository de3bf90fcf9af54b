//! Measures how long it takes until an accepted configuration is active on every process, in virtual
//! time: the production actors run over in-memory networks.
//!
//! `cargo run --release -p skylarkpick-entry --example spread`

use anyhow::Context;
use async_trait::async_trait;
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, Patch, PatchOutcome, Settings};
use skylarkpick_entry::{Entry, EntryParts};
use skylarkpick_interface::{
    ListedObject, ListedVm, Object, ObjectStore, PlatformError, StoreRevision, TokioClock,
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

/// Time for the membership to converge before the first patch.
const CONVERGENCE_TIME: Duration = Duration::from_secs(40);
/// Maximum wait until a version is active everywhere.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Number of patches measured for each fleet.
const PATCHES: u64 = 5;

struct FleetShape {
    /// Number of processes in each data centre.
    counts: &'static [usize],
    /// Whether the last data centre is partitioned from the platform.
    platform_partitioned: bool,
}

const FLEET_SHAPES: [FleetShape; 5] = [
    FleetShape { counts: &[7], platform_partitioned: false },
    FleetShape { counts: &[3, 2, 2], platform_partitioned: false },
    FleetShape { counts: &[3, 2, 2], platform_partitioned: true },
    FleetShape { counts: &[72, 72, 72, 72, 72], platform_partitioned: false },
    FleetShape { counts: &[72, 72, 72, 72, 72], platform_partitioned: true },
];

#[tokio::main(flavor = "current_thread", start_paused = true)]
async fn main() -> anyhow::Result<()> {
    println!("processes | last data centre without platform | accepted to in force everywhere, ms");
    for shape in FLEET_SHAPES {
        measure(&shape).await?;
    }
    Ok(())
}

async fn measure(shape: &FleetShape) -> anyhow::Result<()> {
    let platform = MemoryPlatform::open(Duration::from_secs(5), PlatformRates::default());
    let record = json!({"version": 1, "history": [], "configuration": {
        "serving": {"ordinary": {}},
    }});
    let first = platform.put(CONFIGURATION_KEY, None, serde_json::to_vec(&record)?).await;
    first.context("the first configuration was not written")?;
    let partitioned = Arc::new(AtomicBool::new(false));
    let entries = spawn(shape, &platform, &partitioned);
    sleep(CONVERGENCE_TIME).await;
    partitioned.store(shape.platform_partitioned, Ordering::SeqCst);
    let mut elapsed_ms = Vec::new();
    for version in 2..2 + PATCHES {
        sleep(Duration::from_millis(3_700)).await;
        let patch = Patch {
            patch_id: format!("patch-{version}"),
            base_version: version - 1,
            change: json!({"serving": {"ordinary": {"deadline_ms": 10_000 + version}}}),
        };
        let first = entries.first().context("no process")?;
        let started_at = Instant::now();
        let outcome = first.patch(&patch, "operator").await;
        anyhow::ensure!(outcome == PatchOutcome::Accepted(version), "{outcome:?}");
        while entries.iter().any(|entry| entry.active_configuration().version < version) {
            anyhow::ensure!(started_at.elapsed() < WAIT_LIMIT, "not in force in time");
            sleep(Duration::from_millis(10)).await;
        }
        elapsed_ms.push(started_at.elapsed().as_millis());
    }
    let open_watches = platform.calls().open_watches;
    println!(
        "{:?} | {} | {elapsed_ms:?} | {open_watches} watches",
        shape.counts, shape.platform_partitioned
    );
    Ok(())
}

fn spawn(
    shape: &FleetShape,
    platform: &Arc<MemoryPlatform>,
    partitioned: &Arc<AtomicBool>,
) -> Vec<Entry> {
    let peers = MemoryPeers::open(Duration::from_millis(1));
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let clock = Arc::new(TokioClock::start(wall));
    let mut entries = Vec::new();
    for (data_centre, count) in shape.counts.iter().enumerate() {
        for index in 0..*count {
            let address = format!("dc{data_centre}-{index}");
            let settings = Settings {
                entry_id: address.clone(),
                data_centre: format!("dc{data_centre}"),
                seed_peers: vec!["dc0-0".to_string(), "dc1-0".to_string()],
                ..Settings::default()
            };
            let last = data_centre + 1 == shape.counts.len();
            let partitioned = if last { partitioned.clone() } else { Arc::default() };
            entries.push(Entry::spawn(EntryParts {
                peers: peers.join(&address, &settings.data_centre),
                settings,
                platform: Arc::new(PartitionablePlatform {
                    platform: platform.clone(),
                    partitioned,
                }),
                connector: MemoryConnector::open(),
                clock: clock.clone(),
                resume_key: None,
                seed: (data_centre * 1_000 + index) as u64,
            }));
        }
    }
    entries
}

/// The platform as one data centre reaches it: every call fails while the two are partitioned.
struct PartitionablePlatform {
    platform: Arc<MemoryPlatform>,
    partitioned: Arc<AtomicBool>,
}

impl PartitionablePlatform {
    fn check(&self) -> Result<(), PlatformError> {
        if self.partitioned.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable("partitioned".to_string()));
        }
        Ok(())
    }
}

#[async_trait]
impl ObjectStore for PartitionablePlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.check()?;
        self.platform.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> Result<StoreRevision, WriteError> {
        self.check().map_err(|error| WriteError::NotWritten(error.to_string()))?;
        self.platform.put(key, expected, value).await
    }

    async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), WriteError> {
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
        seen: StoreRevision,
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
