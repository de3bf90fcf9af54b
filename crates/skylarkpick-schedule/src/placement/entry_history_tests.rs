//! Tests of which process owns a share in a cold target.

use super::entry_history::{EntryHistory, LIST_AGE_LIMIT, OWNERSHIP_DELAY, REMEMBERED_TIME};
use skylarkpick_interface::EntryId;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(1_000);
const TARGET: &str = "i-1";
const OWNERS: usize = 4;
/// Time at which a process that has been listed since the start may use its share.
const READY: Duration = START.saturating_add(OWNERSHIP_DELAY);

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<EntryId> {
    numbers.into_iter().map(|number| format!("entry-{number}")).collect()
}

fn process(number: usize, listed: &[EntryId], now: Duration) -> EntryHistory {
    let mut history = EntryHistory::default();
    history.set_current(&format!("entry-{number}"), listed, now);
    history.note_complete(now, now);
    history
}

/// Has a process learn every ten seconds, for a minute, that its list is current.
fn follow(history: &mut EntryHistory) {
    for count in 1..=6 {
        let at = START + 10 * count * SECOND;
        history.note_complete(at, at);
    }
}

fn may_use(history: &EntryHistory, now: Duration) -> bool {
    let ownership = history.ownership(TARGET, OWNERS);
    history.is_certain(now) && ownership.is_some_and(|it| now >= it.from)
}

/// Guards against a share that a process uses before others know it, or after its list may have changed.
#[test]
fn a_share_is_used_only_while_the_list_is_certain() {
    struct Case {
        name: &'static str,
        change: fn(&mut EntryHistory),
        at: Duration,
        may_use: bool,
    }
    let cases = [
        Case { name: "it has just started", change: |_| {}, at: START + SECOND, may_use: false },
        Case { name: "it has been listed long enough", change: follow, at: READY, may_use: true },
        Case {
            name: "the list is too old",
            change: follow,
            at: START + 60 * SECOND + LIST_AGE_LIMIT,
            may_use: false,
        },
        Case {
            name: "the list was unknown for a while",
            change: |it| _ = it.note_complete(READY, READY),
            at: READY,
            may_use: false,
        },
        Case {
            name: "it is no longer listed",
            change: |it| {
                follow(it);
                it.set_current("entry-0", &names(1..2), START + SECOND);
            },
            at: READY,
            may_use: false,
        },
        Case {
            name: "it is listed again",
            change: |it| {
                follow(it);
                it.set_current("entry-0", &names(1..2), START + SECOND);
                it.set_current("entry-0", &names(0..2), START + 2 * SECOND);
            },
            at: READY,
            may_use: false,
        },
    ];
    for Case { name, change, at, may_use: expected } in cases {
        let mut history = process(0, &names(0..2), START);
        change(&mut history);
        assert_eq!(may_use(&history, at), expected, "{name}");
    }
}

/// Guards against a second set of owners in a part of the fleet that no longer sees the others.
#[test]
fn processes_that_are_no_longer_listed_count_for_a_while() {
    let all = names(0..64);
    let mut owners_after = Vec::new();
    for group in [0..22, 22..43, 43..64] {
        for number in group.clone() {
            let mut history = process(number, &all, START);
            let own = format!("entry-{number}");
            history.set_current(&own, &names(group.clone()), START + SECOND);
            if history.ownership(TARGET, OWNERS).is_some() {
                owners_after.push(number);
            }
            let late = START + SECOND + REMEMBERED_TIME;
            history.set_current(&own, &names(group.clone()), late);
            let group_owners = history.ownership(TARGET, OWNERS).map(|it| it.owners);
            assert!(group_owners.is_none_or(|owners| owners == OWNERS));
        }
    }
    assert_eq!(owners_after.len(), OWNERS, "owners: {owners_after:?}");
}
