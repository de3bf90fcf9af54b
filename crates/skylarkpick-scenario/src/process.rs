//! The run state and the clock of a simulated process.

use skylarkpick_interface::{Clock, TokioClock};
use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::sync::watch;

/// The run state of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunState {
    /// The process runs.
    Running,
    /// The process is suspended until it is resumed, and keeps its memory.
    Paused,
    /// The process has ended; this state is final.
    Dead,
}

/// Controls the run state of a process. All calls from the process and to it wait here until it
/// runs, so that a paused process acts late and a dead one not at all.
#[derive(Clone)]
pub(crate) struct ProcessControl {
    state: Arc<watch::Sender<RunState>>,
}

impl ProcessControl {
    pub(crate) fn start() -> ProcessControl {
        ProcessControl { state: Arc::new(watch::channel(RunState::Running).0) }
    }

    pub(crate) fn set(&self, state: RunState) {
        self.state.send_modify(|current| {
            if *current != RunState::Dead {
                *current = state;
            }
        });
    }

    pub(crate) fn state(&self) -> RunState {
        *self.state.borrow()
    }

    /// Returns once the process runs; never returns if it is dead.
    pub(crate) async fn wait_until_running(&self) {
        let mut state = self.state.subscribe();
        let running = state.wait_for(|state| *state == RunState::Running).await.is_ok();
        if !running {
            std::future::pending::<()>().await;
        }
    }

    /// Returns once the process is dead.
    pub(crate) async fn wait_until_dead(&self) {
        let mut state = self.state.subscribe();
        // The wait cannot fail: `self` owns the sender.
        let _ = state.wait_for(|state| *state == RunState::Dead).await;
    }
}

/// Clock of a process. Its wall clock time can be stepped, while its monotonic time cannot.
pub(crate) struct SteppedClock {
    clock: TokioClock,
    step_ms: AtomicI64,
}

impl SteppedClock {
    pub(crate) fn start() -> Arc<SteppedClock> {
        let clock = TokioClock::start(SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000));
        Arc::new(SteppedClock { clock, step_ms: AtomicI64::new(0) })
    }

    pub(crate) fn step(&self, step_ms: i64) {
        self.step_ms.fetch_add(step_ms, Ordering::SeqCst);
    }
}

impl Clock for SteppedClock {
    fn since_boot(&self) -> Duration {
        self.clock.since_boot()
    }

    fn wall(&self) -> SystemTime {
        let step_ms = self.step_ms.load(Ordering::SeqCst);
        let step = Duration::from_millis(step_ms.unsigned_abs());
        let wall = self.clock.wall();
        if step_ms < 0 { wall - step } else { wall + step }
    }
}
