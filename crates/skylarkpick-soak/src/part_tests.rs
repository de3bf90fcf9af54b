//! Tests that the checks of parts that end targets report violations and nothing else.

use crate::{
    clients::MAIN_KEY,
    history::{Call, CallKind, ConfiguredKey, Disturbance, DisturbanceScope, History},
    part_checks::check_parts,
    plan::CRASHING_PARTS,
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival, ClientRequest, ClientResponse};
use std::time::Duration;
use tokio::time::Instant;

const LATE_RULE: &str =
    "a part of prompts that ended five targets reaches at most three more requests";
const SOUND_RULE: &str = "sound prompts are served while a part of others ends targets";

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It ended its target.
    Ends,
    /// It was answered wholly.
    Answered,
    /// It was answered wholly, but nothing marked the end.
    AnsweredUnmarked,
    /// It reached no target.
    Refused,
}

/// A request, by its time after the start of the history.
#[derive(Clone, Copy, Debug)]
struct Sent {
    after_ms: u64,
    outcome: Outcome,
    is_sound: bool,
}

const fn sent(after_ms: u64, outcome: Outcome) -> Sent {
    Sent { after_ms, outcome, is_sound: false }
}

/// Returns requests that each end a target, one every 100 ms.
fn ends(first_ms: u64, count: u64) -> Vec<Sent> {
    (0..count).map(|it| sent(first_ms + 100 * it, Outcome::Ends)).collect()
}

/// Returns sound requests, of which the first `served` are served, one every 10 ms.
fn sound(first_ms: u64, served: u64, refused: u64) -> Vec<Sent> {
    let outcome = |it| if it < served { Outcome::Answered } else { Outcome::Refused };
    (0..served + refused)
        .map(|it| Sent { is_sound: true, ..sent(first_ms + 10 * it, outcome(it)) })
        .collect()
}

fn history(sent: &[Sent], disturbed_ms: Option<u64>) -> History {
    let mut history = History::begin();
    let started_at = history.started_at;
    let at = |after_ms| started_at + Duration::from_millis(after_ms);
    let from = at(0).checked_sub(Duration::from_secs(10)).unwrap_or(started_at);
    history.keys.push(ConfiguredKey { key: MAIN_KEY.to_string(), from, until: None });
    for (index, it) in sent.iter().enumerate() {
        let (call, arrival) = observe(index, it, at(it.after_ms));
        history.calls.push(call);
        history.arrivals.extend(arrival);
    }
    if let Some(disturbed_ms) = disturbed_ms {
        let (from, until) = (at(disturbed_ms), at(disturbed_ms));
        let scope = DisturbanceScope::Process(0);
        history.disturbances.push(Disturbance { scope, from, until });
    }
    history
}

fn observe(index: usize, sent: &Sent, at: Instant) -> (Call, Option<Arrival>) {
    let shared = if sent.is_sound { "document" } else { CRASHING_PARTS[0] };
    let is_answered = matches!(sent.outcome, Outcome::Answered | Outcome::AnsweredUnmarked);
    let marks_end = sent.outcome != Outcome::AnsweredUnmarked;
    let attempt_id = format!("call-{index}");
    let request = ClientRequest {
        attempt_id: attempt_id.clone(),
        method: "POST".to_string(),
        path: "/read/1".to_string(),
        key: MAIN_KEY.to_string(),
        deadline: Duration::from_secs(5),
        resumes: None,
        last_event_id: None,
        parts: vec!["system".to_string(), shared.to_string(), format!("own-{index}")],
        body: "body".to_string(),
    };
    let response = ClientResponse {
        status: Some(if is_answered { 200 } else { 503 }),
        body: if is_answered { attempt_id.clone() } else { String::new() },
        is_complete: true,
        is_end_marked: marks_end,
        retry_after: None,
    };
    let arrival = Arrival {
        attempt_id,
        target: format!("i-{index}"),
        software_version: "b7".to_string(),
        last_event_id: None,
        account: Some("acme".to_string()),
        at,
        has_run: true,
        marks_end,
        end: if is_answered { AnswerEnd::Whole } else { AnswerEnd::Unfinished },
        started_at_ms: 1,
        pause: None,
        is_leaving: false,
        method: request.method.clone(),
        path: request.path.clone(),
        body_digest: 0,
        parts: request.parts[..2].to_vec(),
        has_crashed: sent.outcome == Outcome::Ends,
        limit: None,
    };
    let ended_at = at + Duration::from_millis(30);
    let call = Call {
        process: 0,
        kind: CallKind::Read,
        request,
        sent_at: at,
        ended_at,
        response,
        disconnects_early: false,
    };
    (call, (sent.outcome != Outcome::Refused).then_some(arrival))
}

#[test]
fn requests_with_a_part_that_ended_five_targets_are_reported_beyond_three() {
    struct Case {
        name: &'static str,
        sent: Vec<Vec<Sent>>,
        disturbed_ms: Option<u64>,
        rules: &'static [&'static str],
    }
    let case = |name, sent, rules| Case { name, sent, disturbed_ms: None, rules };
    let answered = |after_ms| vec![sent(after_ms, Outcome::Answered)];
    let cases = [
        case("five ends", vec![ends(0, 5)], &[]),
        case("three more", vec![ends(0, 5), ends(3_500, 3)], &[]),
        case("four more", vec![ends(0, 5), ends(3_500, 4)], &[LATE_RULE]),
        case("four more within the window", vec![ends(0, 5), ends(3_000, 4)], &[]),
        case("four ends, then four more", vec![ends(0, 4), ends(8_000, 4)], &[]),
        Case {
            disturbed_ms: Some(3_500),
            ..case("four more at a disturbed process", vec![ends(0, 5), ends(3_500, 4)], &[])
        },
        case(
            "four more after a whole answer",
            vec![ends(0, 5), answered(2_000), ends(3_500, 4)],
            &[],
        ),
        case(
            "four more after an answer whose end nothing marks",
            vec![ends(0, 5), vec![sent(2_000, Outcome::AnsweredUnmarked)], ends(3_500, 4)],
            &[LATE_RULE],
        ),
        case(
            "four more before a whole answer",
            vec![ends(0, 5), ends(3_500, 4), answered(4_000)],
            &[LATE_RULE],
        ),
        case(
            "five ends and four more after a whole answer",
            vec![ends(0, 5), answered(2_000), ends(2_100, 5), ends(5_600, 4)],
            &[LATE_RULE],
        ),
        case(
            "a sound answer between the ends",
            vec![ends(0, 5), sound(2_000, 1, 0), ends(3_500, 4)],
            &[LATE_RULE],
        ),
        case("half is served", vec![ends(0, 5), sound(7_000, 10, 10), ends(8_000, 1)], &[]),
        case(
            "less than half is served",
            vec![ends(0, 5), sound(7_000, 9, 11), ends(8_000, 1)],
            &[SOUND_RULE],
        ),
    ];
    for case in cases {
        let mut findings = Vec::new();
        check_parts(&history(&case.sent.concat(), case.disturbed_ms), &mut findings);
        let rules: Vec<&str> = findings.iter().map(|finding| finding.rule).collect();
        assert_eq!(rules, case.rules, "{}", case.name);
    }
}
