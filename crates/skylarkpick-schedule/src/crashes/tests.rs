use super::{CrashEvidence, CrashVerdict, ReportSource, evidence_keepers};
use skylarkpick_interface::{
    CrashCause, CrashReport, PartDepth, PartNumber, RegisteredEntry, TargetCrash,
};
use std::{collections::BTreeMap, time::Duration};

const SYSTEM: PartNumber = 1;
const BAD: PartNumber = 2;
/// Has the higher number, which decides last.
const RARE: PartNumber = 3;
const SECOND_MS: u64 = 1_000;
/// A wall-clock time.
const START_MS: u64 = 1_700_000_000_000;

/// Something that a process sees, at a time in milliseconds after the start.
#[derive(Clone, Copy, Debug)]
enum Seen {
    /// A target ended while it began to answer requests with these parts.
    End(&'static str, u64, &'static [PartNumber]),
    /// A whole answer to a request with these parts.
    Answer(u64, &'static [PartNumber]),
}

/// Returns parts with their places in a prompt.
fn prompt(parts: &[PartNumber]) -> BTreeMap<PartNumber, PartDepth> {
    parts.iter().copied().zip(0..).collect()
}

/// Returns the end of a target that had begun to answer requests with these parts.
fn end(target: &str, ended_at_ms: u64, parts: BTreeMap<PartNumber, PartDepth>) -> TargetCrash {
    let (target, requests) = (target.to_string(), BTreeMap::new());
    TargetCrash { target, started_at_ms: 0, ended_at_ms, parts, requests }
}

fn causes(parts: &[PartNumber]) -> Vec<CrashCause> {
    parts.iter().copied().map(CrashCause::Part).collect()
}

fn verdict(evidence: &CrashEvidence, part: PartNumber, now_ms: u64) -> CrashVerdict {
    evidence.verdict(&causes(&[part]), now_ms)
}

fn play(evidence: &mut CrashEvidence, seen: &[Seen]) {
    for event in seen {
        match *event {
            Seen::End(target, at_ms, parts) => {
                evidence.note_crash(&end(target, START_MS + at_ms, prompt(parts)));
            }
            Seen::Answer(at_ms, parts) => {
                evidence.note_answer(&causes(parts), START_MS + at_ms);
            }
        }
    }
}

/// Returns the blamed parts.
fn blamed(evidence: &CrashEvidence) -> Vec<PartNumber> {
    evidence.blamed().map(CrashCause::number).collect()
}

#[test]
fn parts_are_judged_by_the_ends_of_targets() {
    struct Case {
        name: &'static str,
        seen: &'static [Seen],
        blamed: &'static [PartNumber],
        suspected: &'static [PartNumber],
    }
    use Seen::{Answer, End};
    let cases = [
        Case {
            name: "one end says nothing",
            seen: &[End("i-1", 0, &[SYSTEM, BAD])],
            blamed: &[],
            suspected: &[],
        },
        Case {
            name: "two ends make a suspect of what was never answered",
            seen: &[
                Answer(0, &[SYSTEM]),
                End("i-1", 100, &[SYSTEM, BAD]),
                End("i-2", 900, &[SYSTEM, BAD]),
            ],
            blamed: &[],
            suspected: &[BAD],
        },
        Case {
            name: "three ends at three moments",
            seen: &[
                Answer(0, &[SYSTEM, RARE]),
                End("i-1", 100, &[SYSTEM, BAD]),
                End("i-2", 900, &[SYSTEM, BAD]),
                End("i-3", 1_900, &[SYSTEM, BAD]),
            ],
            blamed: &[BAD],
            suspected: &[],
        },
        Case {
            name: "the same target again is one end",
            seen: &[End("i-1", 0, &[BAD]), End("i-1", 1_000, &[BAD]), End("i-1", 2_000, &[BAD])],
            blamed: &[],
            suspected: &[],
        },
        Case {
            name: "targets that end together are one moment",
            seen: &[
                End("i-1", 0, &[RARE]),
                End("i-2", 40, &[RARE]),
                End("i-3", 80, &[RARE]),
                End("i-4", 120, &[RARE]),
                End("i-5", 200, &[RARE]),
            ],
            blamed: &[],
            suspected: &[RARE],
        },
        Case {
            name: "a part that was answered since is cleared",
            seen: &[
                End("i-1", 0, &[SYSTEM, BAD]),
                End("i-2", 1_000, &[SYSTEM, BAD]),
                Answer(1_500, &[SYSTEM, BAD]),
                End("i-3", 2_000, &[SYSTEM, BAD]),
            ],
            blamed: &[],
            suspected: &[],
        },
        Case {
            name: "of two parts that explain the same ends, the one that was never answered",
            seen: &[
                Answer(0, &[SYSTEM]),
                End("i-1", 100, &[SYSTEM, BAD]),
                End("i-2", 1_000, &[SYSTEM, BAD]),
                End("i-3", 2_000, &[SYSTEM, BAD]),
                End("i-4", 3_000, &[SYSTEM, BAD]),
            ],
            blamed: &[BAD],
            suspected: &[],
        },
        Case {
            name: "of two parts that were never answered, the one that fewer prompts share",
            seen: &[
                End("i-1", 100, &[SYSTEM, BAD]),
                End("i-2", 1_000, &[SYSTEM, BAD]),
                End("i-3", 2_000, &[SYSTEM, BAD]),
            ],
            blamed: &[BAD],
            suspected: &[],
        },
        Case {
            name: "the first part of prompts that have nothing else in common",
            seen: &[
                End("i-1", 100, &[SYSTEM, BAD]),
                End("i-2", 1_000, &[SYSTEM, RARE]),
                End("i-3", 2_000, &[SYSTEM]),
            ],
            blamed: &[SYSTEM],
            suspected: &[],
        },
        Case {
            name: "of two parts with ends at as many moments, the one with more ends",
            seen: &[
                End("i-1", 0, &[SYSTEM, BAD, RARE]),
                End("i-2", 30, &[SYSTEM, RARE]),
                End("i-3", 400, &[SYSTEM, BAD, RARE]),
                End("i-4", 800, &[SYSTEM, BAD, RARE]),
                Answer(900, &[SYSTEM]),
            ],
            blamed: &[RARE],
            suspected: &[],
        },
        Case {
            name: "a suspect explains what its prompts share",
            seen: &[End("i-1", 100, &[SYSTEM, BAD]), End("i-2", 1_000, &[SYSTEM, BAD])],
            blamed: &[],
            suspected: &[BAD],
        },
        Case {
            name: "a bystander is explained by the blamed part, also in more ends",
            seen: &[
                Answer(0, &[SYSTEM]),
                End("i-1", 100, &[SYSTEM, BAD, RARE]),
                End("i-2", 1_000, &[SYSTEM, BAD, RARE]),
                End("i-3", 2_000, &[SYSTEM, BAD]),
                End("i-4", 3_000, &[SYSTEM, BAD, RARE]),
            ],
            blamed: &[BAD],
            suspected: &[],
        },
        Case {
            name: "a part that turned bad after answers",
            seen: &[
                Answer(0, &[SYSTEM, BAD]),
                End("i-1", 100, &[SYSTEM, BAD]),
                Answer(500, &[SYSTEM]),
                End("i-2", 1_000, &[SYSTEM, BAD]),
                Answer(1_500, &[SYSTEM]),
                End("i-3", 2_000, &[SYSTEM, BAD]),
                Answer(2_500, &[SYSTEM]),
                End("i-4", 3_000, &[SYSTEM, BAD]),
            ],
            blamed: &[BAD],
            suspected: &[],
        },
        Case {
            name: "two parts, each with ends of its own",
            seen: &[
                End("i-1", 0, &[BAD]),
                End("i-2", 1_000, &[RARE]),
                End("i-3", 2_000, &[BAD]),
                End("i-4", 3_000, &[RARE]),
                End("i-5", 4_000, &[BAD]),
                End("i-6", 5_000, &[RARE]),
            ],
            blamed: &[BAD, RARE],
            suspected: &[],
        },
    ];
    for Case { name, seen, blamed: expected, suspected } in cases {
        let mut evidence = CrashEvidence::default();
        play(&mut evidence, seen);
        assert_eq!(blamed(&evidence), expected, "{name}");
        for part in [SYSTEM, BAD, RARE] {
            let verdict = verdict(&evidence, part, START_MS + 10 * SECOND_MS);
            let is_suspect = verdict == CrashVerdict::Suspect(CrashCause::Part(part));
            assert_eq!(is_suspect, suspected.contains(&part), "{name}: {part} {verdict:?}");
        }
    }
}

/// Four processes that see one end each, or answers.
fn separate_processes() -> Vec<CrashEvidence> {
    let seen: [&[Seen]; 4] = [
        &[Seen::Answer(0, &[SYSTEM]), Seen::End("i-1", 100, &[SYSTEM, BAD])],
        &[Seen::Answer(0, &[SYSTEM]), Seen::End("i-2", 1_000, &[SYSTEM, BAD, RARE])],
        &[Seen::Answer(0, &[SYSTEM]), Seen::End("i-3", 2_000, &[SYSTEM, BAD, RARE])],
        &[Seen::Answer(2_500, &[SYSTEM])],
    ];
    let processes = seen.into_iter().map(|seen| {
        let mut evidence = CrashEvidence::default();
        play(&mut evidence, seen);
        evidence
    });
    processes.collect()
}

#[test]
fn reports_of_several_processes_blame_a_part_in_any_order_and_repeated() {
    let reports: Vec<CrashReport> = separate_processes().iter().map(|it| it.report()).collect();
    let orders = [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1]];
    for order in orders {
        for (index, mut evidence) in separate_processes().into_iter().enumerate() {
            assert!(blamed(&evidence).is_empty(), "no process alone saw enough");
            for report in order.into_iter().chain(order) {
                evidence.merge(&reports[report], ReportSource::Process, START_MS + 3 * SECOND_MS);
            }
            assert_eq!(blamed(&evidence), [BAD], "process {index}, {order:?}");
            let again =
                evidence.merge(&reports[0], ReportSource::Process, START_MS + 4 * SECOND_MS);
            assert!(!again, "process {index}: a report that was merged is not new");
        }
    }
}

#[test]
fn a_whole_answer_elsewhere_clears_a_part_everywhere_and_old_reports_do_not_undo_it() {
    let mut first = CrashEvidence::default();
    let ends = [
        Seen::End("i-1", 0, &[RARE]),
        Seen::End("i-2", 1_000, &[RARE]),
        Seen::End("i-3", 2_000, &[RARE]),
    ];
    play(&mut first, &ends);
    let stale = first.report();
    let mut second = CrashEvidence::default();
    second.merge(&stale, ReportSource::Process, START_MS + 2_100);
    assert_eq!(blamed(&second), [RARE]);
    assert!(second.note_answer(&causes(&[RARE]), START_MS + 3_000), "others are told");
    assert!(blamed(&second).is_empty());
    first.merge(&second.report(), ReportSource::Process, START_MS + 3_100);
    assert!(blamed(&first).is_empty());
    for evidence in [&mut first, &mut second] {
        assert!(!evidence.merge(&stale, ReportSource::Process, START_MS + 3_200));
        assert!(blamed(evidence).is_empty());
    }
}

#[test]
fn a_process_keeps_reporting_what_it_saw_before_its_restart() {
    let mut before = CrashEvidence::default();
    play(&mut before, &[Seen::End("i-1", 0, &[BAD])]);
    let report = before.report();
    let mut after = CrashEvidence::default();
    after.merge(&report, ReportSource::OwnRegistration, START_MS + SECOND_MS);
    assert_eq!(after.report(), report);
    let mut other = CrashEvidence::default();
    other.merge(&report, ReportSource::Process, START_MS + SECOND_MS);
    assert!(other.report().is_empty(), "others report only what they saw");
}

#[test]
fn evidence_against_a_blamed_part_is_kept_by_others_too() {
    let mut seer = CrashEvidence::default();
    let ends = [
        Seen::End("i-1", 0, &[BAD]),
        Seen::End("i-2", 1_000, &[BAD]),
        Seen::End("i-3", 2_000, &[BAD]),
    ];
    play(&mut seer, &ends);
    let mut keeper = CrashEvidence::default();
    keeper.merge(&seer.report(), ReportSource::Process, START_MS + 2_100);
    assert_eq!(keeper.record(|cause| cause == CrashCause::Part(BAD)).crashes.len(), 3);
    assert_eq!(keeper.record(|cause| cause != CrashCause::Part(BAD)).crashes.len(), 0);
}

#[test]
fn a_blamed_part_is_tried_again_ever_more_rarely() {
    let mut evidence = CrashEvidence::default();
    let mut now_ms = START_MS;
    for number in 0..3 {
        evidence.note_crash(&end(&format!("i-{number}"), now_ms, prompt(&[BAD])));
        now_ms += SECOND_MS;
    }
    now_ms -= SECOND_MS;
    for (number, wait_s) in [5, 5, 240, 480, 900, 900, 900, 900].into_iter().enumerate() {
        let wait = Duration::from_secs(wait_s);
        let cause = CrashCause::Part(BAD);
        let after = |until_trial| CrashVerdict::Blamed { cause, until_trial, trial_pause: wait };
        assert_eq!(verdict(&evidence, BAD, now_ms), after(wait), "{number}");
        now_ms += wait_s * SECOND_MS;
        assert_eq!(verdict(&evidence, BAD, now_ms), after(Duration::ZERO), "{number}");
        evidence.note_trial(cause, wait, now_ms);
        assert_eq!(verdict(&evidence, BAD, now_ms), after(wait), "one at a time");
        evidence.note_crash(&end(&format!("i-trial-{number}"), now_ms, prompt(&[BAD])));
    }
}

#[test]
fn a_trial_that_is_answered_returns_the_part() {
    let mut evidence = CrashEvidence::default();
    let ends = [
        Seen::End("i-1", 0, &[BAD]),
        Seen::End("i-2", 1_000, &[BAD]),
        Seen::End("i-3", 2_000, &[BAD]),
    ];
    play(&mut evidence, &ends);
    evidence.note_trial(CrashCause::Part(BAD), Duration::from_secs(60), START_MS + 62 * SECOND_MS);
    play(&mut evidence, &[Seen::Answer(63 * SECOND_MS, &[BAD])]);
    assert_eq!(verdict(&evidence, BAD, START_MS + 64 * SECOND_MS), CrashVerdict::Free);
}

#[test]
fn evidence_is_bounded_and_what_blames_a_part_is_dropped_last() {
    let mut evidence = CrashEvidence::default();
    let ends = [
        Seen::End("i-1", 0, &[BAD]),
        Seen::End("i-2", 1_000, &[BAD]),
        Seen::End("i-3", 2_000, &[BAD]),
    ];
    play(&mut evidence, &ends);
    for number in 0..320 {
        let at_ms = START_MS + 3_000 + number;
        let parts = (200 * number + 1_000..200 * number + 1_080).map(|part| (part, 0)).collect();
        evidence.note_crash(&end(&format!("j-{number}"), at_ms, parts));
    }
    assert!(blamed(&evidence).contains(&BAD));
    let report = evidence.report();
    assert_eq!(report.crashes.len(), 32);
    assert!(report.crashes.iter().all(|crash| crash.parts.len() <= 64));
    let later_ms = START_MS + 3_600 * SECOND_MS + 10 * SECOND_MS;
    evidence.note_crash(&end("k-1", later_ms, prompt(&[RARE])));
    assert_eq!(verdict(&evidence, BAD, later_ms), CrashVerdict::Free, "forgotten after an hour");
}

#[test]
fn a_clock_that_is_ahead_does_not_make_evidence_outlast_answers() {
    let mut fast = CrashEvidence::default();
    let hour_ms = 3_600 * SECOND_MS;
    for (number, at_ms) in [(1, 0), (2, 1_000), (3, 2_000)] {
        fast.note_crash(&end(&format!("i-{number}"), START_MS + hour_ms + at_ms, prompt(&[RARE])));
    }
    let mut evidence = CrashEvidence::default();
    evidence.merge(&fast.report(), ReportSource::Process, START_MS);
    evidence.note_answer(&causes(&[RARE]), START_MS + 10);
    assert_eq!(verdict(&evidence, RARE, START_MS + 20), CrashVerdict::Free);
}

#[test]
fn processes_agree_on_who_keeps_the_evidence_against_a_part() {
    let entries: Vec<RegisteredEntry> = (0..7)
        .map(|index| RegisteredEntry {
            name: format!("entry-{index}"),
            address: ([10, 0, 0, index], 80).into(),
            data_centre: "mnl-a".to_string(),
            cpu_percent: 25,
            fetches_notices: true,
            crashes: CrashReport::default(),
        })
        .collect();
    let reversed: Vec<RegisteredEntry> = entries.iter().rev().cloned().collect();
    assert_eq!(
        evidence_keepers(CrashCause::Part(BAD), &entries),
        evidence_keepers(CrashCause::Part(BAD), &reversed)
    );
    assert_ne!(
        evidence_keepers(CrashCause::Part(BAD), &entries),
        evidence_keepers(CrashCause::Part(RARE), &entries)
    );
}

#[test]
fn the_platform_keeps_only_what_others_lack_or_what_speaks_against_a_part() {
    struct Case {
        name: &'static str,
        seen: &'static [Seen],
        is_untold: bool,
        recorded: usize,
    }
    let cases = [
        Case {
            name: "an end of which all were told",
            seen: &[Seen::Answer(0, &[SYSTEM]), Seen::End("i-1", 100, &[SYSTEM, BAD])],
            is_untold: false,
            recorded: 0,
        },
        Case {
            name: "an end of which somebody could not be told",
            seen: &[Seen::Answer(0, &[SYSTEM]), Seen::End("i-1", 100, &[SYSTEM, BAD])],
            is_untold: true,
            recorded: 1,
        },
        Case {
            name: "an end beside parts that were all answered before",
            seen: &[Seen::Answer(0, &[SYSTEM, RARE]), Seen::End("i-1", 100, &[SYSTEM, RARE])],
            is_untold: true,
            recorded: 0,
        },
        Case {
            name: "two ends that make a suspect",
            seen: &[Seen::End("i-1", 100, &[BAD]), Seen::End("i-2", 900, &[BAD])],
            is_untold: false,
            recorded: 2,
        },
        Case {
            name: "ends of a part that was answered since",
            seen: &[
                Seen::End("i-1", 100, &[BAD]),
                Seen::End("i-2", 900, &[BAD]),
                Seen::Answer(1_000, &[BAD]),
            ],
            is_untold: true,
            recorded: 0,
        },
    ];
    for Case { name, seen, is_untold, recorded } in cases {
        let mut evidence = CrashEvidence::default();
        play(&mut evidence, seen);
        if is_untold {
            evidence.note_untold();
        }
        assert_eq!(evidence.record(|_| false).crashes.len(), recorded, "{name}");
    }
}
