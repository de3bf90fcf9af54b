//! Tests that the checks of pauses and departures report violations and nothing else.

use crate::{
    history::{Call, CallKind, Disturbance, DisturbanceScope, History},
    signal_checks::check_signals,
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival, ClientRequest, ClientResponse};
use std::time::Duration;

const PAUSE: Duration = Duration::from_secs(3);
const PAUSE_RULE: &str = "a target that asked a process for a pause gets no requests from it";
const LEAVING_RULE: &str =
    "a target that said that it leaves gets no requests after the drain limit";

/// A request that reaches a target.
struct Request {
    process: usize,
    target: &'static str,
    started_at_ms: u64,
    after_ms: u64,
}

const fn request(after_ms: u64) -> Request {
    Request { process: 0, target: "i-1", started_at_ms: 1, after_ms }
}

/// Returns a history in which a target asks a process for something at its start.
fn history(asks: fn(&mut Arrival), later: &[Request], disturbed: Option<usize>) -> History {
    let mut history = History::begin();
    let at = |after_ms| history.started_at + Duration::from_millis(after_ms);
    let first = request(0);
    let mut calls = Vec::new();
    let mut arrivals = Vec::new();
    for (index, it) in std::iter::once(&first).chain(later).enumerate() {
        let attempt_id = format!("call-{index}");
        let response = ClientResponse { status: Some(200), ..ClientResponse::default() };
        calls.push(Call {
            process: it.process,
            kind: CallKind::Read,
            request: ClientRequest {
                attempt_id: attempt_id.clone(),
                method: "POST".to_string(),
                path: "/read/1".to_string(),
                key: String::new(),
                deadline: PAUSE,
                resumes: None,
                last_event_id: None,
                parts: Vec::new(),
                body: "body".to_string(),
            },
            sent_at: at(it.after_ms),
            ended_at: at(it.after_ms),
            response,
            disconnects_early: false,
        });
        arrivals.push(Arrival {
            attempt_id,
            target: it.target.to_string(),
            software_version: "b7".to_string(),
            last_event_id: None,
            account: None,
            at: at(it.after_ms),
            has_run: true,
            marks_end: true,
            end: AnswerEnd::Whole,
            started_at_ms: it.started_at_ms,
            pause: None,
            is_leaving: false,
            method: "POST".to_string(),
            path: "/read/1".to_string(),
            body_digest: 0,
            parts: Vec::new(),
            has_crashed: false,
            failure: None,
            limit: None,
            is_turned_away: false,
            has_fallen: false,
        });
    }
    asks(&mut arrivals[0]);
    let (from, until) = (at(100), at(200));
    let scope = disturbed.map(DisturbanceScope::PlannedRestart);
    history.disturbances =
        scope.map(|scope| Disturbance { scope, from, until }).into_iter().collect();
    (history.calls, history.arrivals) = (calls, arrivals);
    history
}

#[test]
fn requests_against_the_word_of_a_target_are_reported_unless_they_are_excused() {
    struct Case {
        name: &'static str,
        asks: fn(&mut Arrival),
        later: Vec<Request>,
        disturbed: Option<usize>,
        rules: &'static [&'static str],
    }
    let pauses: fn(&mut Arrival) = |arrival| arrival.pause = Some(PAUSE);
    let leaves: fn(&mut Arrival) = |arrival| arrival.is_leaving = true;
    let three = || vec![request(600), request(1_000), request(2_900)];
    let with = |change: fn(Request) -> Request| three().into_iter().map(change).collect();
    let case = |name, asks, later, rules| Case { name, asks, later, disturbed: None, rules };
    let cases = [
        case("nothing asked", |_| {}, three(), &[]),
        case("three in a pause", pauses, three(), &[PAUSE_RULE]),
        case("two in a pause", pauses, vec![request(600), request(700)], &[]),
        case("under way", pauses, vec![request(10), request(20), request(490)], &[]),
        case("after the pause", pauses, vec![request(3_010), request(3_020), request(3_030)], &[]),
        case("another process", pauses, with(|it| Request { process: 1, ..it }), &[]),
        case("another target", pauses, with(|it| Request { target: "i-2", ..it }), &[]),
        case("another start", pauses, with(|it| Request { started_at_ms: 2, ..it }), &[]),
        Case { disturbed: Some(0), ..case("a restart of the process", pauses, three(), &[]) },
        Case { disturbed: Some(1), ..case("a restart elsewhere", pauses, three(), &[PAUSE_RULE]) },
        case("one after leaving", leaves, vec![request(2_100)], &[LEAVING_RULE]),
        case("some within the drain limit", leaves, vec![request(100), request(1_900)], &[]),
        case(
            "another start after leaving",
            leaves,
            vec![Request { started_at_ms: 2, ..request(2_100) }],
            &[],
        ),
        Case {
            disturbed: Some(0),
            ..case("a restart of the process after leaving", leaves, vec![request(2_100)], &[])
        },
    ];
    for case in cases {
        let mut findings = Vec::new();
        check_signals(&history(case.asks, &case.later, case.disturbed), &mut findings);
        let rules: Vec<&str> = findings.iter().map(|finding| finding.rule).collect();
        assert_eq!(rules, case.rules, "{}", case.name);
    }
}
