use crate::peers::Notice;
use serde_json::json;
use skylarkpick_interface::{CrashReport, TargetCrash};

fn report() -> CrashReport {
    let crash = TargetCrash {
        target: "i-1".to_string(),
        started_at_ms: 3,
        ended_at_ms: 5,
        parts: [(7, 1)].into(),
        requests: [(9, 4)].into(),
    };
    CrashReport {
        crashes: vec![crash],
        answered_at_ms: [(7, 2)].into(),
        answered_requests_at_ms: [(9, 2)].into(),
    }
}

#[test]
fn notices_of_ends_are_read_by_the_version_before_and_its_notices_are_read() {
    let notice = Notice::Crashes { report: report() };
    let written = serde_json::to_value(&notice).unwrap();
    let mut known = json!({ "crashes": { "report": {
        "crashes": [
            { "target": "i-1", "started_at_ms": 3, "ended_at_ms": 5, "parts": { "7": 1 } }
        ],
        "answered_at_ms": { "7": 2 },
    } } });
    let crash = &written["crashes"]["report"]["crashes"][0];
    assert_eq!(crash["parts"], known["crashes"]["report"]["crashes"][0]["parts"]);
    assert_eq!(
        written["crashes"]["report"]["answered_at_ms"],
        known["crashes"]["report"]["answered_at_ms"]
    );
    let Ok(Notice::Crashes { report: read }) = serde_json::from_value(known.take()) else {
        panic!("a notice of the version before is read")
    };
    let mut expected = report();
    expected.crashes[0].requests.clear();
    expected.answered_requests_at_ms.clear();
    assert_eq!(read, expected);
    let Ok(Notice::Crashes { report: read }) = serde_json::from_value(written) else {
        panic!("a notice is read")
    };
    assert_eq!(read, report());
}
