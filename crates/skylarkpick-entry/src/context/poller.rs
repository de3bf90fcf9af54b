//! Polls the caches of runners and the content of stores in this data centre.

use super::{
    messages::{NextCacheEvents, ReadStoreCopies},
    prefix_index::ContextUpdate,
    publisher::DirectoryPublisher,
    saving::{SavingActor, StoreReport},
};
use crate::{
    active_configuration::ActiveConfiguration, peers::Reporter, router_actor::RouterActor,
};
use kameo::prelude::ActorRef;
use skylarkpick_cache::RunnerChange;
use skylarkpick_interface::{
    Generation, Manifest, ManifestState, PrefixKey, Runner, RunnerId, Store, StoreId, StoreStatus,
    TargetConnector,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet, time::Instant};

/// Time between two reads of a runner's cache events.
const EVENT_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two snapshots of a runner's cache, for peers that missed a message.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two reads of a store's status.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two listings of a store.
const LIST_INTERVAL_FLOOR: Duration = Duration::from_secs(1);
/// Minimum time between two listings per listed manifest, so that a full store is listed rarely.
const LIST_INTERVAL_PER_MANIFEST: Duration = Duration::from_millis(1);
/// Manifests in one page of a listing.
const LIST_PAGE_COUNT: usize = 256;
/// Maximum time for a target to respond.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a copy that is still being written counts as abandoned by a process that died.
const WRITING_TIMEOUT: Duration = Duration::from_secs(180);

/// Polls the targets of this data centre; each polling task holds a clone.
#[derive(Clone)]
pub(super) struct ContextPoller {
    pub(super) connector: Arc<dyn TargetConnector>,
    pub(super) active_configuration: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) router: ActorRef<RouterActor>,
    pub(super) saving: ActorRef<SavingActor>,
    pub(super) reporter: Reporter,
    pub(super) publisher: DirectoryPublisher,
    pub(super) data_centre: String,
}

/// State of publishing a runner's cache to the peers.
#[derive(Debug, Default)]
struct PublishState {
    snapshot_at: Option<Instant>,
}

impl PublishState {
    fn is_snapshot_due(&self) -> bool {
        self.snapshot_at.is_none_or(|at| at.elapsed() >= SNAPSHOT_INTERVAL)
    }
}

impl ContextPoller {
    /// Polls the targets of the active configuration until the process ends.
    pub(super) async fn run(mut self) {
        let mut polled = BTreeMap::new();
        let mut polls = JoinSet::new();
        loop {
            let current = self.active_configuration.borrow_and_update().clone();
            let targets = self.targets(&current);
            if targets != polled {
                // Dropping the previous JoinSet aborts its tasks.
                polls = self.spawn_polls(&targets);
                polled = targets;
            }
            if self.active_configuration.changed().await.is_err() {
                polls.abort_all();
                return;
            }
        }
    }

    /// Returns the addresses of the data centre's targets, keyed by whether the target is a store
    /// and its name.
    fn targets(&self, active: &ActiveConfiguration) -> BTreeMap<(bool, String), String> {
        let Some(targets) = active.configuration.data_centres.get(&self.data_centre) else {
            return BTreeMap::new();
        };
        let runners = targets.runners.iter();
        let runners = runners.map(|(name, target)| ((false, name.clone()), target.address.clone()));
        let stores = targets.stores.iter();
        let stores = stores.map(|(name, target)| ((true, name.clone()), target.address.clone()));
        runners.chain(stores).collect()
    }

    fn spawn_polls(&self, targets: &BTreeMap<(bool, String), String>) -> JoinSet<()> {
        let mut polls = JoinSet::new();
        for ((is_store, name), address) in targets {
            let (poller, name) = (self.clone(), name.clone());
            if *is_store {
                let store = self.connector.store(address);
                polls.spawn(async move { poller.poll_store(name, store).await });
            } else {
                let runner = self.connector.runner(address);
                polls.spawn(async move { poller.poll_runner(name, runner).await });
            }
        }
        polls
    }

    async fn poll_runner(&self, name: RunnerId, runner: Arc<dyn Runner>) {
        let mut published = PublishState::default();
        loop {
            let read = self.read_runner(&name, &*runner, &mut published);
            // A runner that does not respond is read again later; until then its index entries may
            // be outdated.
            let _ = tokio::time::timeout(READ_TIMEOUT, read).await;
            tokio::time::sleep(EVENT_READ_INTERVAL).await;
        }
    }

    /// Reads a runner's cache events and publishes the change, if this process is the runner's
    /// reporter.
    async fn read_runner(
        &self,
        name: &RunnerId,
        runner: &dyn Runner,
        published: &mut PublishState,
    ) -> Option<()> {
        if !self.reporter.is_reporter_for(name).await {
            *published = PublishState::default();
            return None;
        }
        let (incarnation, next) = self.router.ask(NextCacheEvents(name.clone())).await.ok()??;
        if incarnation == 0 {
            return None;
        }
        let snapshot = next.snapshot || published.is_snapshot_due();
        let batch = runner.cache_events(next.after, snapshot).await.ok()?;
        let change = RunnerChange::from_batch(incarnation, next.after, &batch);
        self.router
            .tell(ContextUpdate::CacheEvents(name.clone(), incarnation, batch))
            .await
            .ok()?;
        if change.snapshot {
            published.snapshot_at = Some(Instant::now());
        }
        if change.snapshot || change.last_sequence > next.after {
            self.publisher.publish(name, &change).await;
        }
        Some(())
    }

    async fn poll_store(&self, name: StoreId, store: Arc<dyn Store>) {
        let mut listing = StoreListing::default();
        loop {
            let status = tokio::time::timeout(READ_TIMEOUT, store.status()).await;
            match status {
                Ok(Ok(status)) => {
                    self.apply_store_status(&name, &*store, status, &mut listing).await
                }
                _ => {
                    // Fails only while the process is exiting.
                    let _ = self.router.tell(ContextUpdate::StoreUnavailable(name.clone())).await;
                    let _ = self.saving.tell(StoreReport(name.clone(), None)).await;
                }
            }
            tokio::time::sleep(STORE_READ_INTERVAL).await;
        }
    }

    async fn apply_store_status(
        &self,
        name: &StoreId,
        store: &dyn Store,
        status: StoreStatus,
        listing: &mut StoreListing,
    ) {
        let incarnation = status.incarnation;
        // Fails only while the process is exiting.
        let _ = self.router.tell(ContextUpdate::StoreStatus(name.clone(), status.clone())).await;
        let _ = self.saving.tell(StoreReport(name.clone(), Some(status))).await;
        let is_due = listing.incarnation != incarnation
            || listing.listed_at.is_none_or(|at| at.elapsed() >= listing.interval());
        if is_due && self.list(name, store, incarnation, listing).await.is_some() {
            listing.incarnation = incarnation;
            listing.listed_at = Some(Instant::now());
        }
    }

    /// Lists every manifest of a store, removes vanished copies from the index and retires
    /// abandoned ones.
    async fn list(
        &self,
        name: &StoreId,
        store: &dyn Store,
        incarnation: u64,
        listing: &mut StoreListing,
    ) -> Option<()> {
        let before = self.router.ask(ReadStoreCopies(name.clone())).await.ok()?;
        let mut manifests: Vec<Manifest> = Vec::new();
        loop {
            let after = manifests.last().map(|manifest| manifest.prefix.prefix_key);
            let page = store.manifests(after, LIST_PAGE_COUNT).await.ok()?;
            if page.is_empty() {
                break;
            }
            manifests.extend(page);
        }
        listing.manifest_count = u32::try_from(manifests.len()).unwrap_or(u32::MAX);
        let listed: BTreeSet<(PrefixKey, Generation)> = manifests.iter().map(copy_id).collect();
        for copy in before {
            if !listed.contains(&(copy.prefix_key, copy.generation)) {
                let removed =
                    ContextUpdate::CopyRemoved(name.clone(), copy.prefix_key, copy.generation);
                self.router.tell(removed).await.ok()?;
            }
        }
        for (key, generation) in listing.abandoned_copies(&manifests) {
            // On failure the next listing retires it again.
            let _ = store.retire(key, generation).await;
        }
        for manifest in manifests {
            self.router
                .tell(ContextUpdate::Manifest(name.clone(), incarnation, manifest))
                .await
                .ok()?;
        }
        Some(())
    }
}

/// Identifies a saved copy within a store.
fn copy_id(manifest: &Manifest) -> (PrefixKey, Generation) {
    (manifest.prefix.prefix_key, manifest.generation)
}

/// State of the periodic listing of a store.
#[derive(Debug, Default)]
struct StoreListing {
    incarnation: u64,
    listed_at: Option<Instant>,
    /// Manifests in the last listing.
    manifest_count: u32,
    /// Copies being written, with the time at which they were first listed.
    writing: BTreeMap<(PrefixKey, Generation), Instant>,
}

impl StoreListing {
    fn interval(&self) -> Duration {
        LIST_INTERVAL_FLOOR.max(LIST_INTERVAL_PER_MANIFEST * self.manifest_count)
    }

    /// Returns the copies to retire: those being written for too long, and sealed ones that a newer
    /// generation replaces.
    fn abandoned_copies(&mut self, manifests: &[Manifest]) -> Vec<(PrefixKey, Generation)> {
        let now = Instant::now();
        let of_state =
            |state: ManifestState| manifests.iter().filter(move |manifest| manifest.state == state);
        self.writing = of_state(ManifestState::Writing)
            .map(copy_id)
            .map(|id| (id, self.writing.get(&id).copied().unwrap_or(now)))
            .collect();
        let overdue = self.writing.iter().filter(|(_, since)| now - **since >= WRITING_TIMEOUT);
        let mut abandoned: Vec<_> = overdue.map(|(id, _)| *id).collect();
        let mut newest: BTreeMap<PrefixKey, Generation> = BTreeMap::new();
        for (key, generation) in of_state(ManifestState::Sealed).map(copy_id) {
            let latest = newest.entry(key).or_insert(generation);
            *latest = (*latest).max(generation);
        }
        let sealed = of_state(ManifestState::Sealed).map(copy_id);
        abandoned.extend(sealed.filter(|(key, generation)| newest.get(key) > Some(generation)));
        abandoned
    }
}
