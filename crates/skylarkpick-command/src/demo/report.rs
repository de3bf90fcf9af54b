//! Report of the demo, as a table and as JSON.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeSet;

/// Results of the demo. The `rename` attributes keep the keys of the JSON output stable.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Report {
    /// Requests that received a complete response.
    #[serde(rename = "whole")]
    pub(crate) complete: u64,
    /// Requests that failed and did not run.
    pub(crate) not_run: u64,
    /// Requests that failed and may have run.
    pub(crate) unknown: u64,
    /// Bookings that ran more than once, although at most one run is allowed.
    #[serde(rename = "doubled")]
    pub(crate) duplicated: u64,
    /// Bookings that were confirmed but never ran.
    pub(crate) lost: u64,
    /// Median time to first token.
    pub(crate) first_token_p50_ms: f64,
    /// 95th percentile of the time to first token.
    pub(crate) first_token_p95_ms: f64,
    /// Share of the prompt tokens of complete responses that were not read from a cache.
    pub(crate) recomputed_share: f64,
    /// Bytes transferred over the links of the stores.
    pub(crate) link_bytes: u64,
    /// Maximum number of concurrent weight loads.
    #[serde(rename = "loads_at_once")]
    pub(crate) peak_concurrent_loads: u32,
    /// Newest active configuration version at the end.
    pub(crate) configuration_version: u64,
    /// Entry processes on which that version is active.
    #[serde(rename = "in_force_on")]
    pub(crate) active_on: usize,
    /// Entry processes that are running at the end.
    pub(crate) entries: usize,
    /// Distinct reasons of failed requests.
    pub(crate) reasons: BTreeSet<String>,
    /// Guarantees that were violated.
    #[serde(rename = "broken")]
    pub(crate) violations: Vec<String>,
}

impl Report {
    /// Sets the percentiles of the time to first token.
    pub(crate) fn set_first_tokens(&mut self, times_us: &[u64]) {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return };
        for time_us in times_us {
            // Cannot fail: the histogram resizes itself to fit any value.
            let _ = histogram.record(*time_us);
        }
        self.first_token_p50_ms = histogram.value_at_quantile(0.5) as f64 / 1_000.0;
        self.first_token_p95_ms = histogram.value_at_quantile(0.95) as f64 / 1_000.0;
    }

    /// Formats the report as a table.
    pub(crate) fn table(&self) -> String {
        let rows = [
            ("time to first token p50", format!("{:.1} ms", self.first_token_p50_ms)),
            ("time to first token p95", format!("{:.1} ms", self.first_token_p95_ms)),
            ("recomputed share", format!("{:.3}", self.recomputed_share)),
            ("link bytes", self.link_bytes.to_string()),
            ("complete responses", self.complete.to_string()),
            ("failed, did not run", self.not_run.to_string()),
            ("failed, may have run", self.unknown.to_string()),
            ("bookings run more than once", self.duplicated.to_string()),
            ("bookings lost", self.lost.to_string()),
            ("peak concurrent loads", self.peak_concurrent_loads.to_string()),
            (
                "active configuration",
                format!(
                    "version {} on {} of {}",
                    self.configuration_version, self.active_on, self.entries
                ),
            ),
        ];
        let mut table: String =
            rows.iter().map(|(name, value)| format!("{name:<28}{value}\n")).collect();
        for reason in &self.reasons {
            table.push_str(&format!("reason: {reason}\n"));
        }
        for violation in &self.violations {
            table.push_str(&format!("VIOLATED: {violation}\n"));
        }
        if self.violations.is_empty() {
            table.push_str("all checked guarantees held");
        }
        table
    }
}
