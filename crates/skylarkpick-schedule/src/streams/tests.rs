//! Tests of the records of streams, of their keepers, and of the software versions of a service.

use super::{
    SoftwareVersions, StreamFingerprint, StreamOrigins, software_version_of_run, stream_keepers,
    stream_keepers_to_ask,
};
use skylarkpick_interface::{RegisteredEntry, RegisteredTarget, StreamOrigin};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
const SERVICE: &str = "tala-llm";

fn target(id: &str, version: Option<&str>, started_at_ms: u64) -> RegisteredTarget {
    RegisteredTarget {
        id: id.to_string(),
        service: SERVICE.to_string(),
        address: ([10, 1, 0, 1], 80).into(),
        data_centre: "mnl-a".to_string(),
        slots: 64,
        is_draining: false,
        weights: BTreeMap::new(),
        started_at_ms,
        software_version: version.map(str::to_string),
        cold_remaining: None,
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE.to_string(),
        target: "i-1".to_string(),
        started_at_ms: 1_000,
        software_version: version.to_string(),
        began_at_ms: 20_000,
    }
}

/// Returns entry processes: for each data centre, as many as given.
fn entries(counts: &[(&str, u8)]) -> Vec<RegisteredEntry> {
    let names = counts.iter().flat_map(|(data_centre, count)| {
        (0..*count).map(move |index| (data_centre.to_string(), index))
    });
    names
        .map(|(data_centre, index)| RegisteredEntry {
            name: format!("entry-{data_centre}-{index}"),
            address: ([10, 0, 0, index], 80).into(),
            data_centre,
            cpu_percent: 25,
            fetches_notices: true,
            crashes: Default::default(),
        })
        .collect()
}

#[test]
fn one_software_version_is_told_from_several() {
    /// Change of the registrations.
    enum Change {
        Set(&'static str, Option<&'static str>),
        Remove(&'static str),
    }
    use Change::{Remove, Set};
    struct Case {
        name: &'static str,
        /// Changes with the second at which each is applied. The registrations are current in each
        /// second up to `current_until_s`, but for `silent_s`.
        changes: &'static [(u32, Change)],
        silent_s: std::ops::Range<u32>,
        current_until_s: u32,
        is_disconnected: bool,
        /// Whether all registrations are read anew after the silence, in place of their changes.
        reads_anew: bool,
        now_s: u32,
        expected: Option<&'static str>,
    }
    const NEVER: std::ops::Range<u32> = 0..0;
    let first = |changes| Case {
        name: "",
        changes,
        silent_s: NEVER,
        current_until_s: 30,
        is_disconnected: false,
        reads_anew: false,
        now_s: 30,
        expected: None,
    };
    let cases = [
        Case {
            name: "all on one version",
            expected: Some("v1"),
            ..first(&[(0, Set("i-1", Some("v1"))), (8, Set("i-2", Some("v1")))])
        },
        Case {
            name: "two versions",
            ..first(&[(0, Set("i-1", Some("v1"))), (8, Set("i-2", Some("v1.1")))])
        },
        Case {
            name: "the other version left within the window",
            ..first(&[
                (0, Set("i-1", Some("v1"))),
                (0, Set("i-2", Some("v1.1"))),
                (21, Remove("i-1")),
            ])
        },
        Case {
            name: "the other version left before the window",
            expected: Some("v1.1"),
            ..first(&[
                (0, Set("i-1", Some("v1"))),
                (0, Set("i-2", Some("v1.1"))),
                (19, Remove("i-1")),
            ])
        },
        Case {
            name: "a target restarted on another version within the window",
            ..first(&[(0, Set("i-1", Some("v1"))), (25, Set("i-1", Some("v1.1")))])
        },
        Case {
            name: "a target without a version",
            ..first(&[(0, Set("i-1", Some("v1"))), (8, Set("i-2", None))])
        },
        Case { name: "no targets", ..first(&[]) },
        Case {
            name: "known for less than the window",
            now_s: 9,
            current_until_s: 9,
            ..first(&[(0, Set("i-1", Some("v1")))])
        },
        Case { name: "no longer current", now_s: 37, ..first(&[(0, Set("i-1", Some("v1")))]) },
        Case {
            name: "cut off from the platform",
            is_disconnected: true,
            ..first(&[(0, Set("i-1", Some("v1")))])
        },
        Case {
            name: "read anew after a gap within the window",
            silent_s: 18..26,
            reads_anew: true,
            ..first(&[(0, Set("i-1", Some("v1")))])
        },
        Case {
            name: "changes followed after a silence",
            silent_s: 18..26,
            expected: Some("v1"),
            ..first(&[(0, Set("i-1", Some("v1")))])
        },
    ];
    for case in cases {
        let mut versions = SoftwareVersions::default();
        for second in 0..=case.current_until_s {
            let now = second * SECOND;
            for (_, change) in case.changes.iter().filter(|(at_s, _)| *at_s == second) {
                match change {
                    Set(id, version) => versions.set_target(&target(id, *version, 1), now),
                    Remove(id) => versions.remove_target(id, now),
                }
            }
            if case.silent_s.contains(&second) {
                continue;
            }
            if second > 0 && case.silent_s.contains(&(second - 1)) && case.reads_anew {
                versions.note_read_anew(now);
            }
            versions.note_complete(now);
        }
        if case.is_disconnected {
            versions.note_disconnected();
        }
        let only = versions.only_version(SERVICE, 10 * SECOND, case.now_s * SECOND);
        assert_eq!(only.as_deref(), case.expected, "{}", case.name);
    }
}

#[test]
fn a_process_that_has_just_started_takes_over_the_history_of_others() {
    struct Case {
        name: &'static str,
        /// Versions that the other process knows, the second being that of a target that has left
        /// 5 s before the start.
        versions: &'static [&'static str],
        /// Age of the other process's registrations at the start.
        age: Duration,
        expected: Option<&'static str>,
    }
    let cases = [
        Case { name: "one version", versions: &["v1"], age: Duration::ZERO, expected: Some("v1") },
        Case {
            name: "another version until shortly before",
            versions: &["v1", "v1.1"],
            age: Duration::ZERO,
            expected: None,
        },
        Case {
            name: "a history that ends before the own one begins",
            versions: &["v1"],
            age: 3 * SECOND,
            expected: None,
        },
    ];
    for case in cases {
        let start = 100 * SECOND;
        let mut other = SoftwareVersions::default();
        other.note_complete(Duration::ZERO);
        for (index, version) in case.versions.iter().enumerate() {
            let id = format!("i-{index}");
            other.set_target(&target(&id, Some(version), 1), Duration::ZERO);
            if index > 0 {
                other.remove_target(&id, start - 5 * SECOND);
            }
        }
        other.note_complete(start - case.age);
        let mut started = SoftwareVersions::default();
        started.set_target(&target("i-0", Some("v1"), 1), start);
        started.note_complete(start);
        let now = start + SECOND;
        assert_eq!(started.only_version(SERVICE, 10 * SECOND, now), None, "{}", case.name);
        let history = other.history(now).unwrap();
        started.extend_history(&history, now);
        let only = started.only_version(SERVICE, 10 * SECOND, now);
        assert_eq!(only.as_deref(), case.expected, "{}", case.name);
    }
}

#[test]
fn the_version_of_a_run_is_unknown_if_its_target_may_have_restarted_before() {
    struct Case {
        name: &'static str,
        current: Option<RegisteredTarget>,
        is_known: bool,
    }
    let cases = [
        Case { name: "gone", current: None, is_known: true },
        Case {
            name: "the same incarnation",
            current: Some(target("i-1", Some("v1"), 1_000)),
            is_known: true,
        },
        Case {
            name: "restarted on the same version",
            current: Some(target("i-1", Some("v1"), 20_100)),
            is_known: true,
        },
        Case {
            name: "restarted on another version long after",
            current: Some(target("i-1", Some("v1.1"), 22_001)),
            is_known: true,
        },
        Case {
            name: "restarted on another version about then",
            current: Some(target("i-1", Some("v1.1"), 22_000)),
            is_known: false,
        },
        Case {
            name: "restarted on another version before",
            current: Some(target("i-1", Some("v1.1"), 15_000)),
            is_known: false,
        },
        Case {
            name: "another version of the same incarnation",
            current: Some(target("i-1", Some("v1.1"), 1_000)),
            is_known: false,
        },
        Case {
            name: "no version any more",
            current: Some(target("i-1", None, 1_000)),
            is_known: false,
        },
    ];
    for case in cases {
        let version = software_version_of_run(&origin("v1"), case.current.as_ref());
        assert_eq!(version.is_some(), case.is_known, "{}", case.name);
    }
}

#[test]
fn records_are_bounded_and_shared_once() {
    let mut origins = StreamOrigins::default();
    let stream = |index: u64| StreamFingerprint(index);
    for index in 0..20_000 {
        origins.note(stream(index), origin("v1"), index % 2 == 0, SECOND);
    }
    assert_eq!(origins.get(stream(0), SECOND), None, "the oldest records are dropped");
    assert!(origins.get(stream(19_999), SECOND).is_some());
    assert_eq!(origins.take_unshared(|_| false, SECOND), []);
    assert_eq!(origins.take_unshared(|_| true, SECOND).len(), 4_096);
    assert_eq!(origins.take_unshared(|_| true, SECOND), []);
    assert_eq!(origins.get(stream(19_999), 62 * SECOND), None, "records expire");
    // A record that is noted again replaces the former one.
    origins.note(stream(1), origin("v1"), false, 70 * SECOND);
    origins.note(stream(1), origin("v2"), false, 70 * SECOND);
    assert_eq!(origins.get(stream(1), 70 * SECOND), Some(&origin("v2")));
}

#[test]
fn the_processes_that_keep_a_record_are_among_those_that_are_asked_for_it() {
    struct Case {
        name: &'static str,
        fleet: &'static [(&'static str, u8)],
        keepers: usize,
    }
    let cases = [
        Case { name: "three data centres", fleet: &[("a", 3), ("b", 2), ("c", 2)], keepers: 3 },
        Case { name: "one data centre", fleet: &[("a", 7)], keepers: 3 },
        Case { name: "two processes", fleet: &[("a", 2)], keepers: 1 },
        Case {
            name: "a large fleet",
            fleet: &[("a", 72), ("b", 72), ("c", 72), ("d", 72), ("e", 72)],
            keepers: 3,
        },
    ];
    let without = |entries: &[RegisteredEntry], left_out: &str| -> Vec<RegisteredEntry> {
        entries.iter().filter(|entry| entry.name != left_out).cloned().collect()
    };
    for case in cases {
        let fleet = entries(case.fleet);
        let mut all_keepers: BTreeSet<String> = BTreeSet::new();
        for number in 0..200 {
            let stream = StreamFingerprint::of(&number.to_string());
            let began_at = &fleet[number % fleet.len()];
            let others = without(&fleet, &began_at.name);
            let keepers = stream_keepers(&others, stream, &began_at.data_centre);
            assert_eq!(keepers.len(), case.keepers, "{}", case.name);
            assert_eq!(keepers[0].data_centre, began_at.data_centre, "{}", case.name);
            let centres: BTreeSet<&String> = keepers.iter().map(|it| &it.data_centre).collect();
            assert_eq!(centres.len(), keepers.len().min(case.fleet.len()), "{}", case.name);
            all_keepers.extend(keepers.iter().map(|keeper| keeper.name.clone()));
            // The process that asks doesn't list the one that began the stream, which has ended.
            for asking in others.iter().step_by(5) {
                let known = without(&others, &asking.name);
                let asked = stream_keepers_to_ask(&known, stream);
                let has_record = |keeper: &RegisteredEntry| {
                    keeper.name == asking.name || asked.iter().any(|it| it.name == keeper.name)
                };
                assert!(keepers.iter().all(|keeper| has_record(keeper)), "{}", case.name);
            }
        }
        assert!(all_keepers.len() <= 5 * 25, "{}: {}", case.name, all_keepers.len());
    }
}
