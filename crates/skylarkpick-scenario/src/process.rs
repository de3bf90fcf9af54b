//! Whether a process runs, and its clock.

use skylarkpick_interface::{Clock, TokioClock};
use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::sync::watch;

/// Whether a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifeState {
    /// It runs.
    Running,
    /// It does nothing until it is resumed; its memory stays.
    Paused,
    /// It never does anything again.
    Dead,
}

/// Life of one process. Everything that the process does to the outside passes here, so that a
/// paused process acts late and a dead one not at all.
#[derive(Clone)]
pub(crate) struct Life {
    state: Arc<watch::Sender<LifeState>>,
}

impl Life {
    pub(crate) fn begin() -> Life {
        Life { state: Arc::new(watch::channel(LifeState::Running).0) }
    }

    pub(crate) fn set(&self, state: LifeState) {
        self.state.send_modify(|current| {
            if *current != LifeState::Dead {
                *current = state;
            }
        });
    }

    pub(crate) fn state(&self) -> LifeState {
        *self.state.borrow()
    }

    /// Returns once the process runs; never for a dead one.
    pub(crate) async fn pass(&self) {
        let mut state = self.state.subscribe();
        let running = state.wait_for(|state| *state == LifeState::Running).await.is_ok();
        if !running {
            std::future::pending::<()>().await;
        }
    }

    /// Returns once the process is dead.
    pub(crate) async fn wait_dead(&self) {
        let mut state = self.state.subscribe();
        // The sender lives as long as this life.
        let _ = state.wait_for(|state| *state == LifeState::Dead).await;
    }
}

/// Clock of a process, whose wall time can be stepped.
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
