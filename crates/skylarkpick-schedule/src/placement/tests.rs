//! Placement decides as its notes say, for single requests and under played loads.

use super::{
    Assignment, OutdatedPartFinder, Placement, PlacementDecision, PlacementPrompt,
    PlacementRequest, TargetOutcome, UnplacedReason,
};
use skylarkpick_interface::{
    ContextMemory, PartChange, PartChanges, PromptPart, RegisteredTarget, ReportedLoad, ServiceKind,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

const ENGINES: &str = "tala-llm";
const PLAIN: &str = "book-api";
const MODEL: &str = "tala";
const STORE: &str = "172.20.0.2:80";

fn memory(capacity_tokens: u64, link_megabits_per_second: f64) -> ContextMemory {
    ContextMemory {
        capacity_tokens,
        token_size_bytes: 18_432,
        link_megabits_per_second,
        first_byte_delay: Duration::ZERO,
        event_readers_limit: 12,
    }
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index], 80))
}

fn store() -> SocketAddr {
    STORE.parse().unwrap()
}

fn listed(index: u8, service: &str, slots: u32, weight_version: u64) -> RegisteredTarget {
    let weights = BTreeMap::from([(MODEL.to_string(), weight_version)]);
    RegisteredTarget {
        id: format!("i-{index}"),
        service: service.to_string(),
        address: address(index),
        data_centre: "mnl-a".to_string(),
        slots,
        is_draining: false,
        weights: if service == ENGINES { weights } else { BTreeMap::new() },
        started_at_ms: 1,
    }
}

/// Nine runners, three instances of a plain service, and one managed store.
fn fleet() -> Placement {
    let mut placement = Placement::open(Duration::from_secs(10));
    let kind = ServiceKind::Store {
        address: store(),
        data_centre: "mnl-a".to_string(),
        memory: memory(20_000, 19_000.0),
        is_managed: true,
    };
    placement.set_services(&BTreeMap::from([
        (ENGINES.to_string(), ServiceKind::Engines(memory(41_616, 550_000.0))),
        (PLAIN.to_string(), ServiceKind::Plain),
        ("tala-cache-b".to_string(), kind),
    ]));
    (1..=9).for_each(|index| {
        placement.set_target(listed(index, ENGINES, 64, 1));
    });
    (11..=13).for_each(|index| {
        placement.set_target(listed(index, PLAIN, 6, 1));
    });
    placement
}

fn tell(placement: &mut Placement, cache: SocketAddr, parts: &[(&str, &str, u64)], now: Duration) {
    let changes = parts.iter().map(|(scope, part, tokens)| PartChange {
        scope: scope.to_string(),
        part: part.to_string(),
        tokens: *tokens,
    });
    let changes = PartChanges { epoch: 1, next: 1, has_gap: false, changes: changes.collect() };
    placement.parts.apply(&cache, &changes, now);
}

fn call() -> PlacementRequest {
    PlacementRequest {
        service: PLAIN.to_string(),
        data_centre: "mnl-a".to_string(),
        prompt: None,
        avoid: Vec::new(),
        max_wait: Duration::from_secs(2),
    }
}

fn prompt(session: &str, own: &str) -> PlacementRequest {
    let part = |id: &str, tokens| PromptPart { id: id.to_string(), tokens };
    PlacementRequest {
        service: ENGINES.to_string(),
        prompt: Some(PlacementPrompt {
            model: MODEL.to_string(),
            parts: vec![part("root", 2_520), part(session, 5_000), part(own, 1_670)],
            prompt_tokens: 9_190,
            answer_tokens_limit: 10,
            isolated_account: None,
        }),
        max_wait: Duration::from_secs(5),
        ..call()
    }
}

fn placed(placement: &Placement, ask: &PlacementRequest, now: Duration) -> Assignment {
    match placement.choose(ask, now) {
        PlacementDecision::Assigned(place) => *place,
        PlacementDecision::Unplaced(why) => panic!("unplaced: {why:?}"),
    }
}

#[test]
fn processes_that_know_nothing_of_each_other_choose_the_same_target_for_a_new_part() {
    let (first, second) = (fleet(), fleet());
    let mut targets = BTreeSet::new();
    for session in 0..20 {
        let ask = prompt(&format!("s{session}"), "o");
        let place = placed(&first, &ask, Duration::ZERO);
        assert_eq!(place, placed(&second, &ask, Duration::ZERO));
        targets.insert(place.target);
    }
    assert!(targets.len() > 4, "sessions are spread: {targets:?}");
}

#[test]
fn a_prompt_goes_where_its_context_is() {
    struct Case {
        name: &'static str,
        held: &'static [(&'static str, &'static str, u64)],
        held_tokens: u64,
    }
    let cases = [
        Case {
            name: "all shared parts",
            held: &[("tala.1", "root", 2_520), ("tala.1", "s", 5_000)],
            held_tokens: 7_520,
        },
        Case {
            name: "the second part alone is of no use",
            held: &[("tala.1", "s", 5_000)],
            held_tokens: 0,
        },
        Case {
            name: "another weight version's parts are not named",
            held: &[("tala.2", "root", 2_520), ("tala.2", "s", 5_000)],
            held_tokens: 0,
        },
        Case {
            name: "a part that is not whole",
            held: &[("tala.1", "root", 2_519)],
            held_tokens: 0,
        },
    ];
    for case in cases {
        let mut placement = fleet();
        let ask = prompt("s", "o");
        let elsewhere = placed(&placement, &ask, Duration::ZERO).target;
        let holder = (1..=9).find(|index| format!("i-{index}") != elsewhere).unwrap();
        tell(&mut placement, address(holder), case.held, Duration::ZERO);
        let place = placed(&placement, &ask, Duration::ZERO);
        assert_eq!(place.held_tokens, case.held_tokens, "{}", case.name);
        let is_at_holder = place.target == format!("i-{holder}");
        assert_eq!(is_at_holder, case.held_tokens > 0, "{}", case.name);
    }
}

#[test]
fn a_part_is_fetched_from_a_store_only_while_its_word_is_new() {
    struct Case {
        name: &'static str,
        age: Duration,
        is_fetched: bool,
    }
    let cases = [
        Case { name: "just heard", age: Duration::from_millis(100), is_fetched: true },
        Case { name: "silent for longer", age: Duration::from_millis(1_300), is_fetched: false },
    ];
    for case in cases {
        let mut placement = fleet();
        let heard_at = Duration::from_secs(5);
        let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
        tell(&mut placement, store(), &held, heard_at);
        let place = placed(&placement, &prompt("s", "o"), heard_at + case.age);
        let fetched = place.fetch.iter().flatten().filter(|source| source.address == store());
        assert_eq!(fetched.count() > 0, case.is_fetched, "{}", case.name);
    }
}

#[test]
fn a_held_part_still_names_a_source_for_when_it_is_evicted() {
    let mut placement = fleet();
    let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
    tell(&mut placement, address(3), &held, Duration::ZERO);
    tell(&mut placement, store(), &held, Duration::ZERO);
    let place = placed(&placement, &prompt("s", "o"), Duration::ZERO);
    assert_eq!(place.target, "i-3");
    let sources: Vec<_> = place.fetch.iter().map(|source| source.map(|it| it.address)).collect();
    assert_eq!(sources, [Some(store()), Some(store()), None]);
}

#[test]
fn shared_parts_are_saved_once_and_only_where_there_is_room() {
    let mut placement = fleet();
    tell(&mut placement, store(), &[], Duration::ZERO);
    let ask = prompt("s", "o");
    let place = placed(&placement, &ask, Duration::ZERO);
    assert_eq!(place.save, [Some(store()), Some(store()), None], "the own part is not saved");
    placement.begin(&place, ask.prompt.as_ref(), Duration::ZERO);
    let again = placed(&placement, &ask, Duration::from_millis(10));
    assert_eq!(again.save, [None, None, None], "both are being saved");
    tell(&mut placement, store(), &[("tala.1", "full", 19_000)], Duration::ZERO);
    let other = placed(&placement, &prompt("t", "o"), Duration::from_millis(20));
    assert_eq!(other.save, [None, None, None], "there is no room");
}

#[test]
fn old_weights_are_used_for_a_while_and_then_not_at_all() {
    let mut placement = fleet();
    tell(&mut placement, store(), &[], Duration::from_secs(9));
    placement.weights.set_desired(MODEL, 2, Duration::ZERO);
    let ask = prompt("s", "o");
    let place = placed(&placement, &ask, Duration::from_secs(9));
    assert_eq!(place.weight_version, Some(1));
    assert_eq!(place.save.iter().flatten().count(), 0, "what replaced weights made is not kept");
    let late = placement.choose(&ask, Duration::from_secs(10));
    assert_eq!(late, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
    placement.set_target(listed(4, ENGINES, 64, 2));
    let place = placed(&placement, &ask, Duration::from_secs(10));
    assert_eq!((place.target.as_str(), place.weight_version), ("i-4", Some(2)));
}

#[test]
fn a_second_version_does_not_prolong_the_use_of_the_first() {
    let mut placement = fleet();
    placement.weights.set_desired(MODEL, 2, Duration::ZERO);
    placement.weights.set_desired(MODEL, 3, Duration::from_secs(4));
    placement.set_target(listed(4, ENGINES, 64, 2));
    let ask = prompt("s", "o");
    let place = placed(&placement, &ask, Duration::from_secs(11));
    assert_eq!(place.weight_version, Some(2), "the first version went out of use after 10 s");
    let late = placement.choose(&ask, Duration::from_secs(14));
    assert_eq!(late, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
}

#[test]
fn a_target_that_is_to_swap_gets_nothing_until_its_weights_are_there() {
    let mut placement = fleet();
    (2..=9).for_each(|index| placement.remove_target(&format!("i-{index}")));
    placement.set_target(listed(2, ENGINES, 64, 2));
    placement.note_swapping("i-1", MODEL, 2, Duration::ZERO);
    placement.note_swapping("i-2", MODEL, 2, Duration::ZERO);
    for session in 0..8 {
        let ask = prompt(&format!("s{session}"), "o");
        assert_eq!(placed(&placement, &ask, Duration::from_secs(3)).target, "i-2");
    }
    placement.set_target(listed(1, ENGINES, 64, 2));
    let targets: BTreeSet<String> = (0..20)
        .map(|session| prompt(&format!("s{session}"), "o"))
        .map(|ask| placed(&placement, &ask, Duration::from_secs(3)).target)
        .collect();
    assert!(targets.contains("i-1"), "{targets:?}");
}

#[test]
fn parts_of_a_store_are_freed_once_no_runner_has_served_their_weights_for_a_while() {
    struct Case {
        name: &'static str,
        /// Whether one runner still serves the old weights.
        has_laggard: bool,
        after: Duration,
        is_freed: bool,
    }
    let cases = [
        Case {
            name: "just swapped",
            has_laggard: false,
            after: Duration::from_secs(4),
            is_freed: false,
        },
        Case {
            name: "long swapped",
            has_laggard: false,
            after: Duration::from_secs(5),
            is_freed: true,
        },
        Case {
            name: "one runner lags",
            has_laggard: true,
            after: Duration::from_secs(9),
            is_freed: false,
        },
    ];
    for case in cases {
        let mut placement = fleet();
        placement.weights.set_desired(MODEL, 2, Duration::ZERO);
        let mut finder = OutdatedPartFinder::default();
        assert!(finder.find(&placement, Duration::ZERO).is_empty(), "{}", case.name);
        (if case.has_laggard { 2 } else { 1 }..=9).for_each(|index| {
            placement.set_target(listed(index, ENGINES, 64, 2));
        });
        finder.find(&placement, Duration::from_secs(1));
        let now = Duration::from_secs(1) + case.after;
        let held = [("tala.1", "old", 32), ("tala.1.acme", "walled", 32), ("tala.2", "new", 32)];
        tell(&mut placement, store(), &held, now);
        let freed = finder.find(&placement, now);
        let mut parts: Vec<&str> =
            freed.iter().flat_map(|found| &found.parts).map(|key| key.part.as_str()).collect();
        parts.sort_unstable();
        let expected: &[&str] = if case.is_freed { &["old", "walled"] } else { &[] };
        assert_eq!(parts, expected, "{}", case.name);
    }
}

#[test]
fn isolated_accounts_share_a_scope_with_nobody() {
    let placement = fleet();
    let scope = |account: Option<&str>| {
        let mut ask = prompt("s", "o");
        ask.prompt.as_mut().unwrap().isolated_account = account.map(str::to_string);
        placed(&placement, &ask, Duration::ZERO).cache_scope
    };
    let scopes = BTreeSet::from([scope(None), scope(Some("a")), scope(Some("b"))]);
    assert_eq!(scopes.len(), 3);
}

#[test]
fn targets_that_leave_or_failed_get_nothing() {
    let mut placement = fleet();
    placement.set_target(RegisteredTarget { is_draining: true, ..listed(11, PLAIN, 6, 1) });
    placement.remove_target("i-12");
    for _ in 0..10 {
        assert_eq!(placed(&placement, &call(), Duration::ZERO).target, "i-13");
    }
    let ask = PlacementRequest { avoid: vec!["i-13".to_string()], ..call() };
    let choice = placement.choose(&ask, Duration::ZERO);
    assert_eq!(choice, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
}

#[test]
fn a_target_that_fell_silent_rests_but_is_better_than_none() {
    let mut placement = fleet();
    let place = placed(&placement, &call(), Duration::ZERO);
    placement.begin(&place, None, Duration::ZERO);
    placement.end(&place, TargetOutcome::Unreachable, Duration::ZERO);
    for _ in 0..10 {
        assert_ne!(placed(&placement, &call(), Duration::ZERO).target, place.target);
    }
    (11..=13).filter(|index| format!("i-{index}") != place.target).for_each(|index| {
        placement.remove_target(&format!("i-{index}"));
    });
    assert_eq!(placed(&placement, &call(), Duration::ZERO).target, place.target);
}

/// Plays calls while one of two other data centres is cut off: gives how many of them waited for a
/// connection that was never made.
fn play_cut(calls: u32) -> u32 {
    let mut placement = Placement::open(Duration::from_secs(10));
    placement.set_services(&BTreeMap::from([(PLAIN.to_string(), ServiceKind::Plain)]));
    for index in 1..=18 {
        let data_centre = ["mnl-a", "mnl-b", "mnl-c"][usize::from(index) % 3].to_string();
        placement.set_target(RegisteredTarget { data_centre, ..listed(index, PLAIN, 1, 1) });
    }
    let mut waited = 0;
    let mut held = Vec::new();
    for index in 0..calls {
        let now = Duration::from_millis(u64::from(index) * 50);
        let place = placed(&placement, &call(), now);
        placement.begin(&place, None, now);
        let is_cut = placement.targets()[&place.target].registration.data_centre == "mnl-b";
        if is_cut {
            waited += 1;
            placement.end(&place, TargetOutcome::Unreachable, now);
        } else {
            held.push(place);
        }
        // Calls take a while, so that the near targets alone do not do.
        if held.len() > 10 {
            placement.end(&held.remove(0), TargetOutcome::Served, now);
        }
    }
    waited
}

#[test]
fn a_data_centre_that_is_cut_off_costs_a_few_calls_and_not_one_a_target() {
    // Two calls find out; then one or two try again each three seconds.
    let waited = play_cut(100);
    assert!(waited <= 4, "{waited} of 100 calls in 5 s waited for nothing");
}

#[test]
fn one_target_that_cannot_be_reached_does_not_cut_its_data_centre_off() {
    let mut placement = fleet();
    let far =
        |index| RegisteredTarget { data_centre: "mnl-b".to_string(), ..listed(index, PLAIN, 6, 1) };
    (11..=13).for_each(|index| {
        placement.set_target(far(index));
    });
    let place = placed(&placement, &call(), Duration::ZERO);
    placement.end(&place, TargetOutcome::Unreachable, Duration::ZERO);
    let other = placed(&placement, &call(), Duration::ZERO);
    assert_ne!(other.target, place.target);
}

#[test]
fn parts_are_not_fetched_from_a_data_centre_that_is_cut_off() {
    let mut placement = fleet();
    let far = |index| RegisteredTarget {
        data_centre: "mnl-b".to_string(),
        ..listed(index, ENGINES, 64, 1)
    };
    (7..=9).for_each(|index| {
        placement.set_target(far(index));
    });
    let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
    tell(&mut placement, address(7), &held, Duration::ZERO);
    let ask = prompt("s", "o");
    assert_eq!(placed(&placement, &ask, Duration::ZERO).target, "i-7");
    for index in [8, 9] {
        let place =
            Assignment { target: format!("i-{index}"), ..placed(&placement, &ask, Duration::ZERO) };
        placement.end(&place, TargetOutcome::Unreachable, Duration::ZERO);
    }
    let place = placed(&placement, &ask, Duration::ZERO);
    assert_ne!(place.target, "i-7");
    assert_eq!(place.fetch.iter().flatten().count(), 0);
}

#[test]
fn a_target_that_started_again_under_its_name_holds_nothing() {
    let mut placement = fleet();
    let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
    tell(&mut placement, address(3), &held, Duration::ZERO);
    placement.set_target(RegisteredTarget { started_at_ms: 2, ..listed(3, ENGINES, 64, 1) });
    assert_eq!(placed(&placement, &prompt("s", "o"), Duration::ZERO).held_tokens, 0);
}

#[test]
fn what_cannot_be_served_in_time_is_unplaced_at_once() {
    let mut placement = fleet();
    let load = ReportedLoad { running: 6, waiting: 30, slots: 6 };
    (11..=13).for_each(|index| {
        placement.observe_load(&format!("i-{index}"), load, Duration::ZERO);
    });
    let ask = PlacementRequest { max_wait: Duration::from_millis(200), ..call() };
    let choice = placement.choose(&ask, Duration::ZERO);
    let PlacementDecision::Unplaced(UnplacedReason::Full { wait }) = choice else {
        panic!("{choice:?}")
    };
    assert!(wait > Duration::from_millis(200));
}

/// Plays a burst: prompts of many sessions come at once, each runner reads one after the other.
/// Gives the longest backlog in tokens and the shared tokens that were read more than once.
fn play_burst(
    choose: &mut dyn FnMut(&mut Placement, &PlacementRequest, usize) -> String,
) -> (u64, u64) {
    let mut placement = fleet();
    tell(&mut placement, store(), &[], Duration::ZERO);
    let mut backlog: BTreeMap<String, u64> = BTreeMap::new();
    let mut read: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut again = 0;
    for index in 0..90 {
        let ask = prompt(&format!("s{}", index % 30), &format!("o{index}"));
        let target = choose(&mut placement, &ask, index);
        let kept = read.entry(target.clone()).or_default();
        let mut tokens = 1_670;
        for part in &ask.prompt.as_ref().unwrap().parts[..2] {
            if kept.insert(part.id.clone()) {
                tokens += part.tokens;
            }
        }
        *backlog.entry(target).or_default() += tokens;
    }
    let mut parts: BTreeMap<&String, u64> = BTreeMap::new();
    read.values().flatten().for_each(|part| *parts.entry(part).or_default() += 1);
    for (part, count) in parts {
        again += (count - 1) * if part == "root" { 2_520 } else { 5_000 };
    }
    (backlog.values().copied().max().unwrap_or(0), again)
}

#[test]
fn in_a_burst_of_sessions_callers_wait_no_longer_and_less_is_read_twice_than_by_turns() {
    let by_turns = play_burst(&mut |_, _, index| format!("i-{}", index % 9 + 1));
    let placed_ones = play_burst(&mut |placement, ask, _| {
        let place = placed(placement, ask, Duration::ZERO);
        placement.begin(&place, ask.prompt.as_ref(), Duration::ZERO);
        place.target
    });
    assert!(placed_ones.0 <= by_turns.0, "longest backlog: {placed_ones:?} of {by_turns:?}");
    assert!(placed_ones.1 < by_turns.1, "read again: {placed_ones:?} of {by_turns:?}");
}
