//! Tests of messages between this version and the one before notices went through relays.

use super::messages::{CacheUpdate, Notice, PeerRequest, PeerResponse, RelayedNotice};
use serde::Deserialize;
use skylarkpick_interface::RegisteredEntry;

/// Request for cache changes as the version before reads it.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum EarlierRequest {
    Caches { log: u64, since: u64, wait_ms: u64 },
}

/// Cache changes as the version before reads them.
#[derive(Debug, Deserialize, PartialEq)]
struct EarlierUpdate {
    log: u64,
    next: u64,
    is_whole: bool,
}

#[test]
fn messages_of_the_version_before_are_read() {
    struct Case {
        name: &'static str,
        message: &'static str,
        expected: PeerRequest,
    }
    let cases = [Case {
        name: "request for cache changes",
        message: r#"{"caches":{"log":9,"since":4,"wait_ms":500}}"#,
        expected: PeerRequest::Caches { log: 9, since: 4, notices_since: 0, wait_ms: 500 },
    }];
    for case in cases {
        let request: PeerRequest = serde_json::from_str(case.message).unwrap();
        assert_eq!(request, case.expected, "{}", case.name);
    }
    let update = r#"{"caches":{"log":9,"next":5,"is_whole":false,"fresh_stores":[],"caches":[],"entries":[]}}"#;
    let response: PeerResponse = serde_json::from_str(update).unwrap();
    let expected = CacheUpdate { log: 9, next: 5, ..CacheUpdate::default() };
    assert_eq!(response, PeerResponse::Caches(expected));
    let entry = r#"{"name":"entry-1","address":"10.0.0.1:80","data_centre":"a","cpu_percent":25}"#;
    let entry: RegisteredEntry = serde_json::from_str(entry).unwrap();
    assert!(!entry.fetches_notices, "a process of the version before gets notices directly");
}

#[test]
fn the_version_before_reads_messages_of_this_one() {
    let request = PeerRequest::Caches { log: 9, since: 4, notices_since: 7, wait_ms: 500 };
    let request: EarlierRequest =
        serde_json::from_slice(&serde_json::to_vec(&request).unwrap()).unwrap();
    assert_eq!(request, EarlierRequest::Caches { log: 9, since: 4, wait_ms: 500 });
    let notice = RelayedNotice { age_ms: 3, notice: Notice::Loads { loads: Vec::new() } };
    let update = CacheUpdate { log: 9, next: 5, notices: vec![notice], ..CacheUpdate::default() };
    let update: EarlierUpdate =
        serde_json::from_slice(&serde_json::to_vec(&update).unwrap()).unwrap();
    assert_eq!(update, EarlierUpdate { log: 9, next: 5, is_whole: false });
}
