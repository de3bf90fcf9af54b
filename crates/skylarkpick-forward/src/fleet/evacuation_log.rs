//! Limit for lines about evacuations. They don't count against the limit of lines about requests, which
//! may be used up when an evacuation begins under load.

use std::time::Duration;

/// Period of the limit, and the number of lines in it. An operator evacuates a few data centres; a faulty
/// one might write thousands of objects.
const PERIOD: Duration = Duration::from_secs(10);
const LINES_PER_PERIOD: u32 = 20;

/// Lines of the current period.
#[derive(Debug, Default)]
pub(crate) struct EvacuationLog {
    began: Option<Duration>,
    lines: u32,
}

impl EvacuationLog {
    /// Returns whether a line may be written now.
    pub(super) fn is_line_allowed(&mut self, now: Duration) -> bool {
        if self.began.is_none_or(|began| now >= began + PERIOD) {
            *self = EvacuationLog { began: Some(now), lines: 0 };
        }
        self.lines += 1;
        self.lines <= LINES_PER_PERIOD
    }
}
