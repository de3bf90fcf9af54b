//! Tests of placement: single requests, and simulated partitions and bursts.

use super::{
    Assignment, MemorySample, OutdatedPartFinder, Placement, PlacementDecision, PlacementPrompt,
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

fn registered(index: u8, service: &str, slots: u32, weight_version: u64) -> RegisteredTarget {
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
        software_version: Some("v1".to_string()),
        cold_remaining: None,
    }
}

/// Returns a placement with nine runners, three instances of a plain service and one managed store.
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
        placement.set_target(registered(index, ENGINES, 64, 1));
    });
    (11..=13).for_each(|index| {
        placement.set_target(registered(index, PLAIN, 6, 1));
    });
    placement
}

fn apply_parts(
    placement: &mut Placement,
    cache: SocketAddr,
    parts: &[(&str, &str, u64)],
    now: Duration,
) {
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
        rank: 0,
        is_continuation: false,
        software_version: None,
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

fn assigned(placement: &Placement, request: &PlacementRequest, now: Duration) -> Assignment {
    match placement.choose(request, now) {
        PlacementDecision::Assigned(assignment) => *assignment,
        PlacementDecision::Unplaced(why) => panic!("unplaced: {why:?}"),
    }
}

#[test]
fn independent_processes_choose_the_same_target_for_a_new_part() {
    let (first, second) = (fleet(), fleet());
    let mut targets = BTreeSet::new();
    for session in 0..20 {
        let request = prompt(&format!("s{session}"), "o");
        let assignment = assigned(&first, &request, Duration::ZERO);
        assert_eq!(assignment, assigned(&second, &request, Duration::ZERO));
        targets.insert(assignment.target);
    }
    assert!(targets.len() > 4, "sessions are not spread over targets: {targets:?}");
}

#[test]
fn assigns_a_prompt_to_the_holder_of_its_leading_parts() {
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
        Case { name: "only the second part", held: &[("tala.1", "s", 5_000)], held_tokens: 0 },
        Case {
            name: "parts of another weight version",
            held: &[("tala.2", "root", 2_520), ("tala.2", "s", 5_000)],
            held_tokens: 0,
        },
        Case { name: "an incomplete part", held: &[("tala.1", "root", 2_519)], held_tokens: 0 },
    ];
    for case in cases {
        let mut placement = fleet();
        let request = prompt("s", "o");
        let elsewhere = assigned(&placement, &request, Duration::ZERO).target;
        let holder = (1..=9).find(|index| format!("i-{index}") != elsewhere).unwrap();
        apply_parts(&mut placement, address(holder), case.held, Duration::ZERO);
        let assignment = assigned(&placement, &request, Duration::ZERO);
        assert_eq!(assignment.held_tokens, case.held_tokens, "{}", case.name);
        let is_at_holder = assignment.target == format!("i-{holder}");
        assert_eq!(is_at_holder, case.held_tokens > 0, "{}", case.name);
    }
}

#[test]
fn fetches_only_from_a_store_with_recent_updates() {
    struct Case {
        name: &'static str,
        age: Duration,
        is_fetched: bool,
    }
    let cases = [
        Case { name: "recent update", age: Duration::from_millis(100), is_fetched: true },
        Case { name: "stale update", age: Duration::from_millis(1_300), is_fetched: false },
    ];
    for case in cases {
        let mut placement = fleet();
        let updated_at = Duration::from_secs(5);
        let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
        apply_parts(&mut placement, store(), &held, updated_at);
        let assignment = assigned(&placement, &prompt("s", "o"), updated_at + case.age);
        let fetched = assignment.fetch.iter().flatten().filter(|source| source.address == store());
        assert_eq!(fetched.count() > 0, case.is_fetched, "{}", case.name);
    }
}

#[test]
fn names_a_fetch_source_even_for_a_held_part() {
    let mut placement = fleet();
    let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
    apply_parts(&mut placement, address(3), &held, Duration::ZERO);
    apply_parts(&mut placement, store(), &held, Duration::ZERO);
    let assignment = assigned(&placement, &prompt("s", "o"), Duration::ZERO);
    assert_eq!(assignment.target, "i-3");
    let sources: Vec<_> =
        assignment.fetch.iter().map(|source| source.map(|it| it.address)).collect();
    assert_eq!(sources, [Some(store()), Some(store()), None]);
}

#[test]
fn saves_shared_parts_once_and_only_into_free_space() {
    let mut placement = fleet();
    apply_parts(&mut placement, store(), &[], Duration::ZERO);
    let request = prompt("s", "o");
    let assignment = assigned(&placement, &request, Duration::ZERO);
    assert_eq!(
        assignment.save,
        [Some(store()), Some(store()), None],
        "the last part is not shared"
    );
    placement.begin(&assignment, request.prompt.as_ref(), Duration::ZERO);
    let again = assigned(&placement, &request, Duration::from_millis(10));
    assert_eq!(again.save, [None, None, None], "saves of both parts are pending");
    apply_parts(&mut placement, store(), &[("tala.1", "full", 19_000)], Duration::ZERO);
    let other = assigned(&placement, &prompt("t", "o"), Duration::from_millis(20));
    assert_eq!(other.save, [None, None, None], "the store has no space");
}

#[test]
fn stops_using_replaced_weights_after_the_usable_period() {
    let mut placement = fleet();
    apply_parts(&mut placement, store(), &[], Duration::from_secs(9));
    placement.weights.set_desired(MODEL, 2, Duration::ZERO);
    let request = prompt("s", "o");
    let assignment = assigned(&placement, &request, Duration::from_secs(9));
    assert_eq!(assignment.weight_version, Some(1));
    assert_eq!(
        assignment.save.iter().flatten().count(),
        0,
        "context of replaced weights is not saved"
    );
    let late = placement.choose(&request, Duration::from_secs(10));
    assert_eq!(late, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
    placement.set_target(registered(4, ENGINES, 64, 2));
    let assignment = assigned(&placement, &request, Duration::from_secs(10));
    assert_eq!((assignment.target.as_str(), assignment.weight_version), ("i-4", Some(2)));
}

#[test]
fn a_second_new_version_does_not_prolong_the_usable_period() {
    let mut placement = fleet();
    placement.weights.set_desired(MODEL, 2, Duration::ZERO);
    placement.weights.set_desired(MODEL, 3, Duration::from_secs(4));
    placement.set_target(registered(4, ENGINES, 64, 2));
    let request = prompt("s", "o");
    let assignment = assigned(&placement, &request, Duration::from_secs(11));
    assert_eq!(assignment.weight_version, Some(2), "version 1 is usable for 10 s after version 2");
    let late = placement.choose(&request, Duration::from_secs(14));
    assert_eq!(late, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
}

#[test]
fn replaced_weights_are_counted_from_the_earliest_known_time_of_a_newer_version() {
    struct Case {
        name: &'static str,
        /// Versions with the second since which each is desired, in the order of arrival.
        set: &'static [(u64, u64)],
        /// Whether the last of them changes anything.
        is_changed: bool,
        newest: u64,
        /// Age in seconds, at 50 s, of what replaced versions 1 and 2.
        ages: [Option<u64>; 2],
    }
    let cases = [
        Case {
            name: "one version",
            set: &[(2, 40)],
            is_changed: true,
            newest: 2,
            ages: [Some(10), None],
        },
        Case {
            name: "the same time again",
            set: &[(2, 40), (2, 40)],
            is_changed: false,
            newest: 2,
            ages: [Some(10), None],
        },
        Case {
            name: "a later time of the same version",
            set: &[(2, 40), (2, 45)],
            is_changed: false,
            newest: 2,
            ages: [Some(10), None],
        },
        Case {
            name: "an earlier time of the same version",
            set: &[(2, 40), (2, 30)],
            is_changed: true,
            newest: 2,
            ages: [Some(20), None],
        },
        Case {
            name: "an older version",
            set: &[(3, 40), (2, 20)],
            is_changed: true,
            newest: 3,
            ages: [Some(30), Some(10)],
        },
        Case {
            name: "an older version with a later time",
            set: &[(3, 40), (2, 45)],
            is_changed: true,
            newest: 3,
            ages: [Some(10), Some(10)],
        },
        Case {
            name: "a newer version with an earlier time",
            set: &[(2, 40), (3, 30)],
            is_changed: true,
            newest: 3,
            ages: [Some(20), Some(20)],
        },
        Case {
            name: "more versions than are kept",
            set: &[(2, 1), (3, 2), (4, 3), (5, 4), (6, 5), (7, 6), (8, 7), (9, 8), (10, 9)],
            is_changed: true,
            newest: 10,
            ages: [Some(48), Some(48)],
        },
    ];
    for case in cases {
        let mut placement = fleet();
        let mut is_changed = false;
        for (version, since) in case.set {
            let since = Duration::from_secs(*since);
            is_changed = placement.weights.set_desired(MODEL, *version, since);
        }
        assert_eq!(is_changed, case.is_changed, "{}", case.name);
        assert_eq!(placement.weights.newest(MODEL), Some(case.newest), "{}", case.name);
        let now = Duration::from_secs(50);
        let ages = [1, 2].map(|version| placement.weights.age_of_newer(MODEL, version, now));
        assert_eq!(ages.map(|age| age.map(|age| age.as_secs())), case.ages, "{}", case.name);
    }
}

#[test]
fn avoids_a_target_with_a_swap_order_until_it_serves_the_new_weights() {
    let mut placement = fleet();
    (2..=9).for_each(|index| placement.remove_target(&format!("i-{index}")));
    placement.set_target(registered(2, ENGINES, 64, 2));
    placement.note_swapping("i-1", MODEL, 2, Duration::ZERO);
    placement.note_swapping("i-2", MODEL, 2, Duration::ZERO);
    for session in 0..8 {
        let request = prompt(&format!("s{session}"), "o");
        assert_eq!(assigned(&placement, &request, Duration::from_secs(3)).target, "i-2");
    }
    placement.set_target(registered(1, ENGINES, 64, 2));
    let targets: BTreeSet<String> = (0..20)
        .map(|session| prompt(&format!("s{session}"), "o"))
        .map(|request| assigned(&placement, &request, Duration::from_secs(3)).target)
        .collect();
    assert!(targets.contains("i-1"), "{targets:?}");
}

#[test]
fn frees_parts_of_weights_that_no_runner_has_served_for_a_while() {
    struct Case {
        name: &'static str,
        /// Whether one runner still serves the replaced weights.
        has_old_runner: bool,
        after: Duration,
        is_freed: bool,
    }
    let cases = [
        Case {
            name: "just swapped",
            has_old_runner: false,
            after: Duration::from_secs(4),
            is_freed: false,
        },
        Case {
            name: "swapped a while ago",
            has_old_runner: false,
            after: Duration::from_secs(5),
            is_freed: true,
        },
        Case {
            name: "one runner serves the replaced weights",
            has_old_runner: true,
            after: Duration::from_secs(9),
            is_freed: false,
        },
    ];
    for case in cases {
        let mut placement = fleet();
        placement.weights.set_desired(MODEL, 2, Duration::ZERO);
        let mut finder = OutdatedPartFinder::default();
        assert!(finder.find(&placement, Duration::ZERO).is_empty(), "{}", case.name);
        (if case.has_old_runner { 2 } else { 1 }..=9).for_each(|index| {
            placement.set_target(registered(index, ENGINES, 64, 2));
        });
        finder.find(&placement, Duration::from_secs(1));
        let now = Duration::from_secs(1) + case.after;
        let held = [("tala.1", "old", 32), ("tala.1.acme", "isolated", 32), ("tala.2", "new", 32)];
        apply_parts(&mut placement, store(), &held, now);
        let freed = finder.find(&placement, now);
        let mut parts: Vec<&str> =
            freed.iter().flat_map(|found| &found.parts).map(|key| key.part.as_str()).collect();
        parts.sort_unstable();
        let expected: &[&str] = if case.is_freed { &["isolated", "old"] } else { &[] };
        assert_eq!(parts, expected, "{}", case.name);
    }
}

#[test]
fn isolated_accounts_have_their_own_cache_scope() {
    let placement = fleet();
    let scope = |account: Option<&str>| {
        let mut request = prompt("s", "o");
        request.prompt.as_mut().unwrap().isolated_account = account.map(str::to_string);
        assigned(&placement, &request, Duration::ZERO).cache_scope
    };
    let scopes = BTreeSet::from([scope(None), scope(Some("a")), scope(Some("b"))]);
    assert_eq!(scopes.len(), 3);
}

#[test]
fn a_prompt_to_an_unknown_service_is_not_sent_without_weights() {
    struct Case {
        name: &'static str,
        /// Service of the prompt in the serving document.
        kind: Option<ServiceKind>,
        is_placed: bool,
        weight_version: Option<u64>,
    }
    let cases = [
        Case { name: "removed service", kind: None, is_placed: false, weight_version: None },
        Case {
            name: "plain service",
            kind: Some(ServiceKind::Plain),
            is_placed: true,
            weight_version: None,
        },
        Case {
            name: "engines",
            kind: Some(ServiceKind::Engines(memory(41_616, 550_000.0))),
            is_placed: true,
            weight_version: Some(1),
        },
    ];
    for case in cases {
        let mut placement = fleet();
        let kind = case.kind.map(|kind| (ENGINES.to_string(), kind));
        placement.set_services(&BTreeMap::from_iter(kind));
        let decision = placement.choose(&prompt("s", "o"), Duration::ZERO);
        match decision {
            PlacementDecision::Assigned(assignment) => {
                assert!(case.is_placed, "{}: {assignment:?}", case.name);
                assert_eq!(assignment.weight_version, case.weight_version, "{}", case.name);
                let has_scope = assignment.cache_scope.is_some();
                assert_eq!(has_scope, case.weight_version.is_some(), "{}", case.name);
            }
            PlacementDecision::Unplaced(why) => {
                assert!(!case.is_placed, "{}", case.name);
                assert_eq!(why, UnplacedReason::NoneUsable, "{}", case.name);
            }
        }
    }
}

#[test]
fn skips_draining_removed_and_avoided_targets() {
    let mut placement = fleet();
    placement.set_target(RegisteredTarget { is_draining: true, ..registered(11, PLAIN, 6, 1) });
    placement.remove_target("i-12");
    for _ in 0..10 {
        assert_eq!(assigned(&placement, &call(), Duration::ZERO).target, "i-13");
    }
    let request = PlacementRequest { avoid: vec!["i-13".to_string()], ..call() };
    let decision = placement.choose(&request, Duration::ZERO);
    assert_eq!(decision, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
}

#[test]
fn uses_an_unreachable_target_only_as_a_last_resort() {
    let mut placement = fleet();
    let assignment = assigned(&placement, &call(), Duration::ZERO);
    placement.begin(&assignment, None, Duration::ZERO);
    placement.end(&assignment, TargetOutcome::Unreachable, Duration::ZERO, Duration::ZERO);
    for _ in 0..10 {
        assert_ne!(assigned(&placement, &call(), Duration::ZERO).target, assignment.target);
    }
    (11..=13).filter(|index| format!("i-{index}") != assignment.target).for_each(|index| {
        placement.remove_target(&format!("i-{index}"));
    });
    assert_eq!(assigned(&placement, &call(), Duration::ZERO).target, assignment.target);
}

/// Simulates calls while one of two other data centres is unreachable. Returns how many of them
/// waited for a connection that timed out.
fn simulate_partition(calls: u32) -> u32 {
    let mut placement = Placement::open(Duration::from_secs(10));
    placement.set_services(&BTreeMap::from([(PLAIN.to_string(), ServiceKind::Plain)]));
    for index in 1..=18 {
        let data_centre = ["mnl-a", "mnl-b", "mnl-c"][usize::from(index) % 3].to_string();
        placement.set_target(RegisteredTarget { data_centre, ..registered(index, PLAIN, 1, 1) });
    }
    let mut waited = 0;
    let mut held = Vec::new();
    for index in 0..calls {
        let now = Duration::from_millis(u64::from(index) * 50);
        let assignment = assigned(&placement, &call(), now);
        placement.begin(&assignment, None, now);
        let is_unreachable =
            placement.targets()[&assignment.target].registration.data_centre == "mnl-b";
        if is_unreachable {
            waited += 1;
            placement.end(&assignment, TargetOutcome::Unreachable, Duration::ZERO, now);
        } else {
            held.push(assignment);
        }
        // Up to ten calls stay in flight, which is more than the local targets have slots for.
        if held.len() > 10 {
            placement.end(&held.remove(0), TargetOutcome::Served, Duration::from_millis(500), now);
        }
    }
    waited
}

#[test]
fn a_partition_delays_a_few_calls_instead_of_one_per_target() {
    // Two calls detect the partition; then one or two retry every three seconds.
    let waited = simulate_partition(100);
    assert!(waited <= 4, "{waited} of 100 calls in 5 s waited for an unreachable target");
}

#[test]
fn one_unreachable_target_does_not_exclude_its_data_centre() {
    let mut placement = fleet();
    let far = |index| RegisteredTarget {
        data_centre: "mnl-b".to_string(),
        ..registered(index, PLAIN, 6, 1)
    };
    (11..=13).for_each(|index| {
        placement.set_target(far(index));
    });
    let assignment = assigned(&placement, &call(), Duration::ZERO);
    placement.end(&assignment, TargetOutcome::Unreachable, Duration::ZERO, Duration::ZERO);
    let other = assigned(&placement, &call(), Duration::ZERO);
    assert_ne!(other.target, assignment.target);
}

#[test]
fn does_not_fetch_from_an_unreachable_data_centre() {
    let mut placement = fleet();
    let far = |index| RegisteredTarget {
        data_centre: "mnl-b".to_string(),
        ..registered(index, ENGINES, 64, 1)
    };
    (7..=9).for_each(|index| {
        placement.set_target(far(index));
    });
    let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
    apply_parts(&mut placement, address(7), &held, Duration::ZERO);
    let request = prompt("s", "o");
    assert_eq!(assigned(&placement, &request, Duration::ZERO).target, "i-7");
    for index in [8, 9] {
        let assignment = Assignment {
            target: format!("i-{index}"),
            ..assigned(&placement, &request, Duration::ZERO)
        };
        placement.end(&assignment, TargetOutcome::Unreachable, Duration::ZERO, Duration::ZERO);
    }
    let assignment = assigned(&placement, &request, Duration::ZERO);
    assert_ne!(assignment.target, "i-7");
    assert_eq!(assignment.fetch.iter().flatten().count(), 0);
}

#[test]
fn a_restarted_target_holds_no_parts() {
    let mut placement = fleet();
    let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
    apply_parts(&mut placement, address(3), &held, Duration::ZERO);
    placement.set_target(RegisteredTarget { started_at_ms: 2, ..registered(3, ENGINES, 64, 1) });
    assert_eq!(assigned(&placement, &prompt("s", "o"), Duration::ZERO).held_tokens, 0);
}

#[test]
fn a_stream_is_placed_only_on_the_software_version_that_began_it() {
    let mut placement = fleet();
    let other = |index| RegisteredTarget {
        software_version: Some("v1.1".to_string()),
        ..registered(index, ENGINES, 64, 1)
    };
    placement.set_target(other(4));
    for (version, expected) in [("v1.1", Some("i-4")), ("v1.2", None)] {
        let request =
            PlacementRequest { software_version: Some(version.to_string()), ..prompt("s", "o") };
        match placement.choose(&request, Duration::ZERO) {
            PlacementDecision::Assigned(assignment) => {
                assert_eq!(Some(assignment.target.as_str()), expected, "{version}");
                assert_eq!(assignment.software_version.as_deref(), Some(version));
            }
            unplaced => {
                assert_eq!(unplaced, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
                assert_eq!(expected, None, "{version}");
            }
        }
    }
}

#[test]
fn does_not_place_a_request_that_would_wait_too_long() {
    let mut placement = fleet();
    let load = ReportedLoad { running: 6, waiting: 30, slots: 6, slowness_percent: None };
    (11..=13).for_each(|index| {
        placement.observe_load(&format!("i-{index}"), load, Duration::ZERO);
    });
    let request = PlacementRequest { max_wait: Duration::from_millis(200), ..call() };
    let decision = placement.choose(&request, Duration::ZERO);
    let PlacementDecision::Unplaced(UnplacedReason::Full { wait }) = decision else {
        panic!("{decision:?}")
    };
    assert!(wait > Duration::from_millis(200));
}

/// Simulates a burst: prompts of many sessions arrive at once, and each runner prefills its prompts
/// one after the other. Returns the longest backlog in tokens, and the shared tokens that were
/// prefilled more than once.
fn simulate_burst(
    choose: &mut dyn FnMut(&mut Placement, &PlacementRequest, usize) -> String,
) -> (u64, u64) {
    let mut placement = fleet();
    apply_parts(&mut placement, store(), &[], Duration::ZERO);
    let mut backlog: BTreeMap<String, u64> = BTreeMap::new();
    let mut computed: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut recomputed_tokens = 0;
    for index in 0..90 {
        let request = prompt(&format!("s{}", index % 30), &format!("o{index}"));
        let target = choose(&mut placement, &request, index);
        let held = computed.entry(target.clone()).or_default();
        let mut tokens = 1_670;
        for part in &request.prompt.as_ref().unwrap().parts[..2] {
            if held.insert(part.id.clone()) {
                tokens += part.tokens;
            }
        }
        *backlog.entry(target).or_default() += tokens;
    }
    let mut parts: BTreeMap<&String, u64> = BTreeMap::new();
    computed.values().flatten().for_each(|part| *parts.entry(part).or_default() += 1);
    for (part, count) in parts {
        recomputed_tokens += (count - 1) * if part == "root" { 2_520 } else { 5_000 };
    }
    (backlog.values().copied().max().unwrap_or(0), recomputed_tokens)
}

#[test]
fn a_burst_waits_no_longer_and_recomputes_less_than_with_round_robin() {
    let round_robin = simulate_burst(&mut |_, _, index| format!("i-{}", index % 9 + 1));
    let placement = simulate_burst(&mut |placement, request, _| {
        let assignment = assigned(placement, request, Duration::ZERO);
        placement.begin(&assignment, request.prompt.as_ref(), Duration::ZERO);
        assignment.target
    });
    assert!(placement.0 <= round_robin.0, "longest backlog: {placement:?} and {round_robin:?}");
    assert!(placement.1 < round_robin.1, "recomputed tokens: {placement:?} and {round_robin:?}");
}

fn sample(placement: &mut Placement, index: u8, used_tokens: u64, waiting: u32, at: Duration) {
    let sample = MemorySample { used_tokens, waiting };
    placement.observe_memory(&format!("i-{index}"), sample, at);
}

#[test]
fn places_a_prompt_only_where_memory_has_room() {
    struct Case {
        name: &'static str,
        rank: u8,
        is_continuation: bool,
        /// Tokens in use at the first engine; all others are full.
        used_tokens: u64,
        waiting: u32,
        age: Duration,
        is_placed: bool,
    }
    let base = Case {
        name: "room",
        rank: 0,
        is_continuation: false,
        used_tokens: 10_000,
        waiting: 0,
        age: Duration::from_millis(100),
        is_placed: true,
    };
    let cases = [
        Case { name: "no room", used_tokens: 40_000, is_placed: false, ..base },
        Case { name: "room for urgent requests", used_tokens: 23_500, rank: 0, ..base },
        Case {
            name: "the same, less urgent",
            used_tokens: 23_500,
            rank: 2,
            is_placed: false,
            ..base
        },
        Case { name: "others wait there", waiting: 12, is_placed: false, ..base },
        Case { name: "continued run", used_tokens: 40_000, is_continuation: true, ..base },
        Case {
            name: "outdated samples",
            used_tokens: 40_000,
            age: Duration::from_millis(1_600),
            ..base
        },
        base,
    ];
    for case in cases {
        let mut placement = fleet();
        let now = Duration::from_secs(5);
        (2..=9).for_each(|index| sample(&mut placement, index, 41_600, 9, now - case.age));
        sample(&mut placement, 1, case.used_tokens, case.waiting, now - case.age);
        let request = PlacementRequest {
            rank: case.rank,
            is_continuation: case.is_continuation,
            ..prompt("s", "o")
        };
        match placement.choose(&request, now) {
            PlacementDecision::Assigned(_) => assert!(case.is_placed, "{}", case.name),
            PlacementDecision::Unplaced(UnplacedReason::Full { wait }) => {
                assert!(!case.is_placed, "{}", case.name);
                assert!(wait > Duration::ZERO, "{}", case.name);
            }
            other => panic!("{}: {other:?}", case.name),
        }
    }
}

#[test]
fn counts_what_it_sent_since_the_last_sample() {
    let mut placement = fleet();
    (2..=9).for_each(|index| placement.remove_target(&format!("i-{index}")));
    sample(&mut placement, 1, 5_000, 0, Duration::from_secs(1));
    let mut sent = Vec::new();
    let now = Duration::from_millis(1_010);
    loop {
        let request = prompt(&format!("s{}", sent.len()), "o");
        let PlacementDecision::Assigned(assignment) = placement.choose(&request, now) else {
            break;
        };
        placement.begin(&assignment, request.prompt.as_ref(), now);
        sent.push(*assignment);
        assert!(sent.len() < 10, "the engine takes any number of prompts");
    }
    // 5,000 tokens in use, 9,200 of the first prompt and 6,680 of each further one, which shares the
    // root, into 0.8 of 41,616.
    assert_eq!(sent.len(), 3);
    placement.end(&sent[0], TargetOutcome::Served, Duration::from_millis(40), now);
    assert!(matches!(placement.choose(&prompt("t", "o"), now), PlacementDecision::Assigned(_)));
}

#[test]
fn an_idle_engine_takes_a_prompt_of_any_size() {
    let mut placement = fleet();
    (1..=9).for_each(|index| sample(&mut placement, index, 0, 0, Duration::ZERO));
    let mut request = prompt("s", "o");
    request.prompt.as_mut().unwrap().prompt_tokens = 41_000;
    assert!(matches!(placement.choose(&request, Duration::ZERO), PlacementDecision::Assigned(_)));
}

#[test]
fn does_not_send_to_old_weights_what_would_start_too_late() {
    let mut placement = fleet();
    placement.weights.set_desired(MODEL, 2, Duration::ZERO);
    let request = prompt("s", "o");
    let at = Duration::from_millis(9_000);
    let assignment = assigned(&placement, &request, at);
    assert_eq!(assignment.weight_version, Some(1), "a run that starts within half a second");
    // Slow responses show that a run would wait past the end of the usable period.
    for _ in 0..100 {
        placement.note_first_response(&assignment, Duration::from_millis(2_500));
    }
    let decision = placement.choose(&request, at);
    assert_eq!(decision, PlacementDecision::Unplaced(UnplacedReason::NoneUsable));
}

#[test]
fn learns_the_prefill_time_of_engines() {
    struct Case {
        name: &'static str,
        ms_per_token: f64,
        is_fetched: bool,
    }
    let cases = [
        Case { name: "fast engines", ms_per_token: 0.005, is_fetched: false },
        Case { name: "slow engines", ms_per_token: 0.2, is_fetched: true },
    ];
    for case in cases {
        let mut placement = fleet();
        let first = assigned(&placement, &prompt("s", "o"), Duration::ZERO);
        let elapsed_ms = 10.0 + first.prefill_tokens as f64 * case.ms_per_token;
        for _ in 0..200 {
            placement.note_first_response(&first, Duration::from_secs_f64(elapsed_ms / 1_000.0));
        }
        // A store whose transfer of 5,000 tokens takes about 740 ms.
        let slow = ServiceKind::Store {
            address: store(),
            data_centre: "mnl-a".to_string(),
            memory: memory(20_000, 1_000.0),
            is_managed: true,
        };
        placement.set_services(&BTreeMap::from([
            (ENGINES.to_string(), ServiceKind::Engines(memory(41_616, 550_000.0))),
            ("tala-cache-b".to_string(), slow),
        ]));
        let held = [("tala.1", "root", 2_520), ("tala.1", "s", 5_000)];
        apply_parts(&mut placement, store(), &held, Duration::ZERO);
        let assignment = assigned(&placement, &prompt("s", "o"), Duration::ZERO);
        assert_eq!(!assignment.transfers.is_empty(), case.is_fetched, "{}", case.name);
    }
}
