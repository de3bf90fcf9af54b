//! Tests that fault plans are reproducible, and that the checks report violations and nothing else.

use crate::{
    LoopbackNetwork,
    checks::check_history,
    clients::MAIN_KEY,
    history::{
        Call, CallKind, ConfiguredKey, Disturbance, DisturbanceScope, History, ServingTarget,
    },
    plan::{FaultPlan, PlannedFault},
};
use skylarkpick_platform_standin::{
    AnswerEnd, AnswerFaults, Arrival, ClientRequest, ClientResponse, StreamEvent,
};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use tokio::time::Instant;

#[test]
fn a_seed_always_draws_the_same_fault_plan() {
    let draw = |seed| FaultPlan::draw(seed, Duration::from_secs(30), 4, 4);
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    assert!(draw(3).faults.iter().all(|(at, _)| *at < Duration::from_secs(30)));
    assert!(FaultPlan::draw(3, Duration::from_secs(30), 0, 4).faults.is_empty());
}

#[test]
fn soaks_side_by_side_do_not_use_the_same_network() {
    let first = LoopbackNetwork::reserve(9).unwrap();
    let second = LoopbackNetwork::reserve(9).unwrap();
    assert_ne!(first.number, second.number);
}

/// Returns an event of the stream of a client attempt.
fn event(software_version: &str, attempt_id: &str, after: u64, index: u64) -> String {
    let (software_version, attempt_id) = (software_version.to_string(), attempt_id.to_string());
    StreamEvent { software_version, attempt_id, after, index }.text()
}

/// Returns a history with one call, which ran on one target and got a response.
fn valid_history(kind: CallKind) -> History {
    let now = Instant::now();
    let body = match kind {
        CallKind::Events | CallKind::Unresumable => {
            (1..=8).map(|index| event("b7", "a", 0, index)).collect()
        }
        CallKind::Read | CallKind::Write => "a".to_string(),
    };
    let request = ClientRequest {
        attempt_id: "a".to_string(),
        method: "POST".to_string(),
        path: format!("/{}/1", kind.route()),
        key: MAIN_KEY.to_string(),
        deadline: Duration::from_secs(5),
        resumes: None,
        last_event_id: None,
        parts: Vec::new(),
        body: "body".to_string(),
    };
    let response = ClientResponse {
        status: Some(200),
        body,
        is_complete: true,
        is_end_marked: true,
        retry_after: None,
    };
    let sent_at = now + Duration::from_secs(20);
    let ended_at = sent_at + Duration::from_millis(30);
    History {
        calls: vec![Call {
            process: 0,
            kind,
            request,
            sent_at,
            ended_at,
            response,
            disconnects_early: false,
        }],
        arrivals: vec![Arrival {
            attempt_id: "a".to_string(),
            target: "i-1".to_string(),
            software_version: "b7".to_string(),
            last_event_id: None,
            account: Some("acme".to_string()),
            at: sent_at,
            has_run: true,
            marks_end: true,
            end: AnswerEnd::Whole,
            started_at_ms: 1,
            pause: None,
            is_leaving: false,
            method: "POST".to_string(),
            path: format!("/{}/1", kind.route()),
            body_digest: 0,
            parts: Vec::new(),
            has_crashed: false,
            failure: None,
            limit: None,
            is_turned_away: false,
            has_fallen: false,
        }],
        keys: vec![ConfiguredKey { key: MAIN_KEY.to_string(), from: now, until: None }],
        ..History::begin()
    }
}

/// Makes the stream of a history break after three events and lets the client take it up: the call
/// `b` goes on with events 4 to 8 of this software version.
fn take_up(history: &mut History, software_version: &str) {
    history.calls[0].response.body = (1..=3).map(|index| event("b7", "a", 0, index)).collect();
    history.calls[0].response.is_complete = false;
    let mut call = history.calls[0].clone();
    call.process = 1;
    call.request.attempt_id = "b".to_string();
    call.request.resumes = Some("a".to_string());
    call.request.last_event_id = Some(3);
    call.sent_at = call.ended_at;
    call.ended_at += Duration::from_millis(200);
    call.response.body = (4..=8).map(|index| event(software_version, "b", 3, index)).collect();
    call.response.is_complete = true;
    history.calls.push(call);
}

/// Makes the target of the first call close the connection after these bytes, without a marked end.
fn close_early(history: &mut History, body: String) {
    history.arrivals[0].marks_end = false;
    history.arrivals[0].end = AnswerEnd::Closed;
    history.calls[0].response.is_end_marked = false;
    history.calls[0].response.body = body;
}

/// Makes the response to the last call a refusal.
fn refuse(history: &mut History, status: u16, retry_after: Option<Duration>, took: Duration) {
    let call = history.calls.last_mut().unwrap();
    call.response = ClientResponse {
        status: Some(status),
        body: String::new(),
        is_complete: true,
        is_end_marked: true,
        retry_after,
    };
    call.ended_at = call.sent_at + took;
}

/// Makes the client take up 12 streams, of which the first `continued` go on, while two targets of
/// their software version serve.
fn take_up_many(history: &mut History, continued: usize) {
    take_up(history, "b7");
    let calls = std::mem::take(&mut history.calls);
    for number in 0..12 {
        let rename = |text: &str| text.replace("/a/", &format!("/a{number}/"));
        let (mut first, mut second) = (calls[0].clone(), calls[1].clone());
        first.request.attempt_id = format!("a{number}");
        first.response.body = rename(&first.response.body);
        second.request.attempt_id = format!("b{number}");
        second.request.resumes = Some(format!("a{number}"));
        second.response.body = second.response.body.replace("/b/", &format!("/b{number}/"));
        history.calls.extend([first, second]);
        if number >= continued {
            refuse(history, 503, Some(Duration::from_millis(400)), Duration::ZERO);
        }
    }
    history.arrivals.clear();
    for target in ["i-1", "i-2"] {
        let from = calls[0].sent_at - Duration::from_secs(3);
        history.serving.push(ServingTarget { from, ..ServingTarget::from_now(target, "b7") });
    }
}

/// Makes the request arrive 3 s after its target began to drain, sent `after` the beginning, while the
/// link to the target `faulty` holds data.
fn hold_at_draining(history: &mut History, faulty: &str, after: Duration) {
    let began_at = history.calls[0].sent_at;
    let arrived_at = began_at + Duration::from_secs(3);
    history.calls[0].sent_at += after;
    history.calls[0].ended_at = arrived_at;
    history.arrivals[0].at = arrived_at;
    history.draining.push(("i-1".to_string(), began_at));
    history.link_faults.push((faulty.to_string(), began_at, arrived_at));
}

#[test]
fn reports_each_rule_violation_and_nothing_else() {
    struct Case {
        name: &'static str,
        kind: CallKind,
        change: fn(&mut History),
        rules: &'static [&'static str],
    }
    let cases = [
        Case { name: "a call", kind: CallKind::Read, change: |_| {}, rules: &[] },
        Case { name: "a stream", kind: CallKind::Events, change: |_| {}, rules: &[] },
        Case {
            name: "a write that ran twice",
            kind: CallKind::Write,
            change: |history| history.arrivals.push(history.arrivals[0].clone()),
            rules: &[
                "a non-idempotent request runs at most once",
                "a request runs at most as often as its route allows",
            ],
        },
        Case {
            name: "a rejection of a request that ran",
            kind: CallKind::Write,
            change: |history| history.calls[0].response.status = Some(503),
            rules: &["a request that is rejected as not run has not run"],
        },
        Case {
            name: "a stream that can't be resumed and ran twice",
            kind: CallKind::Unresumable,
            change: |history| history.arrivals.push(history.arrivals[0].clone()),
            rules: &[
                "a non-idempotent request runs at most once",
                "a request runs at most as often as its route allows",
            ],
        },
        Case {
            name: "a stream that can't be resumed, first rejected and then run",
            kind: CallKind::Unresumable,
            change: |history| {
                let rejected = Arrival { has_run: false, ..history.arrivals[0].clone() };
                history.arrivals.insert(0, rejected);
            },
            rules: &[],
        },
        Case {
            name: "a stream that can't be resumed, refused with 429 after it ran",
            kind: CallKind::Unresumable,
            change: |history| history.calls[0].response.status = Some(429),
            rules: &["a request that is rejected as not run has not run"],
        },
        Case {
            name: "a write that is refused with 408 after it ran",
            kind: CallKind::Write,
            change: |history| history.calls[0].response.status = Some(408),
            rules: &["a request that is rejected as not run has not run"],
        },
        Case {
            name: "a write that is refused with 421 after it ran",
            kind: CallKind::Write,
            change: |history| history.calls[0].response.status = Some(421),
            rules: &["a request that is rejected as not run has not run"],
        },
        Case {
            name: "a write that ran and gets a failure that promises nothing",
            kind: CallKind::Write,
            change: |history| history.calls[0].response.status = Some(502),
            rules: &[],
        },
        Case {
            name: "a rejection of a request that did not run",
            kind: CallKind::Write,
            change: |history| {
                history.calls[0].response.status = Some(503);
                history.arrivals[0].has_run = false;
            },
            rules: &[],
        },
        Case {
            name: "the response of another request",
            kind: CallKind::Read,
            change: |history| history.calls[0].response.body = "b".to_string(),
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a truncated stream that looks complete",
            kind: CallKind::Events,
            change: |history| history.calls[0].response.body = event("b7", "a", 0, 1),
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a stream that broke",
            kind: CallKind::Events,
            change: |history| {
                history.calls[0].response.body = event("b7", "a", 0, 1);
                history.calls[0].response.is_complete = false;
            },
            rules: &[],
        },
        Case {
            name: "a stream that its target closed between events, without a marked end",
            kind: CallKind::Events,
            change: |history| close_early(history, event("b7", "a", 0, 1)),
            rules: &[],
        },
        Case {
            name: "a stream that its target closed within an event, without a marked end",
            kind: CallKind::Events,
            change: |history| close_early(history, "id: 1\nda".to_string()),
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a stream that its target closed early, with a marked end for the client",
            kind: CallKind::Events,
            change: |history| {
                close_early(history, event("b7", "a", 0, 1));
                history.calls[0].response.is_end_marked = true;
            },
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "an answer that its target reset, closed for the client",
            kind: CallKind::Write,
            change: |history| {
                close_early(history, String::new());
                history.arrivals[0].end = AnswerEnd::Reset;
            },
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a whole answer without a marked end that only the process cut off",
            kind: CallKind::Write,
            change: |history| {
                close_early(history, String::new());
                history.arrivals[0].end = AnswerEnd::Whole;
            },
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a stream that misses an event",
            kind: CallKind::Events,
            change: |history| {
                let body: Vec<String> =
                    (1..=8).filter(|it| *it != 4).map(|it| event("b7", "a", 0, it)).collect();
                history.calls[0].response.body = body.concat();
            },
            rules: &[
                "a response belongs to its request, in order and complete",
                "a stream that is taken up goes on after its last event",
            ],
        },
        Case {
            name: "a stream that went on at another target after its last event",
            kind: CallKind::Events,
            change: |history| {
                let after = |index| if index > 4 { 4 } else { 0 };
                history.calls[0].response.body =
                    (1..=8).map(|index| event("b7", "a", after(index), index)).collect();
            },
            rules: &[],
        },
        Case {
            name: "a stream that a target went on with after another event than the last one",
            kind: CallKind::Events,
            change: |history| {
                let after = |index| if index > 4 { 2 } else { 0 };
                history.calls[0].response.body =
                    (1..=8).map(|index| event("b7", "a", after(index), index)).collect();
            },
            rules: &["a response belongs to its request, in order and complete"],
        },
        Case {
            name: "a stream that went on at another software version in one response",
            kind: CallKind::Events,
            change: |history| {
                history.calls[0].response.body = (1..=8)
                    .map(|index| match index {
                        ..=4 => event("b7", "a", 0, index),
                        _ => event("a2", "a", 4, index),
                    })
                    .collect();
            },
            rules: &["all events of a stream are of one software version"],
        },
        Case {
            name: "a stream that was taken up",
            kind: CallKind::Events,
            change: |history| take_up(history, "b7"),
            rules: &[],
        },
        Case {
            name: "a stream that was taken up at another software version",
            kind: CallKind::Events,
            change: |history| take_up(history, "a2"),
            rules: &["all events of a stream are of one software version"],
        },
        Case {
            name: "a stream that was taken up from its start",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                history.calls[1].response.body =
                    (1..=8).map(|index| event("b7", "b", 0, index)).collect();
            },
            rules: &[
                "a response belongs to its request, in order and complete",
                "a stream that is taken up goes on after its last event",
            ],
        },
        Case {
            name: "a taken-up stream that is refused at once",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                refuse(history, 503, Some(Duration::from_millis(400)), Duration::from_millis(20));
                history.stable_since = Some(history.calls[0].sent_at - Duration::from_secs(1));
                history.calls[0].disconnects_early = true;
            },
            rules: &[],
        },
        Case {
            name: "a taken-up stream that is refused without a time to come back",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                refuse(history, 503, None, Duration::from_millis(20));
            },
            rules: &["a stream that is taken up is refused at once, with a time to come back"],
        },
        Case {
            name: "a taken-up stream that is refused late",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                refuse(history, 503, Some(Duration::ZERO), Duration::from_millis(1_200));
            },
            rules: &["a stream that is taken up is refused at once, with a time to come back"],
        },
        Case {
            name: "a taken-up stream that is refused late over a link with a fault",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                refuse(history, 503, Some(Duration::ZERO), Duration::from_millis(1_200));
                let from = history.calls[0].sent_at;
                let scope = DisturbanceScope::TargetLink;
                history.disturbances.push(Disturbance { scope, from, until: from });
            },
            rules: &[],
        },
        Case {
            name: "a taken-up stream that is refused with a status of other refusals",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                refuse(history, 429, Some(Duration::ZERO), Duration::from_millis(20));
            },
            rules: &["a stream that is taken up is refused at once, with a time to come back"],
        },
        Case {
            name: "a taken-up stream that is refused and ran",
            kind: CallKind::Events,
            change: |history| {
                take_up(history, "b7");
                refuse(history, 503, Some(Duration::ZERO), Duration::from_millis(20));
                let arrival = history.arrivals[0].clone();
                history.arrivals.push(Arrival { attempt_id: "b".to_string(), ..arrival });
            },
            rules: &["a request that is rejected as not run has not run"],
        },
        Case {
            name: "half of the taken-up streams go on",
            kind: CallKind::Events,
            change: |history| take_up_many(history, 6),
            rules: &[],
        },
        Case {
            name: "fewer than half of the taken-up streams go on",
            kind: CallKind::Events,
            change: |history| take_up_many(history, 5),
            rules: &["streams that are taken up go on at least half as often as new ones begin"],
        },
        Case {
            name: "fewer than half of the taken-up streams go on, while one target serves",
            kind: CallKind::Events,
            change: |history| {
                take_up_many(history, 5);
                history.serving.pop();
            },
            rules: &[],
        },
        Case {
            name: "fewer than half of the taken-up streams go on, at a disturbed process",
            kind: CallKind::Events,
            change: |history| {
                take_up_many(history, 5);
                let from = history.calls[0].sent_at;
                let scope = DisturbanceScope::Process(1);
                history.disturbances.push(Disturbance { scope, from, until: from });
            },
            rules: &[],
        },
        Case {
            name: "a target that began to drain long ago",
            kind: CallKind::Read,
            change: |history| {
                let at = history.calls[0].sent_at - Duration::from_secs(3);
                history.draining.push(("i-1".to_string(), at));
            },
            rules: &["a draining target gets no request after the drain limit"],
        },
        Case {
            name: "a target that began to drain long ago, on a paused process",
            kind: CallKind::Read,
            change: |history| {
                let at = history.calls[0].sent_at - Duration::from_secs(3);
                history.draining.push(("i-1".to_string(), at));
                let scope = DisturbanceScope::Process(0);
                history.disturbances.push(Disturbance { scope, from: at, until: at });
            },
            rules: &[],
        },
        Case {
            name: "a request that the link held since before its target began to drain",
            kind: CallKind::Read,
            change: |history| hold_at_draining(history, "i-1", Duration::ZERO),
            rules: &[],
        },
        Case {
            name: "a request that was sent long after its target began to drain, over a faulty link",
            kind: CallKind::Read,
            change: |history| hold_at_draining(history, "i-1", Duration::from_millis(2_100)),
            rules: &["a draining target gets no request after the drain limit"],
        },
        Case {
            name: "a request that arrived late at a draining target, beside a faulty link to another",
            kind: CallKind::Read,
            change: |history| hold_at_draining(history, "i-2", Duration::ZERO),
            rules: &["a draining target gets no request after the drain limit"],
        },
        Case {
            name: "a key that was revoked long ago",
            kind: CallKind::Read,
            change: |history| {
                history.keys[0].until = Some(history.calls[0].sent_at - Duration::from_secs(3));
            },
            rules: &["API keys are accepted and rejected as configured"],
        },
        Case {
            name: "a configured key that is rejected",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].response.status = Some(401);
                history.arrivals.clear();
            },
            rules: &["API keys are accepted and rejected as configured"],
        },
        Case {
            name: "an unknown key that is served",
            kind: CallKind::Read,
            change: |history| history.keys.clear(),
            rules: &["API keys are accepted and rejected as configured"],
        },
        Case {
            name: "a response after the timeout",
            kind: CallKind::Read,
            change: |history| history.calls[0].ended_at += Duration::from_secs(6),
            rules: &["a response arrives within the timeout of its route"],
        },
        Case {
            name: "a failure after the recovery time",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].response.status = Some(502);
                history.stable_since = Some(history.calls[0].sent_at - Duration::from_secs(1));
            },
            rules: &["every valid request is served after the recovery time"],
        },
        Case {
            name: "a response that is lost during a planned restart",
            kind: CallKind::Read,
            change: |history| {
                history.calls[0].response = ClientResponse::default();
                let from = history.calls[0].sent_at;
                let scope = DisturbanceScope::PlannedRestart(0);
                history.disturbances.push(Disturbance { scope, from, until: from });
            },
            rules: &["planned maintenance loses no response of a request that ran"],
        },
        Case {
            name: "a run without a client request",
            kind: CallKind::Read,
            change: |history| history.arrivals[0].attempt_id = "other".to_string(),
            rules: &["a target runs only requests of clients"],
        },
    ];
    for case in cases {
        let mut history = valid_history(case.kind);
        (case.change)(&mut history);
        let found: Vec<&str> = check_history(&history).iter().map(|finding| finding.rule).collect();
        assert_eq!(found, case.rules, "{}", case.name);
    }
}

#[test]
fn the_seeds_of_regressions_disturb_processes_and_leave_their_links_to_each_other() {
    for seed in [4, 8, 101] {
        let plan = FaultPlan::draw(seed, Duration::from_secs(10), 3, 4);
        assert!(plan.has_process_faults && plan.has_peer_links, "{seed}: {plan:?}");
    }
}

#[test]
fn the_seeds_of_regressions_have_no_cuts_from_all_targets_and_no_brittle_targets() {
    for seed in [4, 8, 101, 11_003, 11_004, 58_230] {
        let plan = FaultPlan::draw(seed, Duration::from_secs(12), 3, 4);
        let is_brittle = |fault| matches!(fault, PlannedFault::BrittleTargets { .. });
        let has_brittle_time = plan.faults.iter().any(|(_, fault)| is_brittle(*fault));
        assert!(!plan.has_cuts() && !has_brittle_time, "{seed}: {plan:?}");
    }
}

/// Returns the faults of answers of a seed, as a regression plays it.
fn answer_faults(seed: u64) -> Vec<AnswerFaults> {
    let plan = FaultPlan::draw(seed, Duration::from_secs(10), 3, 4);
    let faults = plan.faults.into_iter().filter_map(|(_, fault)| match fault {
        PlannedFault::FaultyAnswers { faults, .. } => Some(faults),
        _ => None,
    });
    faults.collect()
}

#[test]
fn the_seed_of_late_copies_and_unstated_rejections_has_faulty_answers_and_others_have_none() {
    let faults = answer_faults(58_230);
    assert!(faults.iter().any(|it| it.rejected_percent > 0 && it.repeated_percent > 0));
    assert!(faults.iter().any(|it| it.unstated_percent > 0));
    assert!([4, 8, 101, 11_003, 11_004].iter().all(|seed| answer_faults(*seed).is_empty()));
}

#[test]
fn the_plans_of_kept_seeds_stay_as_they_were() {
    struct Case {
        seed: u64,
        seconds: u64,
        faults: usize,
        digest: u64,
    }
    let cases = [
        Case { seed: 4, seconds: 10, faults: 15, digest: 0x3cf7_dd4f_cacf_eb6a },
        Case { seed: 8, seconds: 12, faults: 28, digest: 0x712f_9d00_0bed_572f },
        Case { seed: 101, seconds: 10, faults: 17, digest: 0x6e2d_73a0_9868_c63a },
    ];
    for case in cases {
        let plan = FaultPlan::draw(case.seed, Duration::from_secs(case.seconds), 3, 4);
        let mut hasher = DefaultHasher::new();
        format!("{plan:?}").hash(&mut hasher);
        let found = (plan.faults.len(), hasher.finish());
        assert_eq!(found, (case.faults, case.digest), "seed {}: {plan:?}", case.seed);
    }
}
