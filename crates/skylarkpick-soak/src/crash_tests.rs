//! Tests that the checks of parts and requests that end targets report violations and nothing else.

use crate::{
    clients::MAIN_KEY,
    history::{Call, ConfiguredKey, Disturbance, DisturbanceScope, History},
    part_checks::check_parts,
    plan::CRASHING_PARTS,
    repeated_requests::POLL_PATH,
    request_checks::check_requests,
    test_history::{arrival, served_call},
};
use skylarkpick_platform_standin::{AnswerEnd, Arrival};
use std::time::Duration;
use tokio::time::Instant;

const LATE_RULE: &str =
    "a part of prompts that ended five targets reaches at most three more requests";
const SOUND_RULE: &str = "sound prompts are served while a part of others ends targets";
const LATE_REQUEST_RULE: &str = "a request that ended three targets reaches at most three more";
const POLL_RULE: &str = "an equal sound poll is served while another request ends targets";
const OTHERS_RULE: &str = "other requests of the caller are served while one ends targets";
/// Path of the requests that end targets.
const CRASHING_PATH: &str = "/read/crash-0";

/// What a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Content {
    /// A prompt with the part that ends targets.
    CrashingPart,
    /// A prompt with other parts.
    SoundPrompt,
    /// The request that ends targets.
    CrashingRequest,
    /// The poll, always the same.
    Poll,
}

impl Content {
    fn path(self) -> &'static str {
        match self {
            Content::CrashingPart | Content::SoundPrompt => "/read/1",
            Content::CrashingRequest => CRASHING_PATH,
            Content::Poll => POLL_PATH,
        }
    }

    fn shared_parts(self) -> Vec<String> {
        let parts: &[&str] = match self {
            Content::CrashingPart => &["system", CRASHING_PARTS[0]],
            Content::SoundPrompt => &["system", "document"],
            Content::CrashingRequest | Content::Poll => &[],
        };
        parts.iter().map(|part| part.to_string()).collect()
    }
}

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
    content: Content,
}

const fn sent(content: Content, after_ms: u64, outcome: Outcome) -> Sent {
    Sent { after_ms, outcome, content }
}

/// Returns requests that each end a target, one every 100 ms.
fn ends(content: Content, first_ms: u64, count: u64) -> Vec<Sent> {
    (0..count).map(|it| sent(content, first_ms + 100 * it, Outcome::Ends)).collect()
}

/// Returns sound requests, of which the first `served` are served, one every 10 ms.
fn sound(content: Content, first_ms: u64, served: u64, refused: u64) -> Vec<Sent> {
    let outcome = |it| if it < served { Outcome::Answered } else { Outcome::Refused };
    (0..served + refused).map(|it| sent(content, first_ms + 10 * it, outcome(it))).collect()
}

fn history(sent: &[Sent], disturbed: Option<(DisturbanceScope, u64)>) -> History {
    let mut history = History::begin();
    history.crashing_paths.push(CRASHING_PATH.to_string());
    let started_at = history.started_at;
    let at = |after_ms| started_at + Duration::from_millis(after_ms);
    let from = at(0).checked_sub(Duration::from_secs(10)).unwrap_or(started_at);
    history.keys.push(ConfiguredKey { key: MAIN_KEY.to_string(), from, until: None });
    for (index, it) in sent.iter().enumerate() {
        let (call, arrival) = observe(index, it, at(it.after_ms));
        history.calls.push(call);
        history.arrivals.extend(arrival);
    }
    if let Some((scope, disturbed_ms)) = disturbed {
        let (from, until) = (at(disturbed_ms), at(disturbed_ms));
        history.disturbances.push(Disturbance { scope, from, until });
    }
    history
}

fn observe(index: usize, sent: &Sent, at: Instant) -> (Call, Option<Arrival>) {
    let mut call = served_call(&format!("call-{index}"), sent.content.path(), at);
    let parts = sent.content.shared_parts();
    call.request.parts = parts.iter().cloned().chain([format!("own-{index}")]).collect();
    let mut arrival = Arrival { parts, ..arrival(&call, &format!("i-{index}")) };
    match sent.outcome {
        Outcome::Answered => {}
        Outcome::AnsweredUnmarked => {
            call.response.is_end_marked = false;
            arrival.marks_end = false;
        }
        Outcome::Ends => {
            call.response.status = Some(502);
            arrival.has_crashed = true;
            arrival.end = AnswerEnd::Unfinished;
        }
        Outcome::Refused => {
            call.response.status = Some(503);
            return (call, None);
        }
    }
    (call, Some(arrival))
}

#[test]
fn what_ended_targets_and_still_reaches_more_than_three_is_reported() {
    struct Case {
        name: &'static str,
        sent: Vec<Vec<Sent>>,
        disturbed: Option<(DisturbanceScope, u64)>,
        rules: &'static [&'static str],
    }
    use Content::{CrashingPart as Part, CrashingRequest as Request, Poll, SoundPrompt};
    let case = |name, sent, rules| Case { name, sent, disturbed: None, rules };
    let answered = |content, after_ms| vec![sent(content, after_ms, Outcome::Answered)];
    let unmarked = |content, after_ms| vec![sent(content, after_ms, Outcome::AnsweredUnmarked)];
    let mut cases = vec![
        case("four ends, then four more", vec![ends(Part, 0, 4), ends(Part, 8_000, 4)], &[]),
        case("two ends, then four more", vec![ends(Request, 0, 2), ends(Request, 8_000, 4)], &[]),
        case(
            "half of the prompts are served",
            vec![ends(Part, 0, 5), sound(SoundPrompt, 7_000, 10, 10), ends(Part, 8_000, 1)],
            &[],
        ),
        case(
            "less than half of the prompts are served",
            vec![ends(Part, 0, 5), sound(SoundPrompt, 7_000, 9, 11), ends(Part, 8_000, 1)],
            &[SOUND_RULE],
        ),
        case(
            "half of the polls are served",
            vec![ends(Request, 0, 3), sound(Poll, 7_000, 10, 10), ends(Request, 8_000, 1)],
            &[],
        ),
        case(
            "less than half of the polls are served",
            vec![ends(Request, 0, 3), sound(Poll, 7_000, 9, 11), ends(Request, 8_000, 1)],
            &[POLL_RULE],
        ),
        case(
            "less than half of the caller's other requests are served",
            vec![ends(Request, 0, 3), sound(SoundPrompt, 7_000, 9, 11), ends(Request, 8_000, 1)],
            &[OTHERS_RULE],
        ),
        Case {
            disturbed: Some((DisturbanceScope::AllTargets, 6_500)),
            ..case(
                "less than half of the polls are served after all targets have ended",
                vec![ends(Request, 0, 3), sound(Poll, 7_000, 9, 11), ends(Request, 8_000, 1)],
                &[],
            )
        },
        Case {
            disturbed: Some((DisturbanceScope::Target, 6_500)),
            ..case(
                "less than half of the polls are served after one target has ended",
                vec![ends(Request, 0, 3), sound(Poll, 7_000, 9, 11), ends(Request, 8_000, 1)],
                &[POLL_RULE],
            )
        },
        case(
            "polls are refused before the evidence takes effect",
            vec![ends(Request, 0, 3), sound(Poll, 5_000, 0, 20), ends(Request, 8_000, 1)],
            &[],
        ),
    ];
    let causes: [(Content, u64, &[&str]); 2] =
        [(Part, 5, &[LATE_RULE]), (Request, 3, &[LATE_REQUEST_RULE])];
    for (it, count, rules) in causes {
        let first = || ends(it, 0, count);
        cases.extend([
            case("no more", vec![first()], &[]),
            case("three more", vec![first(), ends(it, 3_500, 3)], &[]),
            case("four more", vec![first(), ends(it, 3_500, 4)], rules),
            case("four more in time", vec![first(), ends(it, 2_700, 4)], &[]),
            Case {
                disturbed: Some((DisturbanceScope::Process(0), 3_500)),
                ..case("four more at a disturbed process", vec![first(), ends(it, 3_500, 4)], &[])
            },
            case(
                "four more after a whole answer",
                vec![first(), answered(it, 2_000), ends(it, 3_500, 4)],
                &[],
            ),
            case(
                "four more after an answer whose end nothing marks",
                vec![first(), unmarked(it, 2_000), ends(it, 3_500, 4)],
                rules,
            ),
            case(
                "four more before a whole answer",
                vec![first(), ends(it, 3_500, 4), answered(it, 4_000)],
                rules,
            ),
            case(
                "four more after a whole answer and as many ends",
                vec![first(), answered(it, 2_000), ends(it, 2_100, count), ends(it, 5_600, 4)],
                rules,
            ),
            case(
                "four more after a sound answer",
                vec![first(), answered(SoundPrompt, 2_000), ends(it, 3_500, 4)],
                rules,
            ),
        ]);
    }
    for case in cases {
        let mut findings = Vec::new();
        let history = history(&case.sent.concat(), case.disturbed);
        check_parts(&history, &mut findings);
        check_requests(&history, &mut findings);
        let rules: Vec<&str> = findings.iter().map(|finding| finding.rule).collect();
        assert_eq!(rules, case.rules, "{}: {:?}", case.name, case.sent);
    }
}
