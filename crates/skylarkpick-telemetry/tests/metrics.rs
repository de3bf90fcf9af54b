//! The metric definitions match docs/METRICS.md and the datagrams that are sent.

use cadence::SpyMetricSink;
use skylarkpick_telemetry::{METRICS, Metric, MetricKind, Metrics};
use std::{collections::BTreeSet, net::UdpSocket, time::Duration};

fn send(metrics: &Metrics, metric: &Metric) {
    let tags: Vec<(&str, &str)> = metric.tags.iter().map(|name| (*name, "x")).collect();
    match metric.kind {
        MetricKind::Counter => metrics.count(metric, &tags),
        MetricKind::Gauge => metrics.set(metric, 1, &tags),
        MetricKind::Timer => metrics.time(metric, Duration::from_millis(1), &tags),
    }
}

#[test]
fn metrics_page_lists_exactly_the_defined_metrics() {
    let page = include_str!("../../../docs/METRICS.md");
    let rows: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| `skylarkpick."))
        .map(str::to_string)
        .collect();
    let expected: BTreeSet<String> = METRICS
        .iter()
        .map(|metric| {
            let kind = format!("{:?}", metric.kind).to_lowercase();
            let tags: Vec<String> = metric.tags.iter().map(|tag| format!("`{tag}`")).collect();
            let (name, tags) = (metric.name, tags.join(", "));
            format!("| `skylarkpick.{name}` | {kind} | {tags} | {} |", metric.description)
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn sends_each_metric_with_its_kind_and_tags() {
    let (lines, sink) = SpyMetricSink::new();
    let metrics = Metrics::open(sink, &[("entry", "entry-1")]);
    for metric in METRICS {
        send(&metrics, metric);
        let line = String::from_utf8(lines.recv().unwrap()).unwrap();
        let statsd_type = match metric.kind {
            MetricKind::Counter => "c",
            MetricKind::Gauge => "g",
            MetricKind::Timer => "ms",
        };
        let mut tags: Vec<String> = metric.tags.iter().map(|tag| format!("{tag}:x")).collect();
        tags.push("entry:entry-1".to_string());
        let found: BTreeSet<&str> = line.rsplit('#').next().unwrap().split(',').collect();
        assert!(
            line.starts_with(&format!("skylarkpick.{}:1|{statsd_type}|#", metric.name)),
            "{line}"
        );
        assert_eq!(found, tags.iter().map(String::as_str).collect());
    }
}

#[test]
fn sends_metrics_over_udp() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let metrics = Metrics::open_udp(server.local_addr().unwrap(), &[]).unwrap();
    send(&metrics, &METRICS[0]);
    // Dropping the metrics flushes the buffer.
    drop(metrics);
    let mut packet = [0; 512];
    let length = server.recv(&mut packet).unwrap();
    let text = String::from_utf8_lossy(&packet[..length]).into_owned();
    assert!(text.starts_with("skylarkpick.requests.answered:1|c|#"), "{text}");
}
