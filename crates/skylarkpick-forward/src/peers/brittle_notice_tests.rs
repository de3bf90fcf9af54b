//! Tests of what processes tell each other of brittle targets.

use super::{
    messages::{BrittleNotice, Notice},
    notice_tests::{TestNetwork, TestProcess, entries, start},
};
use crate::{node_state::NodeState, pauses::send_limits};
use skylarkpick_interface::{
    BrittleSignal, FleetRecord, FleetTopic, FleetUpdate, NamedRecord, RegisteredTarget,
    SignalObserver, StoreRevision, TargetSignals,
};
use skylarkpick_schedule::{Assignment, TargetOutcome};
use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which a word that nobody repeats no longer counts, with the time for a repeat.
const FORGET_TIME: Duration = Duration::from_secs(11);
/// Interval between two answers of a target.
const ANSWER_INTERVAL: Duration = Duration::from_millis(100);
const SIGNAL: BrittleSignal = BrittleSignal { milli_rejections_per_second: Some(2_000) };

fn target(name: &str, started_at_ms: u64) -> RegisteredTarget {
    RegisteredTarget {
        id: name.to_string(),
        service: "book-api".to_string(),
        address: ([10, 1, 0, 1], 80).into(),
        data_centre: "dc-0".to_string(),
        slots: 6,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms,
        software_version: None,
        cold_remaining: None,
    }
}

fn assignment() -> Assignment {
    let target = target("i-1", 1);
    Assignment {
        target: target.id,
        address: target.address,
        started_at_ms: target.started_at_ms,
        software_version: None,
        weight_version: None,
        cache_scope: None,
        fetch: Vec::new(),
        save: Vec::new(),
        held_tokens: 0,
        missing_tokens: 0,
        prefill_tokens: 0,
        memory_tokens: 0,
        transfers: Vec::new(),
        expected_wait: Duration::ZERO,
        load_age: None,
        newer_weights_age: None,
    }
}

/// Starts processes that know a target and tell each other what it says.
fn start_telling(network: &Arc<TestNetwork>, count: usize) -> Vec<TestProcess> {
    let processes = start(network, &entries(count, 0));
    let record = Some(FleetRecord::Target(target("i-1", 1)));
    let records = vec![NamedRecord { name: "i-1".to_string(), record }];
    let update = FleetUpdate { records, revision: StoreRevision { era: 0, number: 4 } };
    for TestProcess { node_state, watcher } in &processes {
        watcher.records.replace(FleetTopic::Targets, &update);
        tokio::spawn(send_limits(node_state.clone(), watcher.clone()));
    }
    processes
}

/// Returns the number of processes at which the target counts as brittle.
fn believing(processes: &[TestProcess]) -> u64 {
    processes.iter().map(|process| process.node_state.count_brittle()).sum()
}

/// Has a process read answers of the target, for as long.
async fn hear_for(node_state: &NodeState, time: Duration) {
    let until = node_state.now() + time;
    while node_state.now() < until {
        node_state.note_brittle(&assignment(), SIGNAL);
        tokio::time::sleep(ANSWER_INTERVAL).await;
    }
}

const FLEETS: [usize; 4] = [1, 2, 9, 60];

#[tokio::test(start_paused = true)]
async fn others_learn_within_a_second_that_a_target_is_brittle_and_that_it_no_longer_is() {
    for count in FLEETS {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, count);
        let hearing = &processes[count - 1].node_state;
        tokio::time::sleep(SECOND).await;
        assert_eq!(believing(&processes), 0, "{count} processes: before");
        for round in 0..3 {
            hearing.note_brittle(&assignment(), SIGNAL);
            tokio::time::sleep(SECOND).await;
            assert_eq!(believing(&processes), count as u64, "{count} processes: {round}");
            hearing.note_not_brittle(&assignment(), hearing.now());
            tokio::time::sleep(SECOND).await;
            assert_eq!(believing(&processes), 0, "{count} processes: after {round}");
        }
    }
}

/// A target that has no requests says so only in its answers to calls.
#[tokio::test(start_paused = true)]
async fn others_learn_what_a_target_says_in_its_answers_to_calls() {
    let network = Arc::new(TestNetwork::default());
    let processes = start_telling(&network, 9);
    let signals = TargetSignals { brittle: Some(SIGNAL), ..TargetSignals::default() };
    processes[4].node_state.observe_signals(assignment().address, &signals);
    tokio::time::sleep(SECOND).await;
    assert_eq!(believing(&processes), 9);
}

#[tokio::test(start_paused = true)]
async fn a_word_that_nobody_repeats_is_forgotten_by_all() {
    for count in FLEETS {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, count);
        processes[0].node_state.note_brittle(&assignment(), SIGNAL);
        tokio::time::sleep(8 * SECOND).await;
        assert_eq!(believing(&processes), count as u64, "{count} processes: within its lifetime");
        tokio::time::sleep(FORGET_TIME - 8 * SECOND).await;
        assert_eq!(believing(&processes), 0, "{count} processes");
        let is_known = |it: &TestProcess| !it.node_state.lock().known_brittle.is_empty();
        assert!(!processes.iter().any(is_known), "{count} processes: not logged as ended");
    }
}

#[tokio::test(start_paused = true)]
async fn a_word_that_is_repeated_lasts_in_few_messages() {
    struct Case {
        name: &'static str,
        processes: usize,
        hearing: usize,
        /// Notices in 30 s: one a second, and those that cross each other.
        notices: usize,
        /// Messages of a notice.
        messages: usize,
    }
    let cases = [
        Case { name: "one hears it", processes: 9, hearing: 1, notices: 30, messages: 8 },
        Case { name: "all hear it", processes: 9, hearing: 9, notices: 60, messages: 8 },
        Case { name: "large fleet", processes: 60, hearing: 60, notices: 120, messages: 6 },
    ];
    for case in cases {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, case.processes);
        let hear = |process: &TestProcess| {
            let node_state = process.node_state.clone();
            tokio::spawn(async move { hear_for(&node_state, 30 * SECOND).await })
        };
        let tasks: Vec<_> = processes.iter().take(case.hearing).map(hear).collect();
        tokio::time::sleep(SECOND).await;
        for second in 1..30 {
            assert_eq!(believing(&processes), case.processes as u64, "{}: {second}", case.name);
            tokio::time::sleep(SECOND).await;
        }
        let messages = network.messages.load(Ordering::SeqCst);
        assert!(messages <= case.notices * case.messages, "{}: {messages}", case.name);
        for task in tasks {
            task.await.unwrap();
        }
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_while_nothing_is_brittle() {
    for count in FLEETS {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, count);
        for _ in 0..600 {
            for TestProcess { node_state, .. } in &processes {
                node_state.note_signals(&assignment(), "a-1", &TargetSignals::default());
                node_state.note_not_brittle(&assignment(), node_state.now());
            }
            tokio::time::sleep(ANSWER_INTERVAL).await;
        }
        assert_eq!(network.messages.load(Ordering::SeqCst), 0, "{count} processes");
        assert!(
            processes.iter().all(|it| it.watcher.peer_client.notices.since(0).0.is_empty()),
            "{count} processes: a relay passes nothing on"
        );
    }
}

/// A relay passes on what it heard before to a process that changes to it.
#[tokio::test(start_paused = true)]
async fn only_a_fresh_word_on_the_right_start_counts() {
    struct Case {
        name: &'static str,
        started_at_ms: u64,
        age: Duration,
        brittle: u64,
    }
    let cases = [
        Case { name: "fresh", started_at_ms: 1, age: SECOND, brittle: 1 },
        Case { name: "old", started_at_ms: 1, age: 3 * SECOND, brittle: 0 },
        Case { name: "another start", started_at_ms: 2, age: SECOND, brittle: 0 },
    ];
    for case in cases {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, 2);
        let Case { started_at_ms, age, .. } = case;
        let brittle = BrittleNotice { target: "i-1".to_string(), started_at_ms, is_brittle: true };
        let notice = Notice::Limits {
            limits: Vec::new(),
            brittle: vec![brittle],
            uses: Vec::new(),
            ended: Vec::new(),
        };
        processes[0].node_state.apply_notice(notice, age);
        assert_eq!(processes[0].node_state.count_brittle(), case.brittle, "{}", case.name);
    }
}

/// Applies an assignment at a process as sent, and returns whether it had a place for it.
fn begin(process: &TestProcess) -> bool {
    let now = process.node_state.now();
    let mut state = process.node_state.lock();
    state.placement.begin(&assignment(), None, now);
    state.placement.take_share(&assignment(), now).is_ok()
}

fn end(process: &TestProcess, outcome: TargetOutcome) {
    let now = process.node_state.now();
    process.node_state.lock().placement.end(&assignment(), outcome, Duration::ZERO, now);
}

/// Returns how many requests processes may send to the target.
fn free_places(processes: &[TestProcess]) -> usize {
    processes
        .iter()
        .map(|process| {
            let sent = (0..6).take_while(|_| begin(process)).count();
            (0..=sent.min(5)).for_each(|_| end(process, TargetOutcome::NotSent));
            sent
        })
        .sum()
}

// Guards against processes that use all of their places beside another one's requests from before.
#[tokio::test(start_paused = true)]
async fn others_leave_places_for_what_a_process_has_under_way_beyond_its_own() {
    for count in [2, 9, 60] {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, count);
        tokio::time::sleep(3 * SECOND).await;
        (0..5).for_each(|_| {
            begin(&processes[0]);
        });
        processes[1].node_state.note_brittle(&assignment(), SIGNAL);
        tokio::time::sleep(SECOND).await;
        assert_eq!(free_places(&processes[1..]), 1, "{count} processes: five of six are taken");
        (0..5).for_each(|_| end(&processes[0], TargetOutcome::Served));
        tokio::time::sleep(SECOND).await;
        assert_eq!(free_places(&processes), 6, "{count} processes: after their ends");
    }
}

// Guards against a target that turns a request of each process away within a second.
#[tokio::test(start_paused = true)]
async fn no_process_sends_to_a_brittle_target_that_has_just_turned_away_another_s_request() {
    for count in [2, 9, 60] {
        let network = Arc::new(TestNetwork::default());
        let processes = start_telling(&network, count);
        tokio::time::sleep(3 * SECOND).await;
        processes[1].node_state.note_brittle(&assignment(), SIGNAL);
        tokio::time::sleep(3 * SECOND).await;
        assert!(free_places(&processes) > 0, "{count} processes: before");
        processes[1].node_state.note_rejection(&assignment(), "a-1", None);
        tokio::time::sleep(Duration::from_millis(200)).await;
        let others: Vec<TestProcess> = processes
            .into_iter()
            .enumerate()
            .filter(|(it, _)| *it != 1)
            .map(|(_, it)| it)
            .collect();
        assert_eq!(free_places(&others), 0, "{count} processes: within 0.2 s");
        tokio::time::sleep(SECOND).await;
        assert!(free_places(&others) > 0, "{count} processes: a second later");
    }
}
