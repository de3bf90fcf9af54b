//! Requests over loopback sockets, as callers send them.

use super::harness::{Harness, PATIENCE};
use futures::StreamExt;
use http_body_util::{BodyExt, BodyStream};
use serde_json::{Value, json};
use skylarkpick_http::SplitLines;
use skylarkpick_interface::FinishReason;
use skylarkpick_standin::expected_token;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

fn prompt(tokens: u64, stream: bool) -> String {
    json!({"model": "tala-llm", "prompt": "orbit", "max_tokens": tokens, "stream": stream})
        .to_string()
}

#[tokio::test]
async fn wrong_requests_are_refused_before_anything_runs() {
    struct Case<'a> {
        request: (&'a str, &'a str, &'a str, &'a str),
        status: u16,
        code: &'static str,
        says: &'static str,
    }
    let harness = Harness::spawn().await;
    let deep = format!("{{\"messages\": {}", "[".repeat(10_000));
    let long = "x".repeat(70_000);
    let at = "/v1/completions";
    let good = prompt(1, false);
    let cases = [
        Case {
            request: ("POST", at, "cubesat-token", "{\n  \"model\": 5}"),
            status: 400,
            code: "bad_request",
            says: "at line 2 column",
        },
        Case {
            request: ("POST", at, "cubesat-token", "{\"model\": \"tala-llm\", \"promt\": \"a\"}"),
            status: 400,
            code: "bad_request",
            says: "did you mean `prompt`?",
        },
        Case {
            request: ("POST", at, "cubesat-token", "{\"model\": \"tala-llm\"}"),
            status: 400,
            code: "bad_request",
            says: "`prompt` or `messages`",
        },
        Case {
            request: ("POST", at, "cubesat-token", &deep),
            status: 400,
            code: "bad_request",
            says: "cannot be read",
        },
        Case {
            request: ("POST", at, "cubesat-token", &long),
            status: 413,
            code: "too_large",
            says: "longer than 65536 bytes",
        },
        Case { request: ("POST", at, "wrong", &good), status: 401, code: "unauthorized", says: "" },
        Case {
            request: ("GET", at, "cubesat-token", ""),
            status: 405,
            code: "method_not_allowed",
            says: "takes POST, not GET",
        },
        Case {
            request: ("POST", "/v1/completion", "cubesat-token", &good),
            status: 404,
            code: "not_found",
            says: "/v1/completions",
        },
        Case {
            request: ("GET", "/state", "cubesat-token", ""),
            status: 403,
            code: "forbidden",
            says: "operator",
        },
        Case {
            request: ("PATCH", "/v1/configuration", "ground-token", "{\"patch\": 1}"),
            status: 400,
            code: "bad_request",
            says: "did you mean `patch_id`?",
        },
        Case {
            request: ("POST", "/v1/services/book-api/a/../bookings", "cubesat-token", ""),
            status: 400,
            code: "bad_request",
            says: "dotted segments",
        },
        Case {
            request: ("POST", "/v1/services/book-api/%62ookings", "cubesat-token", ""),
            status: 400,
            code: "bad_request",
            says: "`%`",
        },
        Case {
            request: ("POST", "/v1/services/nobody/x", "cubesat-token", ""),
            status: 404,
            code: "not_found",
            says: "no service",
        },
    ];
    for case in cases {
        let (method, path, token, body) = case.request;
        let (answer, value) = harness.send(method, path, token, body).await;
        let error = &value["error"];
        let shown = format!("{method} {path}: {value}");
        assert_eq!(answer.status().as_u16(), case.status, "{shown}");
        assert_eq!(error["code"], case.code, "{shown}");
        assert_eq!(error["ran"], "not_run", "{shown}");
        assert!(error["message"].as_str().unwrap().contains(case.says), "{shown}");
        assert_eq!(value["request_id"], answer.headers()["x-request-id"].to_str().unwrap());
        assert_eq!(answer.headers().contains_key("allow"), case.status == 405, "{shown}");
    }
    assert!(harness.runner.ledger().is_empty());
    assert!(harness.service.ledger().is_empty());
    harness.front.shutdown().await;
}

/// Sends bytes as they are and reads until the other side closes.
async fn raw(harness: &Harness, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(harness.front.address()).await.unwrap();
    // The other side may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(PATIENCE, read).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn large_heads_and_slow_bodies_are_refused() {
    struct Case {
        bytes: String,
        status: &'static str,
    }
    let harness = Harness::spawn().await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
    let token = "authorization: Bearer cubesat-token\r\n";
    let cases = [
        Case { bytes: format!("{head}x-long: {}\r\n\r\n", "x".repeat(40_000)), status: "431" },
        Case { bytes: format!("{head}{token}content-length: 50\r\n\r\n{{"), status: "408" },
        Case { bytes: "no request\r\n\r\n".to_string(), status: "400" },
    ];
    for case in cases {
        let answer = raw(&harness, case.bytes.as_bytes()).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {} ", case.status)), "{answer}");
    }
    assert!(harness.runner.ledger().is_empty());
    harness.front.shutdown().await;
}

#[tokio::test]
async fn health_needs_no_token() {
    let harness = Harness::spawn().await;
    for (path, status) in [("/live", 200), ("/ready", 200)] {
        let (answer, _) = harness.send("GET", path, "", "").await;
        assert_eq!(answer.status().as_u16(), status, "{path}");
    }
    harness.entry.drain();
    for (path, status) in [("/live", 200), ("/ready", 503)] {
        let (answer, _) = harness.send("GET", path, "", "").await;
        assert_eq!(answer.status().as_u16(), status, "{path}");
    }
    harness.front.shutdown().await;
}

#[tokio::test]
async fn an_answer_streams_token_by_token() {
    let harness = Harness::spawn().await;
    let request = harness.request("POST", "/v1/completions", "cubesat-token", &prompt(5, true));
    let answer = harness.client.send(request).await.unwrap();
    assert_eq!(answer.headers()["content-type"], "text/event-stream");
    assert_eq!(answer.headers()["x-weight-version"], "1");
    let content = answer.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(content.to_vec()).unwrap();
    let pieces: String = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .map(|data| serde_json::from_str::<Value>(&format!("{{{data}")).unwrap())
        .map(|event| event["choices"][0]["text"].as_str().unwrap().to_string())
        .collect();
    let expected: String = (0..5).map(|offset| expected_token("orbit", 1, offset)).collect();
    assert_eq!(pieces, expected);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    harness.front.shutdown().await;
}

#[tokio::test]
async fn closing_the_connection_cancels_the_run() {
    let harness = Harness::spawn().await;
    let request = harness.request("POST", "/v1/completions", "cubesat-token", &prompt(9_999, true));
    let answer = harness.client.send(request).await.unwrap();
    let mut body = BodyStream::new(answer.into_body());
    let mut lines = SplitLines::default();
    while !lines.any(|line| line.starts_with(b"id: 2")) {
        lines.push(&body.next().await.unwrap().unwrap().into_data().unwrap());
    }
    drop(body);
    let cancelled = async {
        while harness.runner.ledger()[0].finished != Some(FinishReason::Cancelled) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, cancelled).await.unwrap();
    harness.front.shutdown().await;
}

#[tokio::test]
async fn calls_reach_their_service_with_the_query() {
    let harness = Harness::spawn().await;
    let path = "/v1/services/book-api/bookings?slot=7";
    let (answer, _) = harness.send("POST", path, "cubesat-token", "{}").await;
    assert!(answer.status().is_success());
    assert_eq!(harness.service.ledger()[0].call, "POST /bookings?slot=7");
    harness.front.shutdown().await;
}

#[tokio::test]
async fn a_lost_answer_of_a_call_that_must_not_run_twice_is_unknown() {
    for path in ["/bookings", "/bookings/", "/bookings?slot=7"] {
        let harness = Harness::spawn().await;
        harness.service.set_faults(|faults| faults.lost_responses = 1);
        let path = format!("/v1/services/book-api{path}");
        let (_, value) = harness.send("POST", &path, "cubesat-token", "{}").await;
        assert_eq!(value["error"]["ran"], "unknown", "{path}: {value}");
        assert_eq!(harness.service.ledger().len(), 1, "{path}");
        harness.front.shutdown().await;
    }
}
