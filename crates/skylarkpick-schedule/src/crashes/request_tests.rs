use super::{CrashEvidence, CrashVerdict, EVIDENCE_LIFETIME, ReportSource};
use skylarkpick_interface::{CrashCause, CrashReport, PartNumber, RequestNumber, TargetCrash};
use std::{collections::BTreeMap, time::Duration};

const BAD: RequestNumber = 7;
const POLL: RequestNumber = 8;
const PART: PartNumber = 7;
const SECOND_MS: u64 = 1_000;
/// A wall-clock time.
const START_MS: u64 = 1_700_000_000_000;

/// Something that a process sees, at a time in milliseconds after the start.
#[derive(Clone, Copy, Debug)]
enum Seen {
    /// A target ended under requests, each with the time before which it was not sent, and with prompts
    /// of these parts.
    End(&'static str, u64, &'static [(RequestNumber, u64)], &'static [PartNumber]),
    /// A whole answer to a request.
    Answer(u64, RequestNumber),
    /// A whole answer to a prompt with a part.
    AnswerToPart(u64, PartNumber),
}

fn end(target: &str, ended_at_ms: u64, requests: &[(RequestNumber, u64)]) -> TargetCrash {
    TargetCrash {
        target: target.to_string(),
        started_at_ms: 0,
        ended_at_ms: START_MS + ended_at_ms,
        parts: BTreeMap::new(),
        requests: requests.iter().map(|(request, ms)| (*request, START_MS + ms)).collect(),
    }
}

fn play(seen: &[Seen]) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for event in seen {
        match *event {
            Seen::End(target, at_ms, requests, parts) => {
                let parts = parts.iter().copied().zip(0..).collect();
                evidence.note_crash(&TargetCrash { parts, ..end(target, at_ms, requests) });
            }
            Seen::Answer(at_ms, request) => {
                evidence.note_answer(&[CrashCause::Request(request)], START_MS + at_ms);
            }
            Seen::AnswerToPart(at_ms, part) => {
                evidence.note_answer(&[CrashCause::Part(part)], START_MS + at_ms);
            }
        }
    }
    evidence
}

fn verdict(evidence: &CrashEvidence, request: RequestNumber, at_ms: u64) -> CrashVerdict {
    evidence.verdict(&[CrashCause::Request(request)], START_MS + at_ms)
}

fn is_blamed(evidence: &CrashEvidence, request: RequestNumber) -> bool {
    evidence.blamed().any(|cause| cause == CrashCause::Request(request))
}

#[test]
fn requests_are_judged_by_the_ends_of_targets() {
    struct Case {
        name: &'static str,
        seen: &'static [Seen],
        blamed: &'static [CrashCause],
        suspected: &'static [RequestNumber],
    }
    use CrashCause::{Part, Request};
    use Seen::{Answer, AnswerToPart, End};
    let cases = [
        Case {
            name: "one end says nothing",
            seen: &[End("i-1", 1_000, &[(BAD, 900)], &[])],
            blamed: &[],
            suspected: &[],
        },
        Case {
            name: "two ends make suspects of all that was never answered",
            seen: &[
                Answer(0, POLL),
                End("i-1", 1_000, &[(BAD, 900), (9, 900), (POLL, 900)], &[]),
                End("i-2", 1_048, &[(BAD, 1_000), (9, 1_000), (POLL, 1_000)], &[]),
            ],
            blamed: &[],
            suspected: &[BAD, 9],
        },
        Case {
            name: "a chain of repeats that ends three targets within 0.2 s",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[]),
                End("i-2", 1_048, &[(BAD, 1_000)], &[]),
                End("i-3", 1_094, &[(BAD, 1_048)], &[]),
            ],
            blamed: &[Request(BAD)],
            suspected: &[],
        },
        Case {
            name: "a third copy whose sender knew of no end",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[]),
                End("i-2", 1_034, &[(BAD, 1_000)], &[]),
                End("i-3", 1_072, &[(BAD, 940)], &[]),
            ],
            blamed: &[Request(BAD)],
            suspected: &[],
        },
        Case {
            name: "targets that end together",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[]),
                End("i-2", 1_040, &[(BAD, 920)], &[]),
                End("i-3", 1_090, &[(BAD, 950)], &[]),
                End("i-4", 1_150, &[(BAD, 960)], &[]),
            ],
            blamed: &[],
            suspected: &[BAD],
        },
        Case {
            name: "a repeat that reaches targets which are just ending together",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[]),
                End("i-2", 1_004, &[(BAD, 1_000)], &[]),
                End("i-3", 1_006, &[(BAD, 900)], &[]),
            ],
            blamed: &[],
            suspected: &[BAD],
        },
        Case {
            name: "polls in flight while targets end one after the other",
            seen: &[
                Answer(0, POLL),
                End("i-1", 1_000, &[(POLL, 900)], &[]),
                End("i-2", 1_050, &[(POLL, 1_000)], &[]),
                End("i-3", 1_100, &[(POLL, 1_050)], &[]),
                End("i-4", 1_150, &[(POLL, 1_100)], &[]),
                End("i-5", 1_200, &[(POLL, 1_150)], &[]),
            ],
            blamed: &[],
            suspected: &[],
        },
        Case {
            name: "a poll beside each end that is answered in between",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900), (POLL, 900)], &[]),
                Answer(1_200, POLL),
                End("i-2", 2_000, &[(BAD, 1_900), (POLL, 1_900)], &[]),
                Answer(2_200, POLL),
                End("i-3", 3_000, &[(BAD, 2_900), (POLL, 2_900)], &[]),
                End("i-4", 4_000, &[(BAD, 3_900), (POLL, 3_900)], &[]),
            ],
            blamed: &[Request(BAD)],
            suspected: &[],
        },
        Case {
            name: "a request that was answered since",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[]),
                End("i-2", 2_000, &[(BAD, 1_900)], &[]),
                Answer(2_500, BAD),
                End("i-3", 3_000, &[(BAD, 2_900)], &[]),
            ],
            blamed: &[],
            suspected: &[],
        },
        Case {
            name: "a request and its part explain the same ends",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[PART]),
                End("i-2", 2_000, &[(BAD, 1_900)], &[PART]),
                End("i-3", 3_000, &[(BAD, 2_900)], &[PART]),
            ],
            blamed: &[Request(BAD)],
            suspected: &[],
        },
        Case {
            name: "a request and a part that end targets beside each other",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[]),
                End("i-2", 2_000, &[(BAD, 1_900)], &[PART]),
                End("i-3", 3_000, &[], &[PART]),
                End("i-4", 4_000, &[(BAD, 3_900)], &[PART]),
                End("i-5", 5_000, &[(BAD, 4_900)], &[]),
            ],
            blamed: &[Part(PART), Request(BAD)],
            suspected: &[],
        },
        Case {
            name: "a part that was answered, with an end beside those of a request",
            seen: &[
                AnswerToPart(0, PART),
                End("i-1", 1_000, &[(BAD, 900)], &[PART]),
                End("i-2", 2_000, &[(BAD, 1_900)], &[PART]),
                End("i-3", 3_000, &[(BAD, 2_900)], &[PART]),
                End("i-4", 4_000, &[(BAD, 3_900)], &[PART]),
                End("i-5", 5_000, &[], &[PART]),
            ],
            blamed: &[Request(BAD)],
            suspected: &[],
        },
        Case {
            name: "a part explains more ends than each of its requests",
            seen: &[
                End("i-1", 1_000, &[(BAD, 900)], &[PART]),
                End("i-2", 2_000, &[(BAD, 1_900)], &[PART]),
                End("i-3", 3_000, &[(BAD, 2_900)], &[PART]),
                End("i-4", 4_000, &[(POLL, 3_900)], &[PART]),
            ],
            blamed: &[Part(PART)],
            suspected: &[],
        },
    ];
    for Case { name, seen, blamed, suspected } in cases {
        let evidence = play(seen);
        assert!(evidence.blamed().eq(blamed.iter().copied()), "{name}");
        for request in [BAD, POLL, 9] {
            let verdict = verdict(&evidence, request, 10 * SECOND_MS);
            let is_suspect = verdict == CrashVerdict::Suspect(Request(request));
            assert_eq!(is_suspect, suspected.contains(&request), "{name}: {request} {verdict:?}");
        }
    }
}

#[test]
fn ends_that_single_processes_see_blame_a_request_in_any_order() {
    let seen: [&[Seen]; 3] = [
        &[
            Seen::End("i-1", 1_000, &[(BAD, 900)], &[]),
            Seen::End("i-2", 1_048, &[(BAD, 1_000)], &[]),
        ],
        &[
            Seen::End("i-2", 1_050, &[(BAD, 940)], &[]),
            Seen::End("i-1", 1_003, &[(POLL, 800)], &[]),
        ],
        &[Seen::End("i-3", 1_244, &[(BAD, 940)], &[])],
    ];
    let reports: Vec<CrashReport> = seen.iter().map(|seen| play(seen).report()).collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut evidence = CrashEvidence::default();
        for index in order {
            assert!(!is_blamed(&evidence, BAD), "{order:?}");
            evidence.merge(&reports[index], ReportSource::Registration, START_MS + 2 * SECOND_MS);
        }
        assert!(is_blamed(&evidence, BAD), "{order:?}");
        assert_eq!(verdict(&evidence, POLL, 2 * SECOND_MS), CrashVerdict::Free, "{order:?}");
        for report in &reports {
            let now_ms = START_MS + 3 * SECOND_MS;
            assert!(!evidence.merge(report, ReportSource::Process, now_ms), "nothing new");
        }
    }
}

#[test]
fn an_answer_to_a_blamed_request_clears_it_at_all_processes() {
    let ends = [
        Seen::End("i-1", 1_000, &[(BAD, 900)], &[]),
        Seen::End("i-2", 2_000, &[(BAD, 1_900)], &[]),
        Seen::End("i-3", 3_000, &[(BAD, 2_900)], &[]),
    ];
    let (mut first, mut second) = (play(&ends), play(&ends));
    let answer = [CrashCause::Request(BAD)];
    assert!(second.note_answer(&answer, START_MS + 4 * SECOND_MS), "others are told");
    let report = second.report();
    first.merge(&report, ReportSource::Process, START_MS + 5 * SECOND_MS);
    for evidence in [&first, &second] {
        assert_eq!(verdict(evidence, BAD, 6 * SECOND_MS), CrashVerdict::Free);
    }
}

#[test]
fn unique_requests_do_not_push_out_what_is_known_of_polls_and_of_a_blamed_request() {
    let mut evidence = play(&[
        Seen::Answer(0, POLL),
        Seen::Answer(100, POLL),
        Seen::End("i-1", 1_000, &[(BAD, 900)], &[]),
        Seen::End("i-2", 2_000, &[(BAD, 1_900)], &[]),
        Seen::End("i-3", 3_000, &[(BAD, 2_900)], &[]),
    ]);
    let mut unique = 1_000..;
    for number in 0..400 {
        let at_ms = 3_000 + number;
        for request in unique.by_ref().take(100) {
            evidence.note_answer(&[CrashCause::Request(request)], START_MS + at_ms);
        }
        let requests: Vec<_> = unique.by_ref().take(100).map(|it| (it, at_ms)).collect();
        evidence.note_crash(&end(&format!("j-{number}"), at_ms, &requests));
    }
    assert!(is_blamed(&evidence, BAD));
    let report = evidence.report();
    assert!(report.crashes.iter().all(|crash| crash.requests.len() <= 64));
    for (target, at_ms) in [("k-1", 5_000), ("k-2", 6_000), ("k-3", 7_000)] {
        evidence.note_crash(&end(target, at_ms, &[(POLL, at_ms - 50)]));
    }
    assert_eq!(verdict(&evidence, POLL, 8 * SECOND_MS), CrashVerdict::Free, "it was answered");
}

#[test]
fn an_answer_to_a_request_that_stood_beside_one_end_is_told_to_nobody() {
    let mut evidence = play(&[Seen::End("i-1", 1_000, &[(9, 900)], &[])]);
    assert!(!evidence.note_answer(&[CrashCause::Request(9)], START_MS + 2 * SECOND_MS));
    assert!(evidence.report().is_empty());
}

#[test]
fn a_blamed_request_is_forgotten_an_hour_after_its_last_three_ends() {
    let evidence = |now_ms: u64| {
        let mut evidence = play(&[
            Seen::End("i-1", 1_000, &[(BAD, 900)], &[]),
            Seen::End("i-2", 2_000, &[(BAD, 1_900)], &[]),
            Seen::End("i-3", 3_000, &[(BAD, 2_900)], &[]),
        ]);
        evidence.note_crash(&end("k-1", now_ms, &[(9, now_ms)]));
        evidence
    };
    let lifetime_ms = u64::try_from(EVIDENCE_LIFETIME.as_millis()).unwrap();
    assert!(is_blamed(&evidence(lifetime_ms), BAD));
    assert!(!is_blamed(&evidence(lifetime_ms + 2 * SECOND_MS), BAD));
}

#[test]
fn a_request_was_sent_after_the_last_end_that_its_sender_knew() {
    let evidence = play(&[Seen::End("i-1", 1_000, &[(BAD, 900)], &[])]);
    let sent_after_ms =
        |request, at_ms| evidence.sent_after_ms(request, START_MS + at_ms) - START_MS;
    assert_eq!(sent_after_ms(BAD, 1_000), 1_000);
    assert_eq!(sent_after_ms(BAD, 1_040), 1_000);
    assert!((1_000..5_000).contains(&sent_after_ms(BAD, 5_000)));
    assert!(sent_after_ms(POLL, 1_040) < 1_000, "clocks may differ");
    assert_eq!(Duration::from_millis(5_000 - sent_after_ms(POLL, 5_000)).as_millis(), 100);
}
