//! Tests of which bodies have room and which lose theirs, and of the limits of small machines.

use super::{
    ledger::{BodyLedger, BodyUse, NoRoom},
    limits::{BodyLimits, BodyPace, connection_limit},
};
use std::time::Duration;

const LIMITS: BodyLimits = BodyLimits {
    total_bytes: 1_000,
    long_bytes: 800,
    short_body_bytes: 100,
    pace: BodyPace { pause_limit: Duration::from_secs(5), bytes_per_second: 10 },
    pressed_pace: BodyPace { pause_limit: Duration::from_secs(1), bytes_per_second: 100 },
};

/// A body that began at 0 s.
struct Body {
    held_bytes: usize,
    /// Time of its last bytes.
    last: Duration,
    is_complete: bool,
}

const fn arriving(held_bytes: usize, last_ms: u64) -> Body {
    Body { held_bytes, last: Duration::from_millis(last_ms), is_complete: false }
}

const fn kept(held_bytes: usize) -> Body {
    Body { held_bytes, last: Duration::ZERO, is_complete: true }
}

// Guards against bodies that find room at the cost of one that arrives at its pace or is kept, and
// against large or stalled bodies that keep short ones out.
#[test]
fn a_body_has_room_that_is_free_or_taken_by_one_behind_its_pace() {
    struct Case {
        name: &'static str,
        bodies: Vec<Body>,
        size_bytes: usize,
        now_ms: u64,
        /// Bodies that lose their room, by their position.
        ended: Result<&'static [u64], NoRoom>,
    }
    let cases = [
        Case { name: "free", bodies: vec![], size_bytes: 800, now_ms: 0, ended: Ok(&[]) },
        Case {
            name: "long beyond its part",
            bodies: vec![],
            size_bytes: 801,
            now_ms: 0,
            ended: Err(NoRoom),
        },
        Case {
            name: "long beside others that arrive at their pace",
            bodies: vec![arriving(700, 1_500)],
            size_bytes: 200,
            now_ms: 2_000,
            ended: Err(NoRoom),
        },
        Case {
            name: "short beside long ones that have taken all of theirs",
            bodies: vec![arriving(800, 2_000)],
            size_bytes: 100,
            now_ms: 2_000,
            ended: Ok(&[]),
        },
        Case {
            name: "beside one that has paused for too long",
            bodies: vec![arriving(700, 500)],
            size_bytes: 200,
            now_ms: 1_500,
            ended: Ok(&[0]),
        },
        Case {
            name: "beside one whose rate is too low",
            bodies: vec![arriving(300, 4_100), arriving(400, 4_100)],
            size_bytes: 300,
            now_ms: 4_100,
            ended: Ok(&[0]),
        },
        Case {
            name: "the largest is ended first, then the oldest",
            bodies: vec![arriving(200, 0), arriving(200, 0), arriving(300, 0), kept(100)],
            size_bytes: 600,
            now_ms: 9_000,
            ended: Ok(&[2, 0]),
        },
        Case {
            name: "nothing is ended if that isn't enough",
            bodies: vec![arriving(200, 0), kept(600)],
            size_bytes: 300,
            now_ms: 9_000,
            ended: Err(NoRoom),
        },
    ];
    for case in cases {
        let mut ledger = BodyLedger::open(LIMITS);
        for body in &case.bodies {
            let id = ledger.begin(Duration::ZERO);
            assert_eq!(ledger.grow(id, body.held_bytes, Duration::ZERO), Ok(vec![]));
            ledger.note_arrived(id, body.held_bytes, body.last);
            if body.is_complete {
                ledger.complete(id);
            }
        }
        let before = ledger.use_bytes();
        let now = Duration::from_millis(case.now_ms);
        let id = ledger.begin(now);
        let ended = ledger.grow(id, case.size_bytes, now);
        assert_eq!(ended.as_deref().map_err(|it| *it), case.ended, "{}", case.name);
        let Ok(ended) = ended else {
            assert_eq!(ledger.use_bytes(), before, "{}: nothing changes", case.name);
            continue;
        };
        for other in ended {
            assert_eq!(ledger.due(other), None, "{}: {other} has lost its room", case.name);
        }
        (0..=id).for_each(|id| ledger.end(id));
        assert_eq!(ledger.use_bytes(), BodyUse::default(), "{}: all is given back", case.name);
    }
}

// Guards against a fixed time for bodies of any size, and against stalled bodies that stay for ever.
#[test]
fn a_body_is_too_slow_by_its_rate_or_its_pause() {
    struct Case {
        name: &'static str,
        arrived_bytes: usize,
        last_ms: u64,
        due_ms: u64,
    }
    let cases = [
        Case { name: "nothing arrived", arrived_bytes: 0, last_ms: 0, due_ms: 5_000 },
        Case { name: "paused", arrived_bytes: 1_000, last_ms: 10_000, due_ms: 15_000 },
        Case { name: "too low a rate", arrived_bytes: 20, last_ms: 6_900, due_ms: 7_000 },
    ];
    for case in cases {
        let mut ledger = BodyLedger::open(LIMITS);
        let id = ledger.begin(Duration::ZERO);
        ledger.note_arrived(id, case.arrived_bytes, Duration::from_millis(case.last_ms));
        assert_eq!(ledger.due(id), Some(Duration::from_millis(case.due_ms)), "{}", case.name);
    }
}

// Guards against limits of a machine that a single request of the greatest size can't keep, and against
// budgets that don't fit into it.
#[test]
fn bodies_and_connections_fit_into_each_machine() {
    for memory_mb in [88, 160, 260, 512] {
        let memory_bytes = memory_mb * 1_000_000;
        let limits = BodyLimits::of_memory(memory_bytes);
        assert!(limits.long_bytes >= 4_194_304, "{memory_mb} MB");
        assert!(limits.total_bytes * 2 < memory_bytes, "{memory_mb} MB");
        let connections = connection_limit(Some(4_100), Some(memory_bytes as u64));
        assert!(connections * 24_576 <= memory_bytes / 4, "{memory_mb} MB");
        assert!(connections >= 500, "{memory_mb} MB");
    }
}
