//! Tests of which connections end when all are taken.

use super::{
    connections::{ConnectionId, ConnectionStage, ConnectionState, connections_to_end},
    limits::BodyPace,
};
use std::time::Duration;

const PACE: BodyPace = BodyPace { pause_limit: Duration::from_secs(1), bytes_per_second: 1_000 };

const fn connection(
    id: ConnectionId,
    stage: ConnectionStage,
    since_ms: u64,
    last_ms: u64,
    arrived_bytes: usize,
) -> ConnectionState {
    ConnectionState {
        id,
        stage,
        since: Duration::from_millis(since_ms),
        last: Duration::from_millis(last_ms),
        arrived_bytes,
    }
}

// Guards against a full process that ends a connection whose request is processed or arrives at its
// pace, and against one that ends none although some do nothing.
#[test]
fn the_connections_that_do_least_end() {
    use ConnectionStage::{Body, Head, Kept, Whole};
    struct Case {
        name: &'static str,
        connections: Vec<ConnectionState>,
        /// At 10 s, of at most two.
        ended: &'static [ConnectionId],
    }
    let cases = [
        Case { name: "none", connections: vec![], ended: &[] },
        Case {
            name: "a whole request, however long it takes",
            connections: vec![connection(1, Whole, 0, 0, 0)],
            ended: &[],
        },
        Case {
            name: "accepted a moment ago",
            connections: vec![connection(1, Head, 9_800, 9_900, 10)],
            ended: &[],
        },
        Case {
            name: "a large body at its pace",
            connections: vec![connection(1, Body, 0, 9_900, 9_500)],
            ended: &[],
        },
        Case {
            name: "nothing sent",
            connections: vec![connection(1, Head, 9_700, 9_700, 0)],
            ended: &[1],
        },
        Case {
            name: "a head that doesn't end",
            connections: vec![connection(1, Head, 9_700, 9_990, 20)],
            ended: &[1],
        },
        Case {
            name: "a body that has just begun",
            connections: vec![connection(1, Body, 9_500, 9_500, 0)],
            ended: &[],
        },
        Case {
            name: "a byte of a body now and then",
            connections: vec![connection(1, Body, 0, 9_990, 20)],
            ended: &[1],
        },
        Case {
            name: "a large body that has paused",
            connections: vec![connection(1, Body, 0, 8_900, 100_000)],
            ended: &[1],
        },
        Case {
            name: "those furthest behind, no more than needed",
            connections: vec![
                connection(1, Head, 9_700, 9_700, 0),
                connection(2, Body, 5_000, 9_900, 10),
                connection(3, Head, 7_000, 7_000, 0),
                connection(4, Whole, 0, 0, 0),
            ],
            ended: &[2, 3],
        },
        Case {
            name: "the one that was idle for longest, alone",
            connections: vec![
                connection(1, Kept, 6_000, 6_000, 0),
                connection(2, Kept, 5_000, 5_000, 0),
                connection(3, Kept, 9_500, 9_500, 0),
            ],
            ended: &[2],
        },
        Case {
            name: "idle ones only without requests that are behind",
            connections: vec![
                connection(1, Kept, 1_000, 1_000, 0),
                connection(2, Head, 8_000, 8_000, 0),
            ],
            ended: &[2],
        },
        Case {
            name: "idle a moment ago",
            connections: vec![connection(1, Kept, 9_500, 9_500, 0)],
            ended: &[],
        },
    ];
    for Case { name, connections, ended } in cases {
        let found = connections_to_end(&connections, PACE, Duration::from_secs(10), 2);
        assert_eq!(found, ended, "{name}");
    }
}
