//! Completion requests, service calls and invalid requests, sent over loopback sockets.

use super::harness::{Harness, MAX_WAIT};
use futures::StreamExt;
use http_body_util::{BodyExt, BodyStream};
use serde_json::{Value, json};
use skylarkpick_http::LineSplitter;
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
async fn rejects_invalid_requests_before_anything_runs() {
    struct Case<'a> {
        request: (&'a str, &'a str, &'a str, &'a str),
        status: u16,
        code: &'static str,
        message: &'static str,
    }
    let harness = Harness::spawn().await;
    let nested = format!("{{\"messages\": {}", "[".repeat(10_000));
    let long = "x".repeat(70_000);
    let at = "/v1/completions";
    let valid = prompt(1, false);
    let cases = [
        Case {
            request: ("POST", at, "cubesat-token", "{\n  \"model\": 5}"),
            status: 400,
            code: "bad_request",
            message: "at line 2 column",
        },
        Case {
            request: ("POST", at, "cubesat-token", "{\"model\": \"tala-llm\", \"promt\": \"a\"}"),
            status: 400,
            code: "bad_request",
            message: "did you mean `prompt`?",
        },
        Case {
            request: ("POST", at, "cubesat-token", "{\"model\": \"tala-llm\"}"),
            status: 400,
            code: "bad_request",
            message: "`prompt` or `messages`",
        },
        Case {
            request: ("POST", at, "cubesat-token", &nested),
            status: 400,
            code: "bad_request",
            message: "invalid request body",
        },
        Case {
            request: ("POST", at, "cubesat-token", &long),
            status: 413,
            code: "too_large",
            message: "longer than 65536 bytes",
        },
        Case {
            request: ("POST", at, "no-such-token", &valid),
            status: 401,
            code: "unauthorized",
            message: "",
        },
        Case {
            request: ("GET", at, "cubesat-token", ""),
            status: 405,
            code: "method_not_allowed",
            message: "accepts POST, not GET",
        },
        Case {
            request: ("POST", "/v1/completion", "cubesat-token", &valid),
            status: 404,
            code: "not_found",
            message: "/v1/completions",
        },
        Case {
            request: ("GET", "/state", "cubesat-token", ""),
            status: 403,
            code: "forbidden",
            message: "operator",
        },
        Case {
            request: ("PATCH", "/v1/configuration", "ground-token", "{\"patch\": 1}"),
            status: 400,
            code: "bad_request",
            message: "did you mean `patch_id`?",
        },
        Case {
            request: ("POST", "/v1/services/book-api/a/../bookings", "cubesat-token", ""),
            status: 400,
            code: "bad_request",
            message: "dotted segments",
        },
        Case {
            request: ("POST", "/v1/services/book-api/%62ookings", "cubesat-token", ""),
            status: 400,
            code: "bad_request",
            message: "`%`",
        },
        Case {
            request: ("POST", "/v1/services/nobody/x", "cubesat-token", ""),
            status: 404,
            code: "not_found",
            message: "no service",
        },
    ];
    for case in cases {
        let (method, path, token, body) = case.request;
        let (response, value) = harness.send(method, path, token, body).await;
        let error = &value["error"];
        let context = format!("{method} {path}: {value}");
        assert_eq!(response.status().as_u16(), case.status, "{context}");
        assert_eq!(error["code"], case.code, "{context}");
        assert_eq!(error["ran"], "not_run", "{context}");
        assert!(error["message"].as_str().unwrap().contains(case.message), "{context}");
        assert_eq!(value["request_id"], response.headers()["x-request-id"].to_str().unwrap());
        assert_eq!(response.headers().contains_key("allow"), case.status == 405, "{context}");
    }
    assert!(harness.runner.ledger().is_empty());
    assert!(harness.service.ledger().is_empty());
    harness.server.shutdown().await;
}

/// Sends raw bytes and reads until the server closes the connection.
async fn send_raw(harness: &Harness, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(harness.server.address()).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(MAX_WAIT, read).await.unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn rejects_large_headers_slow_bodies_and_non_http() {
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
        let response = send_raw(&harness, case.bytes.as_bytes()).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {} ", case.status)), "{response}");
    }
    assert!(harness.runner.ledger().is_empty());
    harness.server.shutdown().await;
}

#[tokio::test]
async fn health_checks_need_no_token_and_readiness_fails_while_draining() {
    let harness = Harness::spawn().await;
    for (path, status) in [("/live", 200), ("/ready", 200)] {
        let (response, _) = harness.send("GET", path, "", "").await;
        assert_eq!(response.status().as_u16(), status, "{path}");
    }
    harness.entry.drain();
    for (path, status) in [("/live", 200), ("/ready", 503)] {
        let (response, _) = harness.send("GET", path, "", "").await;
        assert_eq!(response.status().as_u16(), status, "{path}");
    }
    harness.server.shutdown().await;
}

#[tokio::test]
async fn streams_a_response_token_by_token() {
    let harness = Harness::spawn().await;
    let request = harness.request("POST", "/v1/completions", "cubesat-token", &prompt(5, true));
    let response = harness.client.send(request).await.unwrap();
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert_eq!(response.headers()["x-weight-version"], "1");
    let content = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(content.to_vec()).unwrap();
    let received: String = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .map(|data| serde_json::from_str::<Value>(&format!("{{{data}")).unwrap())
        .map(|event| event["choices"][0]["text"].as_str().unwrap().to_string())
        .collect();
    let expected: String = (0..5).map(|offset| expected_token("orbit", 1, offset)).collect();
    assert_eq!(received, expected);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    harness.server.shutdown().await;
}

#[tokio::test]
async fn a_closed_connection_cancels_the_run() {
    let harness = Harness::spawn().await;
    let request = harness.request("POST", "/v1/completions", "cubesat-token", &prompt(9_999, true));
    let response = harness.client.send(request).await.unwrap();
    let mut body = BodyStream::new(response.into_body());
    let mut lines = LineSplitter::default();
    while !lines.any(|line| line.starts_with(b"id: 2")) {
        lines.push(&body.next().await.unwrap().unwrap().into_data().unwrap());
    }
    drop(body);
    let cancelled = async {
        while harness.runner.ledger()[0].finished != Some(FinishReason::Cancelled) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, cancelled).await.unwrap();
    harness.server.shutdown().await;
}

#[tokio::test]
async fn forwards_a_service_call_with_its_query() {
    let harness = Harness::spawn().await;
    let path = "/v1/services/book-api/bookings?slot=7";
    let (response, _) = harness.send("POST", path, "cubesat-token", "{}").await;
    assert!(response.status().is_success());
    assert_eq!(harness.service.ledger()[0].call, "POST /bookings?slot=7");
    harness.server.shutdown().await;
}

#[tokio::test]
async fn a_non_repeatable_call_without_a_response_is_unknown_and_not_retried() {
    for path in ["/bookings", "/bookings/", "/bookings?slot=7"] {
        let harness = Harness::spawn().await;
        harness.service.set_faults(|faults| faults.lost_responses = 1);
        let path = format!("/v1/services/book-api{path}");
        let (_, value) = harness.send("POST", &path, "cubesat-token", "{}").await;
        assert_eq!(value["error"]["ran"], "unknown", "{path}: {value}");
        assert_eq!(harness.service.ledger().len(), 1, "{path}");
        harness.server.shutdown().await;
    }
}
