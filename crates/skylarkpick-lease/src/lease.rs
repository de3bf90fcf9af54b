//! Runs a [`LeaseMachine`] on a platform.

use crate::{
    machine::{LeaseMachine, Permit, Step, WriteAnswer},
    record::LeaseRecord,
    settings::LeaseSettings,
};
use rand::{RngCore, SeedableRng, rngs::StdRng};
use skylarkpick_interface::{Clock, FencingNumber, ObjectStore, ObjectVersion, WriteError};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime},
};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::timeout,
};

/// What is known of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseStatus {
    /// Key of the platform object.
    pub key: String,
    /// Holder by what was seen last.
    pub last_holder: Option<String>,
    /// Fencing number, while this process may give orders.
    pub fencing_number: Option<FencingNumber>,
    /// What is left of the term, while this process may give orders.
    pub remaining: Duration,
}

/// A candidate for a lease that runs until it is released or dropped.
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
    commands: mpsc::Sender<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

struct Shared {
    machine: Mutex<LeaseMachine>,
    platform: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    settings: LeaseSettings,
}

impl Lease {
    /// Starts a candidate. `seed` must differ from start to start of a process.
    pub fn spawn(
        platform: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        settings: LeaseSettings,
        seed: u64,
    ) -> Lease {
        let nonce_prefix = nonce_prefix(&settings.holder, &*clock, seed);
        let machine = Mutex::new(LeaseMachine::open(settings.clone(), &nonce_prefix));
        let shared = Arc::new(Shared { machine, platform, clock, settings });
        let (commands, receiver) = mpsc::channel(1);
        let task = tokio::spawn(drive(shared.clone(), receiver));
        Lease { shared, commands, task }
    }

    /// Permission to send one order now; ask again for each order.
    pub fn permit(&self) -> Option<Permit> {
        let now = self.shared.clock.since_boot();
        self.shared.lock().permit(now)
    }

    /// What is known of the lease.
    pub fn status(&self) -> LeaseStatus {
        let permit = self.permit();
        LeaseStatus {
            key: self.shared.settings.key.clone(),
            last_holder: self.shared.lock().last_holder().map(str::to_string),
            fencing_number: permit.map(|permit| permit.fencing_number),
            remaining: permit.map_or(Duration::ZERO, |permit| permit.remaining),
        }
    }

    /// Gives the lease back so that a successor need not wait. No order may be under way.
    pub async fn release(self) {
        let (done, released) = oneshot::channel();
        if self.commands.send(done).await.is_ok() {
            // A task that ended has nothing left to give back.
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
    fn lock(&self) -> MutexGuard<'_, LeaseMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    async fn read(&self) {
        let call = self.platform.get(&self.settings.key);
        let answer = timeout(self.settings.call_timeout, call).await;
        let now = self.now();
        match answer {
            Ok(Ok(object)) => {
                let found = object.map(|object| (object.version, LeaseRecord::read(&object.value)));
                self.lock().observe_read(now, found);
            }
            Ok(Err(_)) | Err(_) => self.lock().observe_read_failure(now),
        }
    }

    async fn write(&self, expected: Option<ObjectVersion>, record: &LeaseRecord) {
        let call = self.platform.put(&self.settings.key, expected, record.write());
        let answer = match timeout(self.settings.call_timeout, call).await {
            Ok(Ok(version)) => WriteAnswer::Written(version),
            Ok(Err(WriteError::Conflict { .. })) => WriteAnswer::Conflict,
            Ok(Err(WriteError::NotWritten(_))) => WriteAnswer::NotWritten,
            Ok(Err(WriteError::Unknown(_))) | Err(_) => WriteAnswer::Unknown,
        };
        self.lock().observe_write(answer);
    }
}

async fn drive(shared: Arc<Shared>, mut commands: mpsc::Receiver<oneshot::Sender<()>>) {
    loop {
        let now = shared.now();
        let step = shared.lock().step(now);
        match step {
            Step::Read => shared.read().await,
            Step::Write { expected, record } => shared.write(expected, &record).await,
            Step::WaitUntil(due) => {
                let pause = tokio::time::sleep(due.saturating_sub(now));
                tokio::select! {
                    () = pause => {}
                    command = commands.recv() => {
                        release(&shared, command).await;
                        return;
                    }
                }
            }
        }
    }
}

async fn release(shared: &Shared, command: Option<oneshot::Sender<()>>) {
    let now = shared.now();
    let step = shared.lock().release(now);
    if let Some(Step::Write { expected, record }) = step {
        shared.write(expected, &record).await;
    }
    if let Some(done) = command {
        // The caller may have stopped waiting.
        let _ = done.send(());
    }
}

/// Differs between starts of a process, even under the same name and seed.
fn nonce_prefix(holder: &str, clock: &dyn Clock, seed: u64) -> String {
    let since_epoch = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let random = StdRng::seed_from_u64(seed).next_u64();
    format!("{holder}-{random:016x}-{:x}", since_epoch.as_nanos())
}
