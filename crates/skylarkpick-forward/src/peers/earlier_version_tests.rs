//! Tests of messages between this version and the one before notices went through relays.

use super::messages::{
    BrittleNotice, BrittleUseNotice, CacheUpdate, EndedTargetNotice, LimitNotice, Notice,
    PeerRequest, PeerResponse, RelayedNotice,
};
use serde::Deserialize;
use skylarkpick_interface::{FleetTopic, RegisteredEntry};

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

/// Notice of limits as the version before brittle targets reads it.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum EarlierNotice {
    Limits { limits: Vec<LimitNotice> },
}

fn brittle_notice() -> BrittleNotice {
    BrittleNotice { target: "i-2".to_string(), started_at_ms: 9, is_brittle: true }
}

#[test]
fn notices_of_limits_of_the_version_before_brittle_targets_are_read() {
    let limit = LimitNotice { target: "i-1".to_string(), started_at_ms: 7, limit: None };
    struct Case {
        name: &'static str,
        message: &'static str,
        expected: Notice,
    }
    let cases = [
        Case {
            name: "a limit",
            message: r#"{"limits":{"limits":[{"target":"i-1","started_at_ms":7,"limit":null}]}}"#,
            expected: Notice::Limits {
                limits: vec![limit],
                brittle: Vec::new(),
                uses: Vec::new(),
                ended: Vec::new(),
            },
        },
        Case {
            name: "nothing",
            message: r#"{"limits":{"limits":[]}}"#,
            expected: Notice::Limits {
                limits: Vec::new(),
                brittle: Vec::new(),
                uses: Vec::new(),
                ended: Vec::new(),
            },
        },
    ];
    for case in cases {
        let notice: Notice = serde_json::from_str(case.message).unwrap();
        assert_eq!(notice, case.expected, "{}", case.name);
    }
}

#[test]
fn the_version_before_brittle_targets_reads_notices_of_limits() {
    let limit = LimitNotice { target: "i-1".to_string(), started_at_ms: 7, limit: None };
    struct Case {
        name: &'static str,
        limits: Vec<LimitNotice>,
        brittle: Vec<BrittleNotice>,
        uses: Vec<BrittleUseNotice>,
    }
    let uses = vec![BrittleUseNotice {
        target: "i-3".to_string(),
        started_at_ms: 9,
        entry: "entry-1".to_string(),
        under_way: Some(5),
        is_rejected: true,
    }];
    let (none, no_uses) = (Vec::new(), Vec::new());
    let both = (vec![limit.clone()], vec![brittle_notice()]);
    let cases = [
        Case {
            name: "limits alone",
            limits: vec![limit],
            brittle: Vec::new(),
            uses: no_uses.clone(),
        },
        Case {
            name: "brittle alone",
            limits: none.clone(),
            brittle: vec![brittle_notice()],
            uses: no_uses,
        },
        Case { name: "uses alone", limits: none, brittle: Vec::new(), uses: uses.clone() },
        Case { name: "all", limits: both.0, brittle: both.1, uses },
    ];
    for Case { name, limits, brittle, uses } in cases {
        let notice = Notice::Limits { limits: limits.clone(), brittle, uses, ended: Vec::new() };
        let message = serde_json::to_vec(&notice).unwrap();
        let earlier: EarlierNotice = serde_json::from_slice(&message).unwrap();
        assert_eq!(earlier, EarlierNotice::Limits { limits }, "{name}");
        let read: Notice = serde_json::from_slice(&message).unwrap();
        assert_eq!(read, notice, "{name}");
    }
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

/// Notice of limits as the version before cold targets reads it.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum NoticeBeforeColdTargets {
    Limits {
        limits: Vec<LimitNotice>,
        #[serde(default)]
        brittle: Vec<BrittleNotice>,
        #[serde(default)]
        uses: Vec<BrittleUseNotice>,
    },
}

/// Guards against notices that the version before can't read, and against ones that differ without
/// targets that start cold.
#[test]
fn the_version_before_cold_targets_reads_notices_of_ended_targets() {
    let end = EndedTargetNotice { target: "i-1".to_string(), started_at_ms: 7 };
    struct Case {
        name: &'static str,
        ended: Vec<EndedTargetNotice>,
    }
    let cases =
        [Case { name: "none", ended: Vec::new() }, Case { name: "a target", ended: vec![end] }];
    for Case { name, ended } in cases {
        let is_none = ended.is_empty();
        let brittle = vec![brittle_notice()];
        let (limits, uses) = (Vec::new(), Vec::new());
        let notice = Notice::Limits { limits, brittle: brittle.clone(), uses, ended };
        let message = serde_json::to_string(&notice).unwrap();
        assert_eq!(!message.contains("ended"), is_none, "{name}");
        let earlier: NoticeBeforeColdTargets = serde_json::from_str(&message).unwrap();
        let (limits, uses) = (Vec::new(), Vec::new());
        assert_eq!(earlier, NoticeBeforeColdTargets::Limits { limits, brittle, uses }, "{name}");
        assert_eq!(serde_json::from_str::<Notice>(&message).unwrap(), notice, "{name}");
    }
}

/// Request for records as the version before evacuations reads it.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RequestBeforeEvacuations {
    Records { topic: TopicBeforeEvacuations, since: u64, wait_ms: u64 },
}

/// Topics of that version.
#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum TopicBeforeEvacuations {
    Serving,
    Targets,
    Weights,
    Entries,
}

/// Guards against requests for the other topics that the version before evacuations can't read. It
/// answers a request that it can't read with [`PeerResponse::Nothing`].
#[test]
fn the_version_before_evacuations_reads_requests_for_all_other_topics() {
    use FleetTopic::{Entries, Evacuations, Serving, Targets, Weights};
    for (topic, expected) in [
        (Serving, Some(TopicBeforeEvacuations::Serving)),
        (Targets, Some(TopicBeforeEvacuations::Targets)),
        (Weights, Some(TopicBeforeEvacuations::Weights)),
        (Entries, Some(TopicBeforeEvacuations::Entries)),
        (Evacuations, None),
    ] {
        let request = PeerRequest::Records { topic, since: 4, era: Some(1), wait_ms: 500 };
        let message = serde_json::to_vec(&request).unwrap();
        let read = serde_json::from_slice::<RequestBeforeEvacuations>(&message).ok();
        let expected = expected.map(|topic| RequestBeforeEvacuations::Records {
            topic,
            since: 4,
            wait_ms: 500,
        });
        assert_eq!(read, expected, "{topic}");
    }
}
