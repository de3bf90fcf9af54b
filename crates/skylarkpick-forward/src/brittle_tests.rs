//! Tests of the order in which requests to brittle targets wait.

use crate::{node_state::NodeState, test_support::empty_node_state};
use skylarkpick_interface::{BrittleSignal, RegisteredTarget};
use skylarkpick_schedule::{PlacementDecision, PlacementRequest, UnplacedReason};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn request(rank: u8) -> PlacementRequest {
    PlacementRequest {
        service: "book-api".to_string(),
        data_centre: "mnl-a".to_string(),
        prompt: None,
        rank,
        is_continuation: false,
        software_version: None,
        avoid: Vec::new(),
        max_wait: SECOND,
    }
}

/// Returns the state of the only process, which knows one target.
async fn node_state() -> Arc<NodeState> {
    let node_state = empty_node_state();
    node_state.set_entries("entry-1", vec!["entry-1".to_string()]);
    node_state.lock().placement.set_target(RegisteredTarget {
        id: "i-1".to_string(),
        service: "book-api".to_string(),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms: 1,
        software_version: None,
        cold_remaining: None,
    });
    tokio::time::advance(SECOND * 10).await;
    node_state
}

#[tokio::test(start_paused = true)]
async fn a_request_is_not_refused_since_a_more_urgent_one_waits_for_a_place() {
    struct Case {
        name: &'static str,
        is_brittle: bool,
        waiting_rank: u8,
        has_waited: bool,
        is_assigned: bool,
    }
    let case = Case {
        name: "a more urgent one waits",
        is_brittle: true,
        waiting_rank: 0,
        has_waited: false,
        is_assigned: false,
    };
    let cases = [
        Case { name: "one that has waited before", has_waited: true, ..case },
        Case { name: "one as urgent waits", waiting_rank: 1, ..case },
        Case {
            name: "both have waited",
            waiting_rank: 1,
            has_waited: true,
            is_assigned: true,
            ..case
        },
        Case { name: "a less urgent one waits", waiting_rank: 2, is_assigned: true, ..case },
        Case { name: "no longer brittle", is_brittle: false, is_assigned: true, ..case },
        case,
    ];
    for case in cases {
        let node_state = node_state().await;
        let decision = node_state.choose(&request(0), false);
        let PlacementDecision::Assigned(assignment) = decision else { panic!("{decision:?}") };
        if case.is_brittle {
            node_state.note_brittle(&assignment, BrittleSignal::default());
        }
        let (waiting, other) = (node_state.clone(), request(case.waiting_rank));
        let until = Instant::now() + SECOND;
        let waits = tokio::spawn(async move { waiting.wait_for_capacity(&other, until).await });
        tokio::task::yield_now().await;
        match node_state.choose(&request(1), case.has_waited) {
            PlacementDecision::Assigned(_) => assert!(case.is_assigned, "{}", case.name),
            PlacementDecision::Unplaced(why) => {
                assert!(!case.is_assigned, "{}: {why:?}", case.name);
                let waits = matches!(why, UnplacedReason::NoPlace { wait: Some(_) });
                assert!(waits, "{}: {why:?}", case.name);
            }
        }
        waits.await.unwrap();
    }
}
