//! Tests of entry processes that the copy lacks from which the platform's store came back.

use super::{
    era_tests::{GRACE, moved, removed, revision, update},
    tests::{SECOND, records},
};
use crate::test_support::entry_records;
use skylarkpick_interface::{FleetTopic, FleetUpdate};

/// An update, and whether it is a list.
type Step = (bool, FleetUpdate);

fn list(count: u8, era: u64, number: u64) -> Step {
    (true, moved(entry_records(count), revision(era, number)))
}

fn removal(id: &str, era: u64, number: u64) -> Step {
    (false, update(vec![removed(id)], revision(era, number)))
}

#[tokio::test(start_paused = true)]
async fn entry_processes_that_the_copy_lacks_keep_their_place_for_a_while() {
    /// Number of entry processes and of the relays that this one follows.
    type Places = (usize, usize);
    struct Case {
        name: &'static str,
        /// Steps after a list of era 1 with 20 entry processes, each half a second after the one before.
        steps: Vec<Step>,
        at_once: Places,
        after_grace: Places,
    }
    let written = |count, number| (false, moved(entry_records(count), revision(2, number)));
    let cases = [
        Case { name: "17 lost", steps: vec![list(3, 2, 4)], at_once: (20, 2), after_grace: (3, 0) },
        Case {
            name: "17 lost, and the copy is read twice",
            steps: vec![list(3, 2, 4), list(3, 2, 5)],
            at_once: (20, 2),
            after_grace: (3, 0),
        },
        Case {
            name: "all lost, and all but 5 register again",
            steps: vec![list(0, 2, 4), written(8, 5), written(15, 6)],
            at_once: (20, 2),
            after_grace: (15, 2),
        },
        Case {
            name: "17 lost, and a registration is removed since",
            steps: vec![list(3, 2, 4), removal("entry-19", 2, 5)],
            at_once: (19, 2),
            after_grace: (3, 0),
        },
        Case {
            name: "17 lost, and one registers and ends",
            steps: vec![list(3, 2, 4), written(20, 5), removal("entry-19", 2, 6)],
            at_once: (19, 2),
            after_grace: (19, 2),
        },
        Case {
            name: "a registration is removed before the return",
            steps: vec![removal("entry-19", 1, 91), list(3, 2, 4)],
            at_once: (19, 2),
            after_grace: (3, 0),
        },
        Case {
            name: "two returns",
            steps: vec![list(8, 2, 4), list(3, 3, 1)],
            at_once: (20, 2),
            after_grace: (3, 0),
        },
        Case {
            name: "none lost",
            steps: vec![list(20, 2, 4)],
            at_once: (20, 2),
            after_grace: (20, 2),
        },
        Case {
            name: "no return",
            steps: vec![list(3, 1, 91)],
            at_once: (3, 0),
            after_grace: (3, 0),
        },
    ];
    let mut failures = Vec::new();
    for Case { name, steps, at_once, after_grace } in cases {
        let (_, records) = records();
        let topic = FleetTopic::Entries;
        records.replace(topic, &moved(entry_records(20), revision(1, 90)));
        let places = || (records.entries().len(), records.relays().len());
        for (is_list, update) in steps {
            tokio::time::sleep(SECOND / 2).await;
            records.remove_expired_entries();
            if is_list {
                records.replace(topic, &update);
            } else {
                records.update(topic, &update);
            }
        }
        let found_at_once = places();
        tokio::time::sleep(GRACE).await;
        records.remove_expired_entries();
        if (found_at_once, places()) != (at_once, after_grace) {
            failures.push((name, found_at_once, places()));
        }
    }
    assert!(failures.is_empty(), "wrong: {failures:?}");
}

#[tokio::test(start_paused = true)]
async fn a_process_whose_registration_is_lost_knows_so_at_once() {
    let (_, records) = records();
    let topic = FleetTopic::Entries;
    records.replace(topic, &moved(entry_records(3), revision(1, 90)));
    let own = records.entries().remove(1);
    assert!(records.is_registered() && records.is_listed(&own));
    records.replace(topic, &moved(entry_records(1), revision(2, 4)));
    assert_eq!(records.entries().len(), 3);
    assert!(!records.is_registered() && !records.is_listed(&own));
}

#[tokio::test(start_paused = true)]
async fn a_second_return_gives_missing_entry_processes_their_time_again() {
    let (_, records) = records();
    let topic = FleetTopic::Entries;
    records.replace(topic, &moved(entry_records(20), revision(1, 90)));
    for (era, wait, expected) in [(2, 2 * SECOND, 20), (3, 2 * SECOND, 20), (4, GRACE, 3)] {
        records.replace(topic, &moved(entry_records(3), revision(era, 4)));
        tokio::time::sleep(wait).await;
        records.remove_expired_entries();
        assert_eq!(records.entries().len(), expected, "era {era}");
    }
}
