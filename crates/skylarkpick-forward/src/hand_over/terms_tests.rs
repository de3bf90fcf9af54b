//! Tests of the headers of requests that are handed over.

use super::{HandOverTerms, Refusal};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Deserialize;
use std::time::Duration;

/// Terms as the version before heartbeats reads them.
#[derive(Debug, Deserialize, Eq, PartialEq)]
struct EarlierTerms {
    elapsed_ms: u64,
    serving_version: u64,
    sends: u32,
    runs: u32,
    is_counted: bool,
}

#[test]
fn a_process_is_held_to_heartbeats_only_if_it_promised_them() {
    struct Case {
        name: &'static str,
        header: &'static str,
        silence_limit_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "the version before",
            header: r#"{"elapsed_ms":3,"serving_version":9,"sends":1,"runs":0,"is_counted":true}"#,
            silence_limit_ms: None,
        },
        Case {
            name: "this version",
            header: r#"{"elapsed_ms":3,"serving_version":9,"sends":1,"runs":0,"is_counted":true,"heartbeat_interval_ms":50}"#,
            silence_limit_ms: Some(250),
        },
        Case {
            name: "one that shows itself more rarely",
            header: r#"{"elapsed_ms":3,"serving_version":9,"sends":1,"runs":0,"is_counted":true,"heartbeat_interval_ms":400}"#,
            silence_limit_ms: Some(2_000),
        },
        Case {
            name: "one that promises too much",
            header: r#"{"elapsed_ms":3,"serving_version":9,"sends":1,"runs":0,"is_counted":true,"heartbeat_interval_ms":0}"#,
            silence_limit_ms: Some(250),
        },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        headers.insert("skylarkpick-hand-over", HeaderValue::from_static(case.header));
        let terms = HandOverTerms::take(&mut headers).unwrap();
        assert_eq!((terms.elapsed_ms, terms.sends, terms.is_counted), (3, 1, true));
        let limit = case.silence_limit_ms.map(Duration::from_millis);
        assert_eq!(terms.silence_limit(), limit, "{}", case.name);
    }
}

#[test]
fn the_version_before_heartbeats_reads_terms_of_this_one() {
    let open = HandOverTerms::open(Duration::from_millis(340), 12);
    for heartbeat_interval_ms in [None, Some(50)] {
        let terms =
            HandOverTerms { sends: 2, runs: 1, is_counted: true, heartbeat_interval_ms, ..open };
        let headers = terms.add_to(&HeaderMap::new());
        let text = headers["skylarkpick-hand-over"].to_str().unwrap();
        let earlier: EarlierTerms = serde_json::from_str(text).unwrap();
        let expected = EarlierTerms {
            elapsed_ms: 340,
            serving_version: 12,
            sends: 2,
            runs: 1,
            is_counted: true,
        };
        assert_eq!(earlier, expected);
        assert_eq!(text.contains("heartbeat_interval_ms"), heartbeat_interval_ms.is_some());
    }
}

#[test]
fn terms_replace_what_a_client_sent_in_their_place() {
    let mut client = HeaderMap::new();
    client.insert("skylarkpick-hand-over", HeaderValue::from_static("{\"runs\":9}"));
    client.insert("transfer-encoding", HeaderValue::from_static("chunked"));
    client.insert("last-event-id", HeaderValue::from_static("7"));
    let open = HandOverTerms::open(Duration::from_millis(340), 12);
    let terms = HandOverTerms { sends: 1, runs: 1, is_counted: true, ..open };
    let mut headers = terms.add_to(&client);
    assert!(!headers.contains_key("transfer-encoding"));
    assert_eq!(headers["last-event-id"], "7");
    assert_eq!(HandOverTerms::take(&mut headers), Some(terms));
    assert_eq!(terms.elapsed(), Duration::from_millis(340));
    assert_eq!(HandOverTerms::take(&mut headers), None, "they are not passed on");
}

#[test]
fn every_refusal_is_read_as_one() {
    struct Case {
        text: &'static str,
        refusal: Refusal,
    }
    let cases = [
        Case { text: "busy", refusal: Refusal::Busy },
        Case { text: "cut-off", refusal: Refusal::CutOff },
        Case { text: "no-place", refusal: Refusal::NoPlace },
        Case { text: "outdated", refusal: Refusal::Outdated },
        Case { text: "of a later version", refusal: Refusal::Busy },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        headers.insert("skylarkpick-refusal", HeaderValue::from_static(case.text));
        let refused = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!(Refusal::read(refused, &headers), Some(case.refusal), "{}", case.text);
        for status in [StatusCode::OK, StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT] {
            assert_eq!(Refusal::read(status, &headers), None, "no refusal is a {status}");
        }
        Refusal::remove(&mut headers);
        assert_eq!(Refusal::read(refused, &headers), None);
    }
    assert_eq!(Refusal::read(StatusCode::SERVICE_UNAVAILABLE, &HeaderMap::new()), None);
}
