//! Follows the caches of runners and the content of stores in this data centre.

use super::{
    actor::{AskNextEvents, CopiesIn},
    beliefs::Learned,
    saving::{SavingActor, StoreSeen},
    spread::Spread,
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
/// Time between two reads of a store's room and link.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two listings of a store.
const LIST_INTERVAL_FLOOR: Duration = Duration::from_secs(1);
/// Time between two listings for each manifest listed, so that a full store is listed rarely.
const LIST_INTERVAL_PER_MANIFEST: Duration = Duration::from_millis(1);
/// Manifests read at once.
const LIST_PAGE_COUNT: usize = 256;
/// Time for a target to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a copy that is still being written was left behind by a process that died.
const WRITING_TIMEOUT: Duration = Duration::from_secs(180);

/// What the followers share.
#[derive(Clone)]
pub(super) struct Follower {
    pub(super) connector: Arc<dyn TargetConnector>,
    pub(super) in_force: watch::Receiver<Arc<ActiveConfiguration>>,
    pub(super) router: ActorRef<RouterActor>,
    pub(super) saving: ActorRef<SavingActor>,
    pub(super) reporter: Reporter,
    pub(super) spread: Spread,
    pub(super) data_centre: String,
}

/// What the peers were told of a runner.
#[derive(Debug, Default)]
struct Told {
    snapshot_at: Option<Instant>,
}

impl Told {
    fn is_snapshot_due(&self) -> bool {
        self.snapshot_at.is_none_or(|at| at.elapsed() >= SNAPSHOT_INTERVAL)
    }
}

impl Follower {
    /// Follows the targets of each configuration in force.
    pub(super) async fn run(mut self) {
        let mut followed = BTreeMap::new();
        let mut reads = JoinSet::new();
        loop {
            let current = self.in_force.borrow_and_update().clone();
            let targets = self.targets(&current);
            if targets != followed {
                // Dropping the tasks of before ends them.
                reads = self.follow(&targets);
                followed = targets;
            }
            if self.in_force.changed().await.is_err() {
                reads.abort_all();
                return;
            }
        }
    }

    /// Addresses of the data centre's targets, and whether each is a store.
    fn targets(&self, in_force: &ActiveConfiguration) -> BTreeMap<(bool, String), String> {
        let Some(centre) = in_force.configuration.data_centres.get(&self.data_centre) else {
            return BTreeMap::new();
        };
        let runners = centre.runners.iter();
        let runners = runners.map(|(name, target)| ((false, name.clone()), target.address.clone()));
        let stores = centre.stores.iter();
        let stores = stores.map(|(name, target)| ((true, name.clone()), target.address.clone()));
        runners.chain(stores).collect()
    }

    fn follow(&self, targets: &BTreeMap<(bool, String), String>) -> JoinSet<()> {
        let mut reads = JoinSet::new();
        for ((is_store, name), address) in targets {
            let (follower, name) = (self.clone(), name.clone());
            if *is_store {
                let store = self.connector.store(address);
                reads.spawn(async move { follower.follow_store(name, store).await });
            } else {
                let runner = self.connector.runner(address);
                reads.spawn(async move { follower.follow_runner(name, runner).await });
            }
        }
        reads
    }

    async fn follow_runner(&self, name: RunnerId, runner: Arc<dyn Runner>) {
        let mut told = Told::default();
        loop {
            let read = self.read_runner(&name, &*runner, &mut told);
            // A runner that does not answer is asked again; its beliefs stay hints meanwhile.
            let _ = tokio::time::timeout(READ_TIMEOUT, read).await;
            tokio::time::sleep(EVENT_READ_INTERVAL).await;
        }
    }

    /// Reads a runner as its reporter and tells the other processes of the data centre.
    async fn read_runner(
        &self,
        name: &RunnerId,
        runner: &dyn Runner,
        told: &mut Told,
    ) -> Option<()> {
        if !self.reporter.is_reporter_for(name).await {
            *told = Told::default();
            return None;
        }
        let (incarnation, next) = self.router.ask(AskNextEvents(name.clone())).await.ok()??;
        if incarnation == 0 {
            return None;
        }
        let snapshot = next.snapshot || told.is_snapshot_due();
        let batch = runner.cache_events(next.after, snapshot).await.ok()?;
        let change = RunnerChange::from_batch(incarnation, next.after, &batch);
        self.router.tell(Learned::Events(name.clone(), incarnation, batch)).await.ok()?;
        if change.snapshot {
            told.snapshot_at = Some(Instant::now());
        }
        if change.snapshot || change.last_sequence > next.after {
            self.spread.tell(name, &change).await;
        }
        Some(())
    }

    async fn follow_store(&self, name: StoreId, store: Arc<dyn Store>) {
        let mut known = Listed::default();
        loop {
            let status = tokio::time::timeout(READ_TIMEOUT, store.status()).await;
            match status {
                Ok(Ok(status)) => self.take_store(&name, &*store, status, &mut known).await,
                _ => {
                    // A stopped actor means that the process ends.
                    let _ = self.router.tell(Learned::StoreAway(name.clone())).await;
                    let _ = self.saving.tell(StoreSeen(name.clone(), None)).await;
                }
            }
            tokio::time::sleep(STORE_READ_INTERVAL).await;
        }
    }

    async fn take_store(
        &self,
        name: &StoreId,
        store: &dyn Store,
        status: StoreStatus,
        known: &mut Listed,
    ) {
        let incarnation = status.incarnation;
        // A stopped actor means that the process ends.
        let _ = self.router.tell(Learned::StoreStatus(name.clone(), status.clone())).await;
        let _ = self.saving.tell(StoreSeen(name.clone(), Some(status))).await;
        let is_due = known.incarnation != incarnation
            || known.listed_at.is_none_or(|at| at.elapsed() >= known.interval());
        if is_due && self.list(name, store, incarnation, known).await.is_some() {
            known.incarnation = incarnation;
            known.listed_at = Some(Instant::now());
        }
    }

    /// Reads every manifest of a store, forgets what is gone, and clears what was left behind.
    async fn list(
        &self,
        name: &StoreId,
        store: &dyn Store,
        incarnation: u64,
        known: &mut Listed,
    ) -> Option<()> {
        let before = self.router.ask(CopiesIn(name.clone())).await.ok()?;
        let mut manifests: Vec<Manifest> = Vec::new();
        loop {
            let after = manifests.last().map(|manifest| manifest.prefix.prefix_key);
            let page = store.manifests(after, LIST_PAGE_COUNT).await.ok()?;
            if page.is_empty() {
                break;
            }
            manifests.extend(page);
        }
        known.manifests = u32::try_from(manifests.len()).unwrap_or(u32::MAX);
        let listed: BTreeSet<(PrefixKey, Generation)> = manifests.iter().map(place).collect();
        for copy in before {
            if !listed.contains(&(copy.prefix_key, copy.generation)) {
                let gone = Learned::CopyGone(name.clone(), copy.prefix_key, copy.generation);
                self.router.tell(gone).await.ok()?;
            }
        }
        for (key, generation) in known.left_behind(&manifests) {
            // A store that cannot be reached is listed again.
            let _ = store.retire(key, generation).await;
        }
        for manifest in manifests {
            self.router.tell(Learned::Manifest(name.clone(), incarnation, manifest)).await.ok()?;
        }
        Some(())
    }
}

fn place(manifest: &Manifest) -> (PrefixKey, Generation) {
    (manifest.prefix.prefix_key, manifest.generation)
}

/// What is known of a store from its last listing.
#[derive(Debug, Default)]
struct Listed {
    incarnation: u64,
    listed_at: Option<Instant>,
    manifests: u32,
    /// Copies being written, with the time at which they were seen first.
    writing: BTreeMap<(PrefixKey, Generation), Instant>,
}

impl Listed {
    fn interval(&self) -> Duration {
        LIST_INTERVAL_FLOOR.max(LIST_INTERVAL_PER_MANIFEST * self.manifests)
    }

    /// Saves that nobody will finish or use: written for too long, or replaced by a newer one.
    fn left_behind(&mut self, manifests: &[Manifest]) -> Vec<(PrefixKey, Generation)> {
        let now = Instant::now();
        let of_state =
            |state: ManifestState| manifests.iter().filter(move |manifest| manifest.state == state);
        self.writing = of_state(ManifestState::Writing)
            .map(place)
            .map(|place| (place, self.writing.get(&place).copied().unwrap_or(now)))
            .collect();
        let overdue = self.writing.iter().filter(|(_, since)| now - **since >= WRITING_TIMEOUT);
        let mut left: Vec<_> = overdue.map(|(place, _)| *place).collect();
        let mut newest: BTreeMap<PrefixKey, Generation> = BTreeMap::new();
        for (key, generation) in of_state(ManifestState::Sealed).map(place) {
            let known = newest.entry(key).or_insert(generation);
            *known = (*known).max(generation);
        }
        let sealed = of_state(ManifestState::Sealed).map(place);
        left.extend(sealed.filter(|(key, generation)| newest.get(key) > Some(generation)));
        left
    }
}
