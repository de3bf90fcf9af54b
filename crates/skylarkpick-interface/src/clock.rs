//! The clock that leases and deadlines are counted on.

use std::time::{Duration, SystemTime};

/// Source of time, injected so that tests decide what time it is.
pub trait Clock: Send + Sync {
    /// Time since an arbitrary start, counted on while the machine is suspended.
    fn since_boot(&self) -> Duration;

    /// Wall-clock time, for records and retention only; it may step in either direction.
    fn wall(&self) -> SystemTime;
}

/// Clock of the machine. Counts on `CLOCK_BOOTTIME`, which includes suspension.
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

/// Clock that follows tokio's time, which a test can pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    started: tokio::time::Instant,
    wall_at_start: SystemTime,
}

impl TokioClock {
    /// Starts a clock whose wall time is `wall_at_start` now.
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
