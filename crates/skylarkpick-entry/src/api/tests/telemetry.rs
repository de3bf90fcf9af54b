//! Metrics of requests use the names of the metric table and contain nothing that callers sent.

use super::harness::{Harness, MAX_WAIT};
use cadence::SpyMetricSink;
use serde_json::json;
use skylarkpick_telemetry::{METRICS, Metrics, install_metrics};

#[tokio::test(flavor = "multi_thread")]
async fn counts_requests_attempts_and_patches_without_callers_data() {
    let (lines, sink) = SpyMetricSink::new();
    assert!(install_metrics(Metrics::open(sink, &[])), "only this test installs metrics");
    let harness = Harness::spawn().await;
    let prompt = json!({"model": "tala-llm", "prompt": "marker", "max_tokens": 2}).to_string();
    let patch = json!({"patch_id": "p1", "base_version": 1, "change": {}}).to_string();
    harness.send("POST", "/v1/completions", "cubesat-token", &prompt).await;
    harness.send("GET", "/marker", "cubesat-token", "").await;
    harness.send("PATCH", "/v1/configuration", "ground-token", &patch).await;
    let mut expected = vec![
        "skylarkpick.requests.answered:1|c|#path:/v1/completions,status:200",
        "skylarkpick.requests.answered:1|c|#path:none,status:404",
        "skylarkpick.requests.answer_start:",
        "skylarkpick.attempts.ended:1|c|#end:done",
        "skylarkpick.patches.ended:1|c|#outcome:accepted",
        "skylarkpick.configuration.version:1|g",
        "skylarkpick.runners.serving:1|g",
    ];
    while !expected.is_empty() {
        let line = lines.recv_timeout(MAX_WAIT).unwrap_or_else(|_| panic!("none of {expected:?}"));
        let line = String::from_utf8(line).unwrap();
        let name = line.trim_start_matches("skylarkpick.").split(':').next().unwrap();
        assert!(METRICS.iter().any(|metric| metric.name == name), "{line}");
        assert!(!line.contains("marker") && !line.contains("token"), "{line}");
        expected.retain(|start| !line.starts_with(start));
    }
    harness.server.shutdown().await;
}
