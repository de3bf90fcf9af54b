//! Tests of the waits of a candidate for records of the store's era and of others.
#![allow(clippy::unwrap_used, reason = "a helper of a test fails the test")]

use serde_json::{Value, json};
use skylarkpick_interface::{StoreEra, StoreRevision};
use skylarkpick_lease::{Action, LeaseRecord, LeaseSettings, LeaseStateMachine, WriteOutcome};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(100);
const LEARNED_AT: Duration = Duration::from_secs(50);
/// The candidate's own term is 6 s, its order timeout 2 s.
const MACHINE_GAP: Duration = Duration::from_secs(3);

/// What a candidate finds as soon as it learns the era of the store.
struct Case {
    name: &'static str,
    era: StoreEra,
    /// Fields of the record that differ from those of a holder on another VM in the era before; JSON's
    /// null if there is no record.
    found: Value,
    /// Seconds until the candidate writes, and until it may send orders.
    expected: (f64, f64),
}

fn record(fields: &Value) -> LeaseRecord {
    let mut record = json!({
        "holder": "entry-9", "nonce": "9", "term_ms": 6_000, "order_timeout_ms": 2_000,
        "released": false, "machine": "vm-9", "order_pause_ms": 0, "era": 4,
    });
    for (name, value) in fields.as_object().unwrap() {
        record[name] = value.clone();
    }
    LeaseRecord::decode(record.to_string().as_bytes())
}

/// Returns the time until the candidate writes, and until it has a permit.
fn waits(case: &Case) -> (f64, f64) {
    let settings = LeaseSettings {
        machine: Some("vm-1".to_string()),
        machine_gap: MACHINE_GAP,
        ..LeaseSettings::new("leases/test", "entry-1")
    };
    let mut candidate = LeaseStateMachine::open(settings, "entry-1-0");
    candidate.observe_era(LEARNED_AT, case.era);
    let mut version = StoreRevision { era: case.era, number: 10 };
    let found = (!case.found.is_null()).then(|| (version, record(&case.found)));
    let (mut now, mut written_at) = (LEARNED_AT, None);
    loop {
        match candidate.next_action(now) {
            Action::Read => candidate.observe_read(now, found.clone()),
            Action::Write { .. } => {
                written_at.get_or_insert(now);
                version.number += 1;
                candidate.observe_write(now, WriteOutcome::Written(version));
            }
            Action::WaitUntil(_) if candidate.permit(now).is_some() => break,
            Action::WaitUntil(_) => now += TICK,
        }
    }
    let seconds = |at: Duration| (at - LEARNED_AT).as_secs_f64();
    (seconds(written_at.unwrap()), seconds(now))
}

#[test]
fn record_that_another_era_restored_gives_no_shorter_wait() {
    let cases = [
        Case { name: "other VM, this era", era: 4, found: json!({}), expected: (8.0, 9.0) },
        Case { name: "other VM", era: 5, found: json!({}), expected: (8.0, 9.0) },
        Case {
            name: "own VM, this era",
            era: 4,
            found: json!({ "machine": "vm-1" }),
            expected: (2.0, 2.0),
        },
        Case { name: "own VM", era: 5, found: json!({ "machine": "vm-1" }), expected: (8.0, 9.0) },
        Case {
            name: "released, this era",
            era: 4,
            found: json!({ "released": true }),
            expected: (0.0, 3.0),
        },
        Case { name: "released", era: 5, found: json!({ "released": true }), expected: (8.0, 9.0) },
        Case {
            name: "holder that sent no order, this era",
            era: 4,
            found: json!({ "order_pause_ms": 8_200 }),
            expected: (8.0, 8.2),
        },
        Case {
            name: "holder that sent no order",
            era: 5,
            found: json!({ "order_pause_ms": 8_200 }),
            expected: (8.0, 9.0),
        },
        Case {
            name: "shorter term, this era",
            era: 4,
            found: json!({ "term_ms": 1_000 }),
            expected: (3.0, 4.0),
        },
        Case {
            name: "shorter term",
            era: 5,
            found: json!({ "term_ms": 1_000 }),
            expected: (8.0, 9.0),
        },
        Case {
            name: "longer term",
            era: 5,
            found: json!({ "term_ms": 20_000 }),
            expected: (22.0, 23.0),
        },
        Case {
            name: "record without an era",
            era: 5,
            found: json!({ "machine": "vm-1", "era": 0 }),
            expected: (8.0, 9.0),
        },
        Case {
            name: "no record, a store without eras",
            era: 0,
            found: Value::Null,
            expected: (0.0, 3.0),
        },
        Case { name: "no record", era: 5, found: Value::Null, expected: (8.0, 11.0) },
    ];
    for case in cases {
        assert_eq!(waits(&case), case.expected, "{}", case.name);
    }
}

#[test]
fn version_seen_in_an_earlier_era_is_no_condition_of_a_write() {
    let settings = LeaseSettings::new("leases/test", "entry-1");
    let mut candidate = LeaseStateMachine::open(settings, "entry-1-0");
    candidate.observe_era(LEARNED_AT, 4);
    assert_eq!(candidate.next_action(LEARNED_AT), Action::Read);
    let version = StoreRevision { era: 4, number: 10 };
    candidate.observe_read(LEARNED_AT, Some((version, record(&json!({})))));
    candidate.observe_era(LEARNED_AT, 5);
    // The store fails all reads of the new era.
    for tick in 0..200 {
        let now = LEARNED_AT + TICK * tick;
        match candidate.next_action(now) {
            Action::Read => candidate.observe_read_failure(now),
            Action::Write { expected, .. } => {
                assert_eq!(expected, None, "at {now:?}");
                candidate.observe_write(now, WriteOutcome::Conflict);
            }
            Action::WaitUntil(_) => {}
        }
    }
}
