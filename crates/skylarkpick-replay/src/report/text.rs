//! Formats replay reports as text tables.

use crate::{metrics::Metrics, outcome::OutcomeCheck, replay::ReplayReport};
use std::fmt::Write;

/// Bytes in a gigabyte.
const GIGABYTE: f64 = 1e9;

/// Titles of the columns after the name of the policy.
pub(super) const COLUMN_TITLES: [&str; 8] =
    ["p50 ms", "p95 ms", "p99 ms", "recomputed", "link GB", "peak", "refused", "fairness"];

/// Formats each report as a text table, followed by its checked outcomes.
pub fn text_table(replays: &[ReplayReport]) -> String {
    let mut text = String::new();
    for replay in replays {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}: {}", replay.trace, replay.description);
        let _ = write!(text, "    {:<14}", "");
        COLUMN_TITLES.iter().for_each(|title| text.push_str(&format!("{title:>12}")));
        text.push('\n');
        for (policy, metrics) in &replay.measures {
            let _ = write!(text, "    {:<14}", policy.name());
            metric_cells(metrics).iter().for_each(|cell| text.push_str(&format!("{cell:>12}")));
            text.push('\n');
        }
        let _ = write!(text, "    {:<14}", "floor");
        floor_cells(replay).iter().for_each(|cell| text.push_str(&format!("{cell:>12}")));
        text.push('\n');
        replay.outcomes.iter().for_each(|outcome| {
            let _ = writeln!(text, "    {}", outcome_line(outcome));
        });
        text.push('\n');
    }
    text
}

/// Formats the metrics of one policy, in the order of the column titles.
pub(super) fn metric_cells(metrics: &Metrics) -> [String; 8] {
    [
        format!("{:.1}", metrics.first_token_p50_ms),
        format!("{:.1}", metrics.first_token_p95_ms),
        format!("{:.1}", metrics.first_token_p99_ms),
        format!("{:.4}", metrics.recomputed_share),
        format!("{:.1}", metrics.link_bytes as f64 / GIGABYTE),
        format!("{:.3}", metrics.link_peak_share),
        metrics.refusals.to_string(),
        format!("{:.3}", metrics.fairness),
    ]
}

/// Formats the floors in the order of the column titles, with `-` for metrics without a floor.
pub(super) fn floor_cells(replay: &ReplayReport) -> [String; 8] {
    let floors = &replay.floors;
    let none = || "-".to_string();
    [
        format!("{:.1}", floors.first_token_p50_ms),
        format!("{:.1}", floors.first_token_p95_ms),
        format!("{:.1}", floors.first_token_p99_ms),
        format!("{:.4}", floors.recomputed_share),
        none(),
        none(),
        none(),
        none(),
    ]
}

/// Formats one checked outcome.
pub(super) fn outcome_line(check: &OutcomeCheck) -> String {
    let verdict = if check.holds { "holds " } else { "BROKEN" };
    let name = |value: Result<serde_json::Value, serde_json::Error>| {
        value.ok().and_then(|value| value.as_str().map(str::to_string)).unwrap_or_default()
    };
    let measure = name(serde_json::to_value(check.outcome.measure));
    let mut line = format!("{verdict} {measure} = {:.4}", check.found);
    let bounds = [("at most", check.outcome.at_most), ("at least", check.outcome.at_least)];
    for (word, bound) in bounds {
        if let Some(bound) = bound {
            line.push_str(&format!(", {word} {bound}"));
        }
    }
    if let Some(times) = check.outcome.times {
        let reference = name(serde_json::to_value(times));
        let value = check.reference.map_or("unknown".to_string(), |value| format!("{value:.4}"));
        line.push_str(&format!(" x {reference} {value}"));
        if let Some(value) = check.reference.filter(|value| *value > 0.0) {
            line.push_str(&format!(" (ratio {:.3})", check.found / value));
        }
    }
    line
}
