//! A fleet of entry processes over in-memory networks, with faults that tests can inject.

use crate::{CallRequest, CompletionRequest, Entry, EntryParts};
use async_trait::async_trait;
use futures::StreamExt;
use serde_json::json;
use skylarkpick_config::{CONFIGURATION_KEY, ConfigurationRecord, Patch, PatchOutcome, Settings};
use skylarkpick_interface::{
    CacheEventBatch, ExportOrder, ExportReceipt, FrameStream, ImportOrder, ImportReceipt,
    ListedObject, ListedVm, LoadReport, NoPeers, Object, ObjectStore, Order, OrderError,
    PeerNetwork, PlatformError, Priority, RunRequest, Runner, RunnerStatus, StartError,
    StoreRevision, TokioClock, TransferError, WriteError,
};
use skylarkpick_standin::{
    FakeRunner, FakeService, MemoryConnector, MemoryPeers, MemoryPlatform, PlatformRates,
    RunnerSettings, WeightStore,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::time::{Instant, sleep};

const RUNNERS_PER_DATA_CENTRE: usize = 2;
/// Interval at which tests poll for a version and send prompts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(super) struct Fleet {
    pub(super) platform: Arc<MemoryPlatform>,
    pub(super) peers: Arc<MemoryPeers>,
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) runners: BTreeMap<String, FakeRunner>,
    /// The plain service's instance in each data centre.
    pub(super) services: Vec<Arc<FakeService>>,
    /// Whether each data centre is partitioned from the platform.
    platform_partitions: BTreeMap<usize, Arc<AtomicBool>>,
    /// Status reads of each runner.
    status_reads: BTreeMap<String, Arc<AtomicU64>>,
    /// Whether every report of the runners is lost.
    reports_dropped: Arc<AtomicBool>,
    connector: Arc<MemoryConnector>,
    clock: TokioClock,
}

pub(super) fn data_centre(index: usize) -> String {
    format!("dc{index}")
}

pub(super) fn entry_name(data_centre: usize, index: usize) -> String {
    format!("dc{data_centre}-entry-{index}")
}

pub(super) fn runner(data_centre: usize, index: usize) -> String {
    format!("dc{data_centre}-runner-{index}")
}

pub(super) fn service(data_centre: usize) -> String {
    format!("dc{data_centre}-book")
}

fn service_address(data_centre: usize) -> String {
    format!("10.1.{data_centre}.0:80")
}

fn runner_address(data_centre: usize, index: usize) -> String {
    format!("10.0.{data_centre}.{index}:80")
}

impl Fleet {
    pub(super) async fn spawn(counts: &[usize]) -> Fleet {
        Fleet::spawn_with(counts, Duration::from_secs(2)).await
    }

    /// Starts `counts[index]` entry processes in data centre `index`.
    pub(super) async fn spawn_with(counts: &[usize], list_lag: Duration) -> Fleet {
        let platform = MemoryPlatform::open(list_lag, PlatformRates::default());
        let mut fleet = Fleet {
            platform,
            peers: MemoryPeers::open(Duration::from_millis(1)),
            entries: BTreeMap::new(),
            runners: BTreeMap::new(),
            services: Vec::new(),
            platform_partitions: BTreeMap::new(),
            status_reads: BTreeMap::new(),
            reports_dropped: Arc::default(),
            connector: MemoryConnector::open(),
            clock: TokioClock::start(SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)),
        };
        for (index, _) in counts.iter().enumerate() {
            fleet.platform_partitions.insert(index, Arc::default());
            fleet.add_runners(index);
        }
        fleet.write_first_configuration(counts.len()).await;
        for (data_centre, count) in counts.iter().enumerate() {
            for index in 0..*count {
                let entry = fleet.start(data_centre, index);
                fleet.entries.insert(entry_name(data_centre, index), entry);
            }
        }
        fleet
    }

    fn add_runners(&mut self, data_centre: usize) {
        let service = FakeService::open();
        self.connector.put_service(&service_address(data_centre), service.clone());
        self.services.push(service);
        let weight_store = WeightStore::open(Duration::from_secs(1), 2);
        for index in 0..RUNNERS_PER_DATA_CENTRE {
            let name = runner(data_centre, index);
            let settings =
                RunnerSettings { model: "tala-llm".to_string(), ..RunnerSettings::default() };
            let fake = FakeRunner::open(settings, self.connector.clone(), weight_store.clone());
            let status_reads = Arc::<AtomicU64>::default();
            let observed = ObservedRunner {
                runner: fake.clone(),
                status_reads: status_reads.clone(),
                reports_dropped: self.reports_dropped.clone(),
            };
            self.connector.put_runner(&runner_address(data_centre, index), Arc::new(observed));
            self.runners.insert(name.clone(), fake);
            self.status_reads.insert(name, status_reads);
        }
    }

    async fn write_first_configuration(&self, data_centre_count: usize) {
        let mut data_centres = json!({});
        for index in 0..data_centre_count {
            let mut runners = json!({});
            for number in 0..RUNNERS_PER_DATA_CENTRE {
                let name = runner(index, number);
                runners[&name] =
                    json!({"address": runner_address(index, number), "model": "tala-llm"});
            }
            let services = json!({service(index): {
                "address": service_address(index), "service": "book-api",
            }});
            data_centres[data_centre(index)] =
                json!({"region": "mnl", "runners": runners, "services": services});
        }
        let record = json!({"version": 1, "history": [], "configuration": {
            "accounts": {"cubesat": {}},
            "models": {"tala-llm": {"weight_version": 1, "serving": "ordinary"}},
            "serving": {"ordinary": {}},
            "services": {"book-api": {}},
            "data_centres": data_centres,
        }});
        let value = serde_json::to_vec(&record).unwrap();
        self.platform.put(CONFIGURATION_KEY, None, value).await.unwrap();
    }

    pub(super) fn start(&self, data_centre_index: usize, index: usize) -> Entry {
        let name = entry_name(data_centre_index, index);
        let peers = self.peers.join(&name, &data_centre(data_centre_index));
        self.open(&name, data_centre_index, peers)
    }

    pub(super) fn start_alone(&self) -> Entry {
        self.open("alone", 0, NoPeers::open())
    }

    fn open(&self, name: &str, data_centre_index: usize, peers: Arc<dyn PeerNetwork>) -> Entry {
        let settings = Settings {
            entry_id: name.to_string(),
            data_centre: data_centre(data_centre_index),
            seed_peers: vec![entry_name(0, 0), entry_name(0, 1)],
            ..Settings::default()
        };
        let partitioned = self.platform_partitions[&data_centre_index].clone();
        Entry::spawn(EntryParts {
            settings,
            platform: Arc::new(PartitionablePlatform {
                platform: self.platform.clone(),
                partitioned,
            }),
            connector: self.connector.clone(),
            peers,
            clock: Arc::new(self.clock),
            resume_key: None,
            seed: name.bytes().map(u64::from).sum(),
        })
    }

    pub(super) fn entry(&self, data_centre: usize, index: usize) -> &Entry {
        &self.entries[&entry_name(data_centre, index)]
    }

    pub(super) fn kill(&mut self, name: &str) {
        self.peers.set_reachable(name, false);
        self.entries.remove(name);
    }

    /// Makes the platform unreachable for a data centre.
    pub(super) fn partition_platform(&self, data_centre: usize) {
        self.platform_partitions[&data_centre].store(true, Ordering::SeqCst);
    }

    /// Drops every report of the runners from now on; the runners still serve requests.
    pub(super) fn drop_reports(&self) {
        self.reports_dropped.store(true, Ordering::SeqCst);
    }

    pub(super) fn status_reads(&self, runner: &str) -> u64 {
        self.status_reads[runner].load(Ordering::SeqCst)
    }

    pub(super) async fn watcher_of(&self, data_centre: usize) -> String {
        let prefix = format!("dc{data_centre}-");
        let (_, entry) = self.entries.iter().find(|(name, _)| name.starts_with(&prefix)).unwrap();
        entry.state().await.peers.configuration_watcher.unwrap()
    }

    /// Returns the names of the processes whose router treats the runner as leaving.
    pub(super) async fn is_leaving_on(&self, runner: &str) -> Vec<String> {
        let mut names = Vec::new();
        for (name, entry) in &self.entries {
            let state = entry.state().await;
            if state.runners.iter().any(|known| known.name == runner && known.leaving) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Calls the plain service and returns how many calls each data centre's instance has run.
    pub(super) async fn call_service(&self, data_centre: usize, index: usize) -> Vec<usize> {
        let request = CallRequest {
            request_id: "call".to_string(),
            account: "cubesat".to_string(),
            service: "book-api".to_string(),
            method: "GET".to_string(),
            path: "/passes".to_string(),
            body: Vec::new(),
            idempotency_key: None,
            deadline: None,
        };
        self.entry(data_centre, index).call(request).await.unwrap();
        self.services.iter().map(|service| service.ledger().len()).collect()
    }

    /// Sends enough prompts through one process to make it try every runner.
    pub(super) async fn send_prompts(&self, data_centre: usize, index: usize) {
        for number in 0..16 {
            let request = CompletionRequest {
                request_id: format!("request-{number}"),
                account: "cubesat".to_string(),
                model: "tala-llm".to_string(),
                adapter: None,
                prompt: format!("prompt {number} ").repeat(4_000),
                answer_tokens_limit: 200,
                priority: Priority::Normal,
                deadline: None,
                resumable: false,
            };
            let stream = self.entry(data_centre, index).complete(request).unwrap();
            tokio::spawn(stream.for_each(|_| async {}));
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies a patch through one process and returns the time until the version is active
    /// everywhere.
    pub(super) async fn patch_through(&self, data_centre: usize, version: u64) -> Option<Duration> {
        let patch = Patch {
            patch_id: format!("patch-{version}"),
            base_version: version - 1,
            change: json!({"serving": {"ordinary": {"deadline_ms": 10_000 + version}}}),
        };
        let outcome = self.entry(data_centre, 0).patch(&patch, "operator").await;
        assert_eq!(outcome, PatchOutcome::Accepted(version));
        self.wait_until_active(version, Duration::from_secs(19)).await
    }

    /// Writes a version directly to the platform and returns the time until it is active
    /// everywhere.
    pub(super) async fn patch_platform(&self, version: u64) -> Option<Duration> {
        let object = self.platform.get(CONFIGURATION_KEY).await.unwrap().unwrap();
        let mut record: ConfigurationRecord = serde_json::from_slice(&object.value).unwrap();
        record.version = version;
        let value = serde_json::to_vec(&record).unwrap();
        self.platform.put(CONFIGURATION_KEY, Some(object.version), value).await.unwrap();
        self.wait_until_active(version, Duration::from_secs(19)).await
    }

    pub(super) async fn wait_until_active(
        &self,
        version: u64,
        limit: Duration,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() <= limit {
            if self.entries.values().all(|entry| entry.active_configuration().version >= version) {
                return Some(started.elapsed());
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }
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

/// Counts the status reads of a runner, and can drop its reports.
struct ObservedRunner {
    runner: FakeRunner,
    status_reads: Arc<AtomicU64>,
    reports_dropped: Arc<AtomicBool>,
}

impl ObservedRunner {
    fn check(&self) -> Result<(), StartError> {
        if self.reports_dropped.load(Ordering::SeqCst) {
            return Err(StartError::NotReached("the report was dropped".to_string()));
        }
        Ok(())
    }
}

#[async_trait]
impl Runner for ObservedRunner {
    async fn start(&self, request: RunRequest) -> Result<FrameStream, StartError> {
        self.runner.start(request).await
    }

    async fn resume(&self, run: &str, account: &str, at: u64) -> Result<FrameStream, StartError> {
        self.runner.resume(run, account, at).await
    }

    async fn cancel(&self, run_id: &str) -> Result<(), StartError> {
        self.runner.cancel(run_id).await
    }

    async fn load(&self) -> Result<LoadReport, StartError> {
        self.check()?;
        self.runner.load().await
    }

    async fn cache_events(&self, after: u64, all: bool) -> Result<CacheEventBatch, StartError> {
        self.runner.cache_events(after, all).await
    }

    async fn import(&self, order: ImportOrder) -> Result<ImportReceipt, TransferError> {
        self.runner.import(order).await
    }

    async fn export(&self, order: ExportOrder) -> Result<ExportReceipt, TransferError> {
        self.runner.export(order).await
    }

    async fn order(&self, order: Order) -> Result<(), OrderError> {
        self.runner.order(order).await
    }

    async fn status(&self) -> Result<RunnerStatus, StartError> {
        self.status_reads.fetch_add(1, Ordering::SeqCst);
        self.check()?;
        self.runner.status().await
    }
}
