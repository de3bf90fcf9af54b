//! Number of processes that share the additional retries of the fleet.

use std::time::Duration;

/// Smallest number of processes that is assumed: after a start, some may not be listed yet.
const PROCESSES_FLOOR: u32 = 8;
/// Time for which a larger number stays in force. Processes that can't reach the platform are removed
/// from its list while they still serve.
const LARGEST_NUMBER_LIFETIME: Duration = Duration::from_secs(600);

/// Number of processes that share the additional retries of the fleet, by the platform's list.
///
/// ```
/// use skylarkpick_schedule::SharingProcesses;
/// use std::time::Duration;
/// let window = Duration::from_secs(10);
/// let mut processes = SharingProcesses::open(window, Duration::ZERO);
/// processes.set_listed(12, Duration::from_secs(1));
/// processes.note_current(Duration::from_secs(9));
/// assert_eq!(processes.number(Duration::from_secs(9)), None, "it has just started");
/// assert_eq!(processes.number(Duration::from_secs(10)), Some(12));
/// assert_eq!(processes.number(Duration::from_secs(20)), None, "the list may be outdated");
/// ```
#[derive(Clone, Debug)]
pub struct SharingProcesses {
    window: Duration,
    started_at: Duration,
    largest: u32,
    largest_at: Duration,
    current_at: Option<Duration>,
}

impl SharingProcesses {
    /// Opens the number at the start of a process that knows no others.
    pub fn open(window: Duration, now: Duration) -> SharingProcesses {
        SharingProcesses {
            window,
            started_at: now,
            largest: PROCESSES_FLOOR,
            largest_at: now,
            current_at: None,
        }
    }

    /// Applies the number of listed processes.
    pub fn set_listed(&mut self, number: u32, now: Duration) {
        let number = number.max(PROCESSES_FLOOR);
        if number >= self.largest || now >= self.largest_at + LARGEST_NUMBER_LIFETIME {
            self.largest = number;
            self.largest_at = now;
        }
    }

    /// Records that the list was current at a time.
    pub fn note_current(&mut self, at: Duration) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns the time from which on the process has a part of the additional retries.
    pub fn certain_from(&self) -> Duration {
        self.started_at + self.window
    }

    /// Returns the number, or `None` while it is not certain: within a window after the start, in
    /// which the start before may have spent the share and others may not be listed yet, and a window
    /// after the list was last known to be current.
    pub fn number(&self, now: Duration) -> Option<u32> {
        let is_current = now < self.current_at? + self.window;
        let is_listed = now >= self.certain_from();
        (is_current && is_listed).then_some(self.largest)
    }
}
