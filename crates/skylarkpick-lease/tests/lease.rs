//! Tests of [`Lease`] against the in-memory platform in virtual time: faults of the platform, clock
//! steps, pauses, takeover and stale orders.

use async_trait::async_trait;
use skylarkpick_interface::{
    Clock, ListedObject, ListedVm, Object, ObjectStore, Order, OrderError, OrderKind,
    PlatformError, Runner, StoreEra, StoreRevision, TokioClock, WriteError,
};
use skylarkpick_lease::{Lease, LeaseSettings};
use skylarkpick_standin::{
    FakeRunner, MemoryConnector, MemoryPlatform, PlatformFaults, PlatformRates, RunnerSettings,
    WeightStore,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

const KEY: &str = "leases/planner/mnl-a";

fn platform() -> Arc<MemoryPlatform> {
    MemoryPlatform::open(Duration::ZERO, PlatformRates::default())
}

fn spawn(platform: &Arc<MemoryPlatform>, name: &str) -> Lease {
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    Lease::spawn(platform.clone(), clock, LeaseSettings::new(KEY, name), 7)
}

async fn wait(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// A platform fault, and whether the holder may send orders during and after it.
struct Case {
    name: &'static str,
    fault: fn(&mut PlatformFaults),
    /// Seconds since the start of the fault, and whether the holder has a permit then.
    expected: &'static [(f64, bool)],
    /// Whether the holder has a permit 3 s after the end of the fault.
    recovers: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "a write takes effect without a response",
        fault: |faults| faults.lost_write_responses = 1,
        expected: &[(0.5, true), (1.2, true), (3.0, true), (30.0, true)],
        recovers: true,
    },
    Case {
        name: "a write is lost before it takes effect",
        fault: |faults| faults.lost_writes = 1,
        expected: &[(0.5, true), (1.2, true), (3.0, true), (30.0, true)],
        recovers: true,
    },
    Case {
        name: "five writes take effect without a response",
        fault: |faults| faults.lost_write_responses = 5,
        expected: &[(0.5, true), (3.0, true), (30.0, true)],
        recovers: true,
    },
    Case {
        name: "an outage outlasts the term",
        fault: |faults| faults.unavailable = true,
        expected: &[(0.5, true), (2.5, true), (4.5, false), (600.0, false)],
        recovers: true,
    },
    Case {
        name: "the platform is slower than the call timeout",
        fault: |faults| faults.delay = Duration::from_secs(2),
        expected: &[(0.5, true), (4.5, false), (60.0, false)],
        recovers: true,
    },
];

#[tokio::test(start_paused = true)]
async fn holder_stops_within_its_term_and_recovers_after_a_fault() {
    for case in CASES {
        let platform = platform();
        let holder = spawn(&platform, "entry-1");
        wait(0.1).await;
        assert!(holder.permit().is_some(), "{}: the lease was not acquired", case.name);
        platform.set_faults(case.fault);
        let mut elapsed = 0.0;
        for (at, may_order) in case.expected {
            wait(at - elapsed).await;
            elapsed = *at;
            assert_eq!(holder.permit().is_some(), *may_order, "{} at {at} s", case.name);
        }
        platform.set_faults(|faults| *faults = PlatformFaults::default());
        wait(3.0).await;
        assert_eq!(holder.permit().is_some(), case.recovers, "{} after the fault", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn successor_waits_for_the_term_and_the_order_timeout() {
    let platform = platform();
    let first = spawn(&platform, "entry-1");
    wait(0.1).await;
    let first_number = first.permit().unwrap().fencing_number;
    let second = spawn(&platform, "entry-2");
    wait(20.0).await;
    assert!(first.permit().is_some() && second.permit().is_none());
    drop(first);
    wait(6.5).await;
    assert!(second.permit().is_none(), "the successor did not wait");
    wait(4.0).await;
    let second_number = second.permit().expect("the successor acquires the lease").fencing_number;
    assert!(second_number > first_number);
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_acquired_at_the_next_poll() {
    let platform = platform();
    let first = spawn(&platform, "entry-1");
    wait(0.1).await;
    let second = spawn(&platform, "entry-2");
    wait(3.0).await;
    first.release().await;
    wait(1.1).await;
    assert!(second.permit().is_some());
    assert_eq!(second.status().last_holder.as_deref(), Some("entry-2"));
}

/// A clock whose wall time can be stepped without any effect on its time since boot.
struct SteppingClock {
    inner: TokioClock,
    step_s: AtomicI64,
}

impl Clock for SteppingClock {
    fn since_boot(&self) -> Duration {
        self.inner.since_boot()
    }

    fn wall(&self) -> SystemTime {
        let step_s = self.step_s.load(Ordering::SeqCst);
        let step = Duration::from_secs(step_s.unsigned_abs());
        if step_s < 0 { self.inner.wall() - step } else { self.inner.wall() + step }
    }
}

#[tokio::test(start_paused = true)]
async fn wall_clock_steps_do_not_affect_the_lease() {
    for step_s in [-86_400, 86_400] {
        let platform = platform();
        let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
        let clock =
            Arc::new(SteppingClock { inner: TokioClock::start(start), step_s: AtomicI64::new(0) });
        let settings = LeaseSettings::new(KEY, "entry-1");
        let holder = Lease::spawn(platform.clone(), clock.clone(), settings, 7);
        wait(0.1).await;
        let other = spawn(&platform, "entry-2");
        wait(2.0).await;
        clock.step_s.store(step_s, Ordering::SeqCst);
        wait(5.0).await;
        assert!(holder.permit().is_some(), "a step of {step_s} s ended the lease");
        assert!(
            other.permit().is_none(),
            "a step of {step_s} s let another candidate acquire the lease"
        );
    }
}

/// A clock whose time since boot can jump ahead, as the tasks of a suspended VM see it.
struct JumpingClock {
    inner: TokioClock,
    jump_s: AtomicI64,
}

impl Clock for JumpingClock {
    fn since_boot(&self) -> Duration {
        let jump_s = self.jump_s.load(Ordering::SeqCst).unsigned_abs();
        self.inner.since_boot() + Duration::from_secs(jump_s)
    }

    fn wall(&self) -> SystemTime {
        self.inner.wall()
    }
}

#[tokio::test(start_paused = true)]
async fn paused_holder_gets_no_permit_until_it_renews() {
    let platform = platform();
    let clock = TokioClock::start(SystemTime::UNIX_EPOCH);
    let clock = Arc::new(JumpingClock { inner: clock, jump_s: AtomicI64::new(0) });
    let holder =
        Lease::spawn(platform.clone(), clock.clone(), LeaseSettings::new(KEY, "entry-1"), 7);
    wait(0.1).await;
    assert!(holder.permit().is_some());
    clock.jump_s.store(5, Ordering::SeqCst);
    assert!(holder.permit().is_none(), "the pause did not count towards the term");
    wait(2.0).await;
    assert!(holder.permit().is_some(), "nobody else acquired the lease, so the holder renews it");
}

/// A stale order of the previous holder, to a target that does or doesn't check fencing numbers.
struct StaleOrderCase {
    checks_fencing: bool,
    expected: Result<u64, OrderError>,
}

/// A target that checks fencing numbers rejects the stale order. One that ignores them executes it;
/// the current holder then reads the wrong state and repeats its own order.
#[tokio::test(start_paused = true)]
async fn stale_orders_are_rejected_or_overwritten() {
    let platform = platform();
    let first = spawn(&platform, "entry-1");
    wait(0.1).await;
    let stale_number = first.permit().unwrap().fencing_number;
    drop(first);
    let second = spawn(&platform, "entry-2");
    wait(12.0).await;
    let current_number = second.permit().unwrap().fencing_number;
    let cases = [
        StaleOrderCase { checks_fencing: true, expected: Err(OrderError::Fenced(current_number)) },
        StaleOrderCase { checks_fencing: false, expected: Ok(2) },
    ];
    for case in cases {
        let settings =
            RunnerSettings { checks_fencing: case.checks_fencing, ..RunnerSettings::default() };
        let model = settings.model.clone();
        let runner = FakeRunner::open(
            settings,
            MemoryConnector::open(),
            WeightStore::open(Duration::from_millis(100), 2),
        );
        let load = |fencing_number, weight_version| Order {
            fencing_number,
            kind: OrderKind::Load { model: model.clone(), weight_version, adapters: Vec::new() },
        };
        runner.order(load(current_number, 3)).await.unwrap();
        let outcome = runner.order(load(stale_number, 2)).await;
        let served = runner.status().await.unwrap().weight_version;
        assert_eq!(outcome.map(|()| served), case.expected);
        runner.order(load(current_number, 3)).await.unwrap();
        assert_eq!(runner.status().await.unwrap().weight_version, 3);
    }
}

#[tokio::test(start_paused = true)]
async fn undecodable_object_is_taken_over_after_the_longest_term() {
    let platform = platform();
    platform.put(KEY, None, b"not a lease".to_vec()).await.unwrap();
    let candidate = spawn(&platform, "entry-1");
    wait(299.0).await;
    assert!(candidate.permit().is_none());
    wait(5.0).await;
    assert!(candidate.permit().is_some());
}

/// A store in which only the era changes on a return, and every process learns it at once.
struct ReturningStore {
    platform: Arc<MemoryPlatform>,
    era: AtomicU64,
}

impl ReturningStore {
    fn of_this_era(&self, version: StoreRevision) -> StoreRevision {
        StoreRevision { era: self.known_era(), ..version }
    }
}

#[async_trait]
impl ObjectStore for ReturningStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let found = self.platform.get(key).await?;
        Ok(found.map(|it| Object { version: self.of_this_era(it.version), ..it }))
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
    ) -> Result<StoreRevision, WriteError> {
        let expected = expected.map(|it| StoreRevision { era: 0, ..it });
        Ok(self.of_this_era(self.platform.put(key, expected, value).await?))
    }

    async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), WriteError> {
        self.platform.delete(key, StoreRevision { era: 0, ..expected }).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        count_limit: usize,
    ) -> Result<Vec<ListedObject>, PlatformError> {
        self.platform.list(prefix, after, count_limit).await
    }

    async fn watch(
        &self,
        key: &str,
        seen: StoreRevision,
        timeout: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.platform.watch(key, seen, timeout).await
    }

    fn known_era(&self) -> StoreEra {
        self.era.load(Ordering::SeqCst)
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.platform.list_vms().await
    }
}

#[tokio::test(start_paused = true)]
async fn response_of_another_call_that_names_a_new_era_ends_the_lease_at_once() {
    let store = Arc::new(ReturningStore { platform: platform(), era: AtomicU64::new(0) });
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    let settings = LeaseSettings {
        machine: Some("vm-1".to_string()),
        machine_gap: Duration::from_secs(3),
        ..LeaseSettings::new(KEY, "entry-1")
    };
    let holder = Lease::spawn(store.clone(), clock, settings, 7);
    wait(10.0).await;
    let before = holder.permit().expect("the lease is held").fencing_number;
    for era in 1..=3 {
        store.era.store(era, Ordering::SeqCst);
        let ends_tenure_first = era % 2 == 0;
        if ends_tenure_first {
            assert!(holder.tenure().is_none(), "era {era}");
        }
        assert!(holder.permit().is_none() && holder.tenure().is_none(), "era {era}");
        // The term and the order timeout, and the gap after the term.
        wait(7.9).await;
        assert!(holder.tenure().is_none(), "era {era}: acquired too early");
        wait(0.2).await;
        assert!(holder.tenure().is_some() && holder.permit().is_none(), "era {era}");
        wait(1.0).await;
        let after = holder.permit().expect("the lease is held again").fencing_number;
        assert!(after > before && after >> 40 == era, "era {era}: {after} after {before}");
    }
}

#[tokio::test(start_paused = true)]
async fn calls_for_a_lease_are_the_same_with_and_without_eras() {
    let mut calls = Vec::new();
    for era in [0, 4] {
        let platform = platform();
        let store =
            Arc::new(ReturningStore { platform: platform.clone(), era: AtomicU64::new(era) });
        let spawn = |name: &str| {
            let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
            Lease::spawn(store.clone(), clock, LeaseSettings::new(KEY, name), 7)
        };
        let (first, second) = (spawn("entry-1"), spawn("entry-2"));
        wait(20.5).await;
        let before = platform.calls();
        wait(60.0).await;
        assert_eq!(first.permit().is_some(), second.permit().is_none());
        let after = platform.calls();
        calls.push((after.reads - before.reads, after.writes - before.writes));
    }
    assert_eq!(calls[0], calls[1]);
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_stands_back_leaves_the_lease_to_another_candidate() {
    let platform = platform();
    let (first, second) = (spawn(&platform, "entry-1"), spawn(&platform, "entry-2"));
    wait(0.1).await;
    let (holder, other) = if first.permit().is_some() { (first, second) } else { (second, first) };
    let has_permit = async |lease: &Lease, seconds: u32| {
        let mut has_permit = false;
        for _ in 0..seconds * 100 {
            let both = holder.permit().is_some() && other.permit().is_some();
            assert!(!both, "two permits at once");
            has_permit |= lease.permit().is_some();
            wait(0.01).await;
        }
        has_permit && lease.permit().is_some()
    };
    assert!(has_permit(&holder, 5).await, "nobody stands back");
    holder.stand_back(true);
    assert!(has_permit(&other, 12).await, "the other candidate acquires it");
    holder.stand_back(false);
    assert!(has_permit(&other, 12).await, "the holder renews it");
    other.stand_back(true);
    assert!(has_permit(&holder, 12).await, "it goes back");
}
