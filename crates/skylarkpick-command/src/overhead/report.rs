//! Report of the measurement, and its check against the performance targets.

use serde::Serialize;

/// Upper bound for the latency that an entry process adds at the median.
const ADDED_P50_TARGET_US: i64 = 1_000;
/// Upper bound for the resident memory of an idle entry process.
const IDLE_MEMORY_TARGET_BYTES: u64 = 64 * 1_048_576;

/// Request counts and times to first token on one path.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct PathTimes {
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    pub(crate) p50_us: u64,
    pub(crate) p95_us: u64,
    pub(crate) p99_us: u64,
}

/// Results of the measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OverheadReport {
    pub(crate) requests_per_second: u32,
    pub(crate) direct: PathTimes,
    pub(crate) entry: PathTimes,
    /// Resident memory of this process, including the stand-ins, before the load.
    pub(crate) idle_memory_bytes: u64,
}

impl OverheadReport {
    /// Returns the latency that the entry process adds at the median.
    pub(crate) fn added_p50_us(&self) -> i64 {
        self.entry.p50_us as i64 - self.direct.p50_us as i64
    }

    /// Returns whether every request received a complete response.
    pub(crate) fn is_complete(&self) -> bool {
        self.direct.failed + self.entry.failed == 0
    }

    /// Returns whether both performance targets are met.
    pub(crate) fn meets_targets(&self) -> bool {
        self.added_p50_us() < ADDED_P50_TARGET_US
            && self.idle_memory_bytes < IDLE_MEMORY_TARGET_BYTES
    }

    /// Formats the report as a table.
    pub(crate) fn table(&self) -> String {
        let row = |name: &str, times: &PathTimes| {
            format!(
                "{name:<10} {:>9} {:>7} {:>9} {:>9} {:>9}",
                times.answered, times.failed, times.p50_us, times.p95_us, times.p99_us
            )
        };
        let memory_mb = self.idle_memory_bytes as f64 / 1_048_576.0;
        [
            format!(
                "{:<10} {:>9} {:>7} {:>9} {:>9} {:>9}",
                "path", "answered", "failed", "p50 us", "p95 us", "p99 us"
            ),
            row("direct", &self.direct),
            row("entry", &self.entry),
            format!(
                "added at the median: {} us at {} requests per second (target: under {} us)",
                self.added_p50_us(),
                self.requests_per_second,
                ADDED_P50_TARGET_US
            ),
            format!("idle memory, stand-ins included: {memory_mb:.1} MB (target: under 64 MB)"),
        ]
        .join("\n")
    }
}
