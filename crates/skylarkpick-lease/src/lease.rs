//! Runs a [`LeaseStateMachine`] against the platform's object store.

use crate::{
    fencing::fencing_number,
    record::LeaseRecord,
    settings::LeaseSettings,
    state_machine::{Action, LeaseStateMachine, Permit, Tenure, WriteOutcome},
};
use rand::{RngCore, SeedableRng, rngs::StdRng};
use skylarkpick_interface::{Clock, FencingNumber, ObjectStore, StoreRevision, WriteError};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime},
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    task::JoinHandle,
    time::timeout,
};

/// State of a lease as one candidate sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseStatus {
    /// Key of the platform object.
    pub key: String,
    /// Holder according to the last read or write of the object.
    pub last_holder: Option<String>,
    /// Fencing number, while this process may send orders.
    pub fencing_number: Option<FencingNumber>,
    /// Remaining term, while this process may send orders; zero otherwise.
    pub remaining: Duration,
}

/// A candidate that acquires and renews a lease until it is released or dropped.
///
/// ```
/// use skylarkpick_interface::TokioClock;
/// use skylarkpick_lease::{Lease, LeaseSettings};
/// use skylarkpick_standin::{MemoryPlatform, PlatformRates};
/// use std::{sync::Arc, time::{Duration, SystemTime}};
/// # tokio::runtime::Builder::new_current_thread()
/// #     .enable_time().start_paused(true).build().unwrap().block_on(async {
/// let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
/// let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
/// let settings = LeaseSettings::new("leases/planner/mnl-a", "entry-1");
/// let lease = Lease::spawn(platform, clock, settings, 1);
/// tokio::time::sleep(Duration::from_millis(10)).await;
/// assert!(lease.permit().is_some());
/// lease.release().await;
/// # });
/// ```
pub struct Lease {
    shared: Arc<Shared>,
    release_requests: mpsc::Sender<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

struct Shared {
    state_machine: Mutex<LeaseStateMachine>,
    platform: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    settings: LeaseSettings,
    /// Notified when the next action may be due earlier than planned.
    wakes: Notify,
}

impl Lease {
    /// Starts a candidate in a background task. `seed` must differ between starts of a process.
    pub fn spawn(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        settings: LeaseSettings,
        seed: u64,
    ) -> Lease {
        Lease::start(platform, clock, settings, seed, |state_machine| state_machine)
    }

    /// Starts a candidate that reads the lease once and then waits for [`Lease::compete`], unless
    /// its own machine held the lease last. `seed` must differ between starts of a process.
    ///
    /// ```
    /// # use skylarkpick_interface::TokioClock;
    /// # use skylarkpick_lease::{Lease, LeaseSettings};
    /// # use skylarkpick_standin::{MemoryPlatform, PlatformRates};
    /// # use std::{sync::Arc, time::{Duration, SystemTime}};
    /// # tokio::runtime::Builder::new_current_thread()
    /// #     .enable_time().start_paused(true).build().unwrap().block_on(async {
    /// # let platform = MemoryPlatform::open(Duration::ZERO, PlatformRates::default());
    /// # let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    /// let machine_gap = Duration::from_secs(3);
    /// let settings = LeaseSettings {
    ///     machine: Some("vm-1".to_string()),
    ///     machine_gap,
    ///     ..LeaseSettings::new("leases/planner/mnl-a", "entry-1")
    /// };
    /// let lease = Lease::spawn_standing_by(platform, clock, settings, 1);
    /// tokio::time::sleep(Duration::from_secs(60)).await;
    /// assert!(lease.tenure().is_none());
    /// lease.compete();
    /// tokio::time::sleep(Duration::from_millis(10)).await;
    /// // There may have been another holder before the object was first written.
    /// assert!(lease.tenure().is_some() && lease.permit().is_none());
    /// tokio::time::sleep(machine_gap).await;
    /// assert!(lease.permit().is_some());
    /// # });
    /// ```
    pub fn spawn_standing_by(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        settings: LeaseSettings,
        seed: u64,
    ) -> Lease {
        Lease::start(platform, clock, settings, seed, LeaseStateMachine::standing_by)
    }

    fn start(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        settings: LeaseSettings,
        seed: u64,
        prepare: fn(LeaseStateMachine) -> LeaseStateMachine,
    ) -> Lease {
        let nonce_prefix = nonce_prefix(&settings.holder, &*clock, seed);
        let state_machine = prepare(LeaseStateMachine::open(settings.clone(), &nonce_prefix));
        let state_machine = Mutex::new(state_machine);
        let wakes = Notify::new();
        let shared = Arc::new(Shared { state_machine, platform, clock, settings, wakes });
        let (release_requests, receiver) = mpsc::channel(1);
        let task = tokio::spawn(run(shared.clone(), receiver));
        Lease { shared, release_requests, task }
    }

    /// Lets a candidate that stands by compete for the lease. The time since it read the lease
    /// counts towards its wait.
    pub fn compete(&self) {
        self.shared.lock().compete();
        self.shared.wakes.notify_one();
    }

    /// Sets whether this candidate stands back: it lets a lease that it holds lapse, and doesn't acquire
    /// one until it no longer does.
    pub fn stand_back(&self, stands_back: bool) {
        self.shared.lock().stand_back(stands_back);
        self.shared.wakes.notify_one();
    }

    /// Returns the lease while this process holds it, also before it may send orders.
    pub fn tenure(&self) -> Option<Tenure> {
        let now = self.shared.now();
        self.shared.lock_in_known_era(now).tenure(now)
    }

    /// Returns a permit to send one order now, or `None` if this process doesn't hold the lease, the
    /// remaining term is too short, another machine may have sent orders too recently, or any response
    /// of the store named another era. Each order needs a permit of its own.
    pub fn permit(&self) -> Option<Permit> {
        let now = self.shared.now();
        self.shared.lock_in_known_era(now).permit(now)
    }

    /// Returns the state of the lease.
    pub fn status(&self) -> LeaseStatus {
        let permit = self.permit();
        LeaseStatus {
            key: self.shared.settings.key.clone(),
            last_holder: self.shared.lock().last_holder().map(str::to_string),
            fencing_number: permit.map(|permit| permit.fencing_number),
            remaining: permit.map_or(Duration::ZERO, |permit| permit.remaining),
        }
    }

    /// Releases the lease, so that a successor need not wait for the end of the term. The caller
    /// must have no order in flight.
    pub async fn release(self) {
        let (done, released) = oneshot::channel();
        if self.release_requests.send(done).await.is_ok() {
            // An error means that the task has ended, which leaves nothing to release.
            let _ = released.await;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LeaseStateMachine> {
        self.state_machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state after it has taken in the store's era. Any call to the store may have told it.
    fn lock_in_known_era(&self, now: Duration) -> MutexGuard<'_, LeaseStateMachine> {
        let era = self.platform.known_era();
        let mut state_machine = self.lock();
        let is_held = state_machine.tenure(now).is_some();
        if state_machine.observe_era(now, era) {
            spdlog::info!("lease state dropped: the store is in another era", kv: {
                key = self.settings.key.as_str(), era, was_held = is_held,
            });
            self.wakes.notify_one();
        }
        state_machine
    }

    fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    async fn read(&self) {
        let call = self.platform.get(&self.settings.key);
        let response = timeout(self.settings.call_timeout, call).await;
        let now = self.now();
        match response {
            Ok(Ok(object)) => {
                let found =
                    object.map(|object| (object.version, LeaseRecord::decode(&object.value)));
                self.lock_in_known_era(now).observe_read(now, found);
            }
            Ok(Err(_)) | Err(_) => self.lock_in_known_era(now).observe_read_failure(now),
        }
    }

    async fn write(&self, expected: Option<StoreRevision>, record: &LeaseRecord) {
        let call = self.platform.put(&self.settings.key, expected, record.encode());
        let outcome = match timeout(self.settings.call_timeout, call).await {
            Ok(Ok(version)) => {
                if fencing_number(version).is_none() {
                    spdlog::warn!("no fencing number: the revision is too large", kv: {
                        key = self.settings.key.as_str(), version:,
                    });
                }
                WriteOutcome::Written(version)
            }
            Ok(Err(WriteError::Conflict { .. })) => WriteOutcome::Conflict,
            Ok(Err(WriteError::NotWritten(_))) => WriteOutcome::NotWritten,
            Ok(Err(WriteError::Unknown(_))) | Err(_) => WriteOutcome::Unknown,
        };
        let now = self.now();
        self.lock_in_known_era(now).observe_write(now, outcome);
    }
}

async fn run(shared: Arc<Shared>, mut release_requests: mpsc::Receiver<oneshot::Sender<()>>) {
    loop {
        let now = shared.now();
        let action = shared.lock_in_known_era(now).next_action(now);
        match action {
            Action::Read => shared.read().await,
            Action::Write { expected, record } => shared.write(expected, &record).await,
            Action::WaitUntil(due) => {
                let pause = tokio::time::sleep(due.saturating_sub(now));
                tokio::select! {
                    () = pause => {}
                    () = shared.wakes.notified() => {}
                    request = release_requests.recv() => {
                        release(&shared, request).await;
                        return;
                    }
                }
            }
        }
    }
}

async fn release(shared: &Shared, request: Option<oneshot::Sender<()>>) {
    let now = shared.now();
    let action = shared.lock_in_known_era(now).release(now);
    if let Some(Action::Write { expected, record }) = action {
        shared.write(expected, &record).await;
    }
    if let Some(done) = request {
        // An error means that the caller no longer waits.
        let _ = done.send(());
    }
}

/// Returns a prefix that differs between starts of a process, even with the same name and seed.
fn nonce_prefix(holder: &str, clock: &dyn Clock, seed: u64) -> String {
    let since_epoch = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let random = StdRng::seed_from_u64(seed).next_u64();
    format!("{holder}-{random:016x}-{:x}", since_epoch.as_nanos())
}
