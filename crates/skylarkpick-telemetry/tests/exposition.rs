//! Rendering of collected metrics in the Prometheus text format.

use skylarkpick_telemetry::{
    Exposition, Metrics, REQUESTS_ANSWER_START, REQUESTS_ANSWERED, REQUESTS_UNDER_WAY,
};
use std::time::Duration;

#[test]
fn renders_counter_totals_last_gauge_values_and_histogram_buckets() {
    let exposition = Exposition::open();
    let metrics = Metrics::open(exposition.clone(), &[]);
    let tags = [("path", "read"), ("status", "200")];
    (0..3).for_each(|_| metrics.count(&REQUESTS_ANSWERED, &tags));
    metrics.set(&REQUESTS_UNDER_WAY, 9, &[]);
    metrics.set(&REQUESTS_UNDER_WAY, 4, &[]);
    metrics.time(&REQUESTS_ANSWER_START, Duration::from_millis(40), &tags[..1]);
    metrics.time(&REQUESTS_ANSWER_START, Duration::from_millis(9_000), &tags[..1]);
    let text = exposition.text();
    let expected = [
        "skylarkpick_requests_answered{path=\"read\",status=\"200\"} 3",
        "skylarkpick_requests_under_way 4",
        "# TYPE skylarkpick_requests_answer_start histogram",
        "skylarkpick_requests_answer_start_bucket{path=\"read\",le=\"25\"} 0",
        "skylarkpick_requests_answer_start_bucket{path=\"read\",le=\"50\"} 1",
        "skylarkpick_requests_answer_start_bucket{path=\"read\",le=\"+Inf\"} 2",
        "skylarkpick_requests_answer_start_sum{path=\"read\"} 9040",
        "skylarkpick_requests_answer_start_count{path=\"read\"} 2",
    ];
    for line in expected {
        assert!(text.lines().any(|found| found == line), "{line} is not in\n{text}");
    }
}

#[test]
fn drops_new_series_above_the_limit() {
    let exposition = Exposition::open();
    let metrics = Metrics::open(exposition.clone(), &[]);
    for index in 0..2_000 {
        metrics.count(&REQUESTS_ANSWERED, &[("path", &format!("p{index}")), ("status", "200")]);
    }
    assert!(exposition.text().lines().count() < 600);
}
