//! Bounds the lines that requests and beliefs write to the log.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Lines a second that requests may write; the planned load of one process is under 60 requests
/// a second at three lines each.
const LINES_PER_SECOND: u32 = 200;

struct Window {
    began: Option<Instant>,
    lines: u32,
    dropped: u64,
}

static WINDOW: Mutex<Window> = Mutex::new(Window { began: None, lines: 0, dropped: 0 });

/// Whether one more line may be written in this second. What was dropped is told with the next
/// second's first line.
pub(crate) fn is_line_allowed() -> bool {
    let mut window = WINDOW.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let is_over = window.began.is_none_or(|began| now >= began + Duration::from_secs(1));
    if is_over {
        let dropped = std::mem::take(&mut window.dropped);
        window.began = Some(now);
        window.lines = 0;
        if dropped > 0 {
            spdlog::warn!("log lines were dropped", kv: { dropped });
        }
    }
    window.lines += 1;
    let is_allowed = window.lines <= LINES_PER_SECOND;
    window.dropped += u64::from(!is_allowed);
    is_allowed
}

/// Writes a line about a request, within the bound on lines.
macro_rules! request_log {
    ($($arguments:tt)*) => {
        if $crate::log::is_line_allowed() {
            spdlog::info!($($arguments)*);
        }
    };
}

pub(crate) use request_log;
