//! What the demo saw, as a table and as JSON.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeSet;

/// What the demo saw.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Report {
    /// Requests that got their whole answer.
    pub(crate) whole: u64,
    /// Requests that were refused, truly not run.
    pub(crate) not_run: u64,
    /// Requests that ended with an unknown outcome.
    pub(crate) unknown: u64,
    /// Calls that must run at most once and ran more often.
    pub(crate) doubled: u64,
    /// Requests without any answer, and calls that were confirmed but never ran.
    pub(crate) lost: u64,
    /// Time to first token at the median.
    pub(crate) first_token_p50_ms: f64,
    /// Time to first token for 95 in 100.
    pub(crate) first_token_p95_ms: f64,
    /// Share of prompt tokens that were computed again although computed before.
    pub(crate) recomputed_share: f64,
    /// Bytes over the links of the stores.
    pub(crate) link_bytes: u64,
    /// Most weights that were loaded at once.
    pub(crate) loads_at_once: u32,
    /// Version in force at the end.
    pub(crate) configuration_version: u64,
    /// Entry processes in which it is in force.
    pub(crate) in_force_on: usize,
    /// Entry processes that run at the end.
    pub(crate) entries: usize,
    /// Reasons that callers were given, each once.
    pub(crate) reasons: BTreeSet<String>,
    /// Promises that were broken.
    pub(crate) broken: Vec<String>,
}

impl Report {
    /// Fills in the times to first token, in microseconds.
    pub(crate) fn set_first_tokens(&mut self, times_us: &[u64]) {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return };
        for time_us in times_us {
            // An automatically resized histogram takes every value.
            let _ = histogram.record(*time_us);
        }
        self.first_token_p50_ms = histogram.value_at_quantile(0.5) as f64 / 1_000.0;
        self.first_token_p95_ms = histogram.value_at_quantile(0.95) as f64 / 1_000.0;
    }

    /// The report as a table.
    pub(crate) fn table(&self) -> String {
        let rows = [
            ("time to first token p50", format!("{:.1} ms", self.first_token_p50_ms)),
            ("time to first token p95", format!("{:.1} ms", self.first_token_p95_ms)),
            ("recomputed share", format!("{:.3}", self.recomputed_share)),
            ("link bytes", self.link_bytes.to_string()),
            ("requests whole", self.whole.to_string()),
            ("requests refused, not run", self.not_run.to_string()),
            ("requests unknown", self.unknown.to_string()),
            ("doubled", self.doubled.to_string()),
            ("lost", self.lost.to_string()),
            ("loads at once, most", self.loads_at_once.to_string()),
            (
                "configuration in force",
                format!(
                    "version {} on {} of {}",
                    self.configuration_version, self.in_force_on, self.entries
                ),
            ),
        ];
        let mut table: String =
            rows.iter().map(|(name, value)| format!("{name:<28}{value}\n")).collect();
        for reason in &self.reasons {
            table.push_str(&format!("reason: {reason}\n"));
        }
        for broken in &self.broken {
            table.push_str(&format!("BROKEN: {broken}\n"));
        }
        if self.broken.is_empty() {
            table.push_str("every promise that was checked held");
        }
        table
    }
}
