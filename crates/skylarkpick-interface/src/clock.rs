//! Clock for leases, deadlines and timestamps.

use std::time::{Duration, SystemTime};

/// Source of time, injected so that tests can control it.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since an arbitrary start, including time spent suspended.
    fn since_boot(&self) -> Duration;

    /// Returns the wall-clock time, for records and retention only; it may jump forward or back.
    fn wall(&self) -> SystemTime;
}

/// System clock. Reads `CLOCK_BOOTTIME`, which includes time spent suspended.
///
/// ```
/// use skylarkpick_interface::{BootClock, Clock};
/// let clock = BootClock;
/// let first = clock.since_boot();
/// assert!(clock.since_boot() >= first);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock based on tokio's time, which tests can pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    started: tokio::time::Instant,
    wall_at_start: SystemTime,
}

impl TokioClock {
    /// Starts a clock whose current wall time is `wall_at_start`.
    pub fn start(wall_at_start: SystemTime) -> TokioClock {
        TokioClock { started: tokio::time::Instant::now(), wall_at_start }
    }
}

impl Clock for TokioClock {
    fn since_boot(&self) -> Duration {
        self.started.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall_at_start + self.started.elapsed()
    }
}
