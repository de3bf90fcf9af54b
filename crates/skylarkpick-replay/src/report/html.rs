//! Formats replay reports as one HTML file with plots.

use super::text::{COLUMN_TITLES, floor_cells, metric_cells, outcome_line};
use crate::replay::ReplayReport;
use plotters::prelude::*;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (560, 260);
/// Colours of the bars, one for each policy.
const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 95, 135),
    RGBColor(170, 170, 170),
    RGBColor(140, 140, 140),
    RGBColor(110, 110, 110),
    RGBColor(200, 130, 60),
];

/// Formats replay reports as one HTML file with plots.
///
/// # Errors
/// Returns an error if a plot cannot be drawn.
pub fn html_report(replays: &[ReplayReport]) -> anyhow::Result<String> {
    let mut html = String::from(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>skylarkpick replay</title>\n\
         <style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
         td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
         .broken{color:#b00}</style>\n<h1>skylarkpick replay</h1>\n",
    );
    for replay in replays {
        html.push_str(&format!(
            "<h2>{}</h2>\n<p>{}</p>\n",
            escape(&replay.trace),
            escape(&replay.description)
        ));
        html.push_str(&table(replay));
        html.push_str(&outcomes(replay));
        let first_token = |policy: &crate::Metrics| policy.first_token_p95_ms;
        let floor = replay.floors.first_token_p95_ms;
        html.push_str(&bars(replay, "time to first token, p95, ms", first_token, floor)?);
        let recomputed = |policy: &crate::Metrics| 100.0 * policy.recomputed_share;
        let floor = 100.0 * replay.floors.recomputed_share;
        html.push_str(&bars(replay, "recomputed share, %", recomputed, floor)?);
    }
    Ok(html)
}

fn table(replay: &ReplayReport) -> String {
    let table_row = |name: &str, cells: &[String]| {
        let cells: String = cells.iter().map(|cell| format!("<td>{cell}</td>")).collect();
        format!("<tr><th>{name}</th>{cells}</tr>\n")
    };
    let titles: String = COLUMN_TITLES.iter().map(|title| format!("<th>{title}</th>")).collect();
    let mut table = format!("<table>\n<tr><th></th>{titles}</tr>\n");
    for (policy, metrics) in &replay.measures {
        table.push_str(&table_row(policy.name(), &metric_cells(metrics)));
    }
    table + &table_row("floor", &floor_cells(replay)) + "</table>\n"
}

fn outcomes(replay: &ReplayReport) -> String {
    let mut list = String::from("<ul>\n");
    for outcome in &replay.outcomes {
        let class = if outcome.holds { "holds" } else { "broken" };
        let line = escape(&outcome_line(outcome));
        list.push_str(&format!("<li class=\"{class}\">{line}</li>\n"));
    }
    list + "</ul>\n"
}

/// Draws a bar for each policy and a line for the floor.
fn bars(
    replay: &ReplayReport,
    title: &str,
    value: impl Fn(&crate::Metrics) -> f64,
    floor: f64,
) -> anyhow::Result<String> {
    let values: Vec<(&str, f64)> =
        replay.measures.iter().map(|(policy, metrics)| (policy.name(), value(metrics))).collect();
    let highest = values.iter().map(|(_, value)| *value).fold(floor, f64::max).max(1e-9);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let count = values.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..count, 0.0..highest * 1.1)?;
        let name = |position: &f64| {
            let is_middle = (position.fract() - 0.5).abs() < 0.01;
            let value = values.get(*position as usize).filter(|_| is_middle);
            value.map_or(String::new(), |(name, _)| name.to_string())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * values.len() + 1)
            .x_label_formatter(&name)
            .draw()?;
        let bars = values.iter().enumerate().map(|(index, (_, value))| {
            let corners = [(index as f64 + 0.15, 0.0), (index as f64 + 0.85, *value)];
            Rectangle::new(corners, COLOURS[index % COLOURS.len()].filled())
        });
        chart.draw_series(bars)?;
        chart.draw_series(LineSeries::new([(0.0, floor), (count, floor)], &RED))?;
        area.present()?;
    }
    Ok(svg + "\n")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
