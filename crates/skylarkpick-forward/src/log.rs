//! Rate limits for log lines about requests, records, notices and targets, and values of their fields.

use skylarkpick_schedule::PlannedTransfer;
use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Maximum number of such lines per second. The planned load of a process is below 60 requests per
/// second, with three lines each.
const LINES_PER_SECOND: u32 = 200;

struct Window {
    began: Option<Instant>,
    lines: u32,
    dropped: u64,
}

static WINDOW: Mutex<Window> = Mutex::new(Window { began: None, lines: 0, dropped: 0 });

/// Returns whether another line may be written in the current second. The number of dropped lines is logged
/// with the first line of the next second.
pub(crate) fn is_line_allowed() -> bool {
    let mut window = WINDOW.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let is_over = window.began.is_none_or(|began| now >= began + Duration::from_secs(1));
    if is_over {
        let dropped = std::mem::take(&mut window.dropped);
        window.began = Some(now);
        window.lines = 0;
        if dropped > 0 {
            spdlog::warn!("log lines dropped by the rate limit", kv: { dropped });
        }
    }
    window.lines += 1;
    let is_allowed = window.lines <= LINES_PER_SECOND;
    window.dropped += u64::from(!is_allowed);
    is_allowed
}

/// Shortest time between two lines about the same matter of a target.
const MATTER_INTERVAL: Duration = Duration::from_secs(60);
/// Number of matters that are kept; further ones are not logged meanwhile.
const MATTERS_LIMIT: usize = 2_048;

/// Limit for lines that would come with every answer of a target: one a minute for each matter.
pub(crate) struct MatterLog<K>(Mutex<BTreeMap<K, Duration>>);

impl<K> Default for MatterLog<K> {
    fn default() -> MatterLog<K> {
        MatterLog(Mutex::new(BTreeMap::new()))
    }
}

impl<K: Ord> MatterLog<K> {
    /// Returns whether a line about a matter is to be written now.
    pub(crate) fn is_due(&self, matter: K, now: Duration) -> bool {
        let mut logged = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: &Duration| now < *at + MATTER_INTERVAL;
        if logged.get(&matter).is_some_and(is_recent) {
            return false;
        }
        if logged.len() >= MATTERS_LIMIT {
            logged.retain(|_, at| is_recent(at));
        }
        let is_due = logged.len() < MATTERS_LIMIT;
        if is_due {
            logged.insert(matter, now);
        }
        is_due
    }
}

/// Returns an age for a log line; -1 if there is none.
pub(crate) fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// Transfers that a log line lists.
const LISTED_TRANSFERS_LIMIT: usize = 4;

/// Returns the first few transfers for a log line, each as its tokens and its source.
pub(crate) fn transfer_sources(transfers: &[PlannedTransfer]) -> String {
    let listed = transfers.iter().take(LISTED_TRANSFERS_LIMIT);
    listed.map(|it| format!("{} from {}", it.tokens, it.source)).collect::<Vec<_>>().join(", ")
}

/// Writes an info line unless the rate limit is reached.
macro_rules! request_log {
    ($($arguments:tt)*) => {
        if $crate::log::is_line_allowed() {
            spdlog::info!($($arguments)*);
        }
    };
}

pub(crate) use request_log;
