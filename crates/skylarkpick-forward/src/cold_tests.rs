//! Tests of how a process learns that targets are cold, from records, other processes and its own
//! requests.

use crate::{
    fleet::FleetRecords,
    node_state::NodeState,
    peers::{EndedTargetNotice, Notice, PeerRecords},
    test_support::{at, empty_node_state},
};
use skylarkpick_interface::{
    ClientLimits, ColdRequestBound, ColdStart, CrashReport, FleetRecord, FleetTopic, FleetUpdate,
    NamedRecord, NodeLimits, RegisteredTarget, ServiceKind, ServingDocument, SignalObserver,
    TargetCrash, TargetSignals, TokioClock,
};
use skylarkpick_schedule::{
    Assignment, ConnectFailure, PlacementDecision, PlacementPolicy, PlacementRequest, ReportSource,
    TargetOutcome,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

const SECOND: Duration = Duration::from_secs(1);
const BOUND: ColdRequestBound = ColdRequestBound { excess_percent: 150, slack_requests: 5 };
const SERVICE: &str = "book-api";

fn node_state(cold: Option<ColdRequestBound>) -> Arc<NodeState> {
    let limits = NodeLimits { cold, ..*empty_node_state().limits() };
    let clock = Arc::new(TokioClock::start(SystemTime::UNIX_EPOCH));
    NodeState::open(clock, limits, PlacementPolicy::default())
}

fn serving(cold_starts: BTreeMap<String, ColdStart>) -> FleetUpdate {
    let document = ServingDocument {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(SERVICE.to_string(), ServiceKind::Plain)]),
        cold_starts,
        limits: ClientLimits {
            head_size_bytes: 16_384,
            body_size_bytes: 1_048_576,
            head_timeout: 3 * SECOND,
            idle_timeout: 15 * SECOND,
        },
        accounts: None,
    };
    let record = Some(FleetRecord::Serving(Box::new(document)));
    let records = vec![NamedRecord { name: "main".to_string(), record }];
    FleetUpdate { records, revision: at(1) }
}

fn cold_starts() -> BTreeMap<String, ColdStart> {
    let start = ColdStart { duration: 3 * SECOND, requests_per_second: 10.0 };
    BTreeMap::from([(SERVICE.to_string(), start)])
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 80))
}

fn target(started_at_ms: u64, cold_remaining: Option<Duration>, revision: u64) -> FleetUpdate {
    let registration = RegisteredTarget {
        id: "i-1".to_string(),
        service: SERVICE.to_string(),
        address: address(),
        data_centre: "mnl-a".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms,
        software_version: Some("v1".to_string()),
        cold_remaining,
    };
    let record = Some(FleetRecord::Target(registration));
    let records = vec![NamedRecord { name: "i-1".to_string(), record }];
    FleetUpdate { records, revision: at(revision) }
}

fn assignment(node_state: &NodeState) -> Assignment {
    let request = PlacementRequest {
        service: SERVICE.to_string(),
        data_centre: "mnl-a".to_string(),
        prompt: None,
        rank: 0,
        is_continuation: false,
        software_version: None,
        avoid: Vec::new(),
        max_wait: SECOND,
    };
    match node_state.choose(&request, false) {
        PlacementDecision::Assigned(assignment) => *assignment,
        PlacementDecision::Unplaced(why) => panic!("the request is placed: {why:?}"),
    }
}

/// Guards against a sign that is not passed on to placement, and against changes without the settings.
#[tokio::test(start_paused = true)]
async fn all_signs_that_a_target_is_cold_reach_placement() {
    struct Case {
        name: &'static str,
        note: fn(&Arc<NodeState>, &FleetRecords, &Assignment),
        cold_for: Duration,
    }
    let cases = [
        Case { name: "nothing", note: |_, _, _| {}, cold_for: Duration::ZERO },
        Case {
            name: "its record",
            note: |_, records, _| {
                records.update(FleetTopic::Targets, &target(2, Some(2 * SECOND), 3));
            },
            cold_for: 2 * SECOND,
        },
        Case {
            name: "its record through a relay of the previous build, which doesn't know the field",
            note: |_, records, _| {
                let mut update = serde_json::to_value(target(2, Some(2 * SECOND), 3)).unwrap();
                let registration = update["records"][0]["record"].as_object_mut().unwrap();
                for fields in registration.values_mut() {
                    assert!(fields.as_object_mut().unwrap().remove("cold_remaining").is_some());
                }
                let update = serde_json::from_value(update).unwrap();
                let received =
                    PeerRecords { update, is_complete: false, age_ms: 0, complete_age_ms: None };
                assert!(records.apply_peer_records(FleetTopic::Targets, &received));
            },
            cold_for: 3 * SECOND,
        },
        Case {
            name: "it could not be reached",
            note: |state, _, assignment| {
                state.begin(assignment.clone(), None).outcome = TargetOutcome::Unreachable;
            },
            cold_for: 3 * SECOND,
        },
        Case {
            name: "a connection broke",
            note: |state, _, assignment| state.note_broken_connection(assignment),
            cold_for: 3 * SECOND,
        },
        Case {
            name: "its response to a request",
            note: |state, _, assignment| state.note_cold_report(assignment, SECOND, state.now()),
            cold_for: SECOND,
        },
        Case {
            name: "its response to a call",
            note: |state, _, _| {
                let cold_remaining = Some(SECOND);
                let signals = TargetSignals { cold_remaining, ..TargetSignals::default() };
                state.observe_signals(address(), &signals);
            },
            cold_for: SECOND,
        },
        Case {
            name: "another process saw it end",
            note: |state, _, _| note_end(state, 1, state.wall_ms()),
            cold_for: 3 * SECOND,
        },
        Case {
            name: "it refused a connection of another process",
            note: |state, _, _| state.apply_notice(ended(), Duration::ZERO),
            cold_for: 3 * SECOND,
        },
        Case {
            name: "it refused a connection of another process long ago",
            note: |state, _, _| state.apply_notice(ended(), 3 * SECOND),
            cold_for: Duration::ZERO,
        },
        Case {
            name: "it refused a connection",
            note: |state, _, assignment| {
                state.note_not_connected(assignment, ConnectFailure::Refused);
                state.note_not_connected(assignment, ConnectFailure::Refused);
                let untold = state.lock().take_untold_ends().len();
                let is_on = state.limits().cold.is_some();
                assert_eq!(untold, usize::from(is_on), "others are told once");
            },
            cold_for: 3 * SECOND,
        },
        Case {
            name: "a connection timed out",
            note: |state, _, assignment| {
                state.note_not_connected(assignment, ConnectFailure::TimedOut);
                assert!(state.lock().take_untold_ends().is_empty(), "it may go on");
            },
            cold_for: 3 * SECOND,
        },
        Case {
            name: "another process saw it end long ago",
            note: |state, _, _| note_end(state, 1, state.wall_ms() - 5_000),
            cold_for: Duration::ZERO,
        },
    ];
    for Case { name, note, cold_for } in cases {
        for is_on in [true, false] {
            let node_state = node_state(is_on.then_some(BOUND));
            let records = FleetRecords::open(node_state.clone(), "entry-1");
            tokio::time::advance(100 * SECOND).await;
            records.replace(FleetTopic::Targets, &target(1, Some(Duration::ZERO), 2));
            records.replace(FleetTopic::Serving, &serving(cold_starts()));
            let assignment = assignment(&node_state);
            note(&node_state, &records, &assignment);
            let is_cold = is_on && !cold_for.is_zero();
            assert_eq!(node_state.count_cold() > 0, is_cold, "{name}, on: {is_on}");
            assert_eq!(node_state.take_share(&assignment), !is_cold, "{name}, on: {is_on}");
            tokio::time::advance(cold_for).await;
            assert_eq!(node_state.count_cold(), 0, "{name}, on: {is_on}");
            // The first contact after a failure begins the time anew.
            let _ = node_state.take_share(&assignment);
            tokio::time::advance(3 * SECOND).await;
            assert!(node_state.take_share(&assignment), "{name}, on: {is_on}");
        }
    }
}

fn ended() -> Notice {
    let end = EndedTargetNotice { target: "i-1".to_string(), started_at_ms: 1 };
    let (limits, brittle, uses) = (Vec::new(), Vec::new(), Vec::new());
    Notice::Limits { limits, brittle, uses, ended: vec![end] }
}

fn note_end(state: &NodeState, started_at_ms: u64, ended_at_ms: u64) {
    let crash = TargetCrash {
        target: "i-1".to_string(),
        started_at_ms,
        ended_at_ms,
        parts: BTreeMap::new(),
        requests: BTreeMap::from([(7, 0)]),
    };
    let report = CrashReport { crashes: vec![crash], ..CrashReport::default() };
    state.merge_crashes(&report, "another entry process", ReportSource::Process);
}

/// Guards against targets that count as warm since they were read before the configuration.
#[tokio::test(start_paused = true)]
async fn a_configuration_that_is_read_after_the_targets_applies_to_them() {
    let node_state = node_state(Some(BOUND));
    let records = FleetRecords::open(node_state.clone(), "entry-1");
    records.replace(FleetTopic::Targets, &target(1, Some(2 * SECOND), 2));
    assert_eq!(node_state.count_cold(), 0);
    records.replace(FleetTopic::Serving, &serving(cold_starts()));
    assert_eq!(node_state.count_cold(), 1);
}

/// Guards against a change that is not logged, and against one that is logged again and again.
#[tokio::test(start_paused = true)]
async fn a_change_is_logged_once() {
    let node_state = node_state(Some(BOUND));
    let records = FleetRecords::open(node_state.clone(), "entry-1");
    records.replace(FleetTopic::Serving, &serving(cold_starts()));
    records.replace(FleetTopic::Targets, &target(1, Some(2 * SECOND), 2));
    let known = || node_state.lock().known_cold.len();
    node_state.log_cold_changes();
    assert_eq!(known(), 1);
    tokio::time::advance(2 * SECOND).await;
    node_state.log_cold_changes();
    assert_eq!(known(), 0);
}
