//! Rate limit for log lines about requests, records and notices, and values of their fields.

use skylarkpick_schedule::PlannedTransfer;
use std::{
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
