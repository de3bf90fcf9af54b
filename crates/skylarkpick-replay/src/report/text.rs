//! Replays as a text table.

use crate::{measure::Metrics, outcome::OutcomeCheck, replay::ReplayReport};
use std::fmt::Write;

/// Bytes in a gigabyte.
const GIGABYTE: f64 = 1e9;

/// Heads of the columns after the policy's name.
pub(super) const HEADS: [&str; 8] =
    ["p50 ms", "p95 ms", "p99 ms", "recomputed", "link GB", "peak", "refused", "fairness"];

/// Replays as a text table with their outcomes.
pub fn text_table(replays: &[ReplayReport]) -> String {
    let mut text = String::new();
    for replay in replays {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{}: {}", replay.trace, replay.description);
        let _ = write!(text, "    {:<14}", "");
        HEADS.iter().for_each(|head| text.push_str(&format!("{head:>12}")));
        text.push('\n');
        for (policy, measures) in &replay.measures {
            let _ = write!(text, "    {:<14}", policy.name());
            cells(measures).iter().for_each(|cell| text.push_str(&format!("{cell:>12}")));
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

/// Figures of one policy in the order of the heads.
pub(super) fn cells(measures: &Metrics) -> [String; 8] {
    [
        format!("{:.1}", measures.first_token_p50_ms),
        format!("{:.1}", measures.first_token_p95_ms),
        format!("{:.1}", measures.first_token_p99_ms),
        format!("{:.4}", measures.recomputed_share),
        format!("{:.1}", measures.link_bytes as f64 / GIGABYTE),
        format!("{:.3}", measures.link_peak_share),
        measures.refusals.to_string(),
        format!("{:.3}", measures.fairness),
    ]
}

/// Floors in the order of the heads, where there are any.
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

/// One outcome with its verdict.
pub(super) fn outcome_line(judged: &OutcomeCheck) -> String {
    let verdict = if judged.holds { "holds " } else { "BROKEN" };
    let name = |value: Result<serde_json::Value, serde_json::Error>| {
        value.ok().and_then(|value| value.as_str().map(str::to_string)).unwrap_or_default()
    };
    let measure = name(serde_json::to_value(judged.outcome.measure));
    let mut line = format!("{verdict} {measure} = {:.4}", judged.found);
    let bounds = [("at most", judged.outcome.at_most), ("at least", judged.outcome.at_least)];
    for (word, bound) in bounds {
        if let Some(bound) = bound {
            line.push_str(&format!(", {word} {bound}"));
        }
    }
    if let Some(times) = judged.outcome.times {
        let reference = name(serde_json::to_value(times));
        let value = judged.reference.map_or("unknown".to_string(), |value| format!("{value:.4}"));
        line.push_str(&format!(" x {reference} {value}"));
        if let Some(value) = judged.reference.filter(|value| *value > 0.0) {
            line.push_str(&format!(" (ratio {:.3})", judged.found / value));
        }
    }
    line
}
