//! Tests that prompts spread over engines, and that their context stays in one data centre.

use super::{Assignment, Placement, PlacementDecision, PlacementPrompt, PlacementRequest};
use skylarkpick_interface::{
    ContextMemory, PartChange, PartChanges, PromptPart, RegisteredTarget, ServiceKind,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

const SERVICE: &str = "tala-llm";
const MODEL: &str = "tala";
/// Prompts for each engine, so that hashing alone stays well below the bound.
const PROMPTS_PER_ENGINE: u32 = 150;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    data_centres: u8,
    engines_per_data_centre: u8,
    /// Whether each data centre has a store; otherwise only the first has.
    has_store_in_each: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "a store in each of five data centres",
        data_centres: 5,
        engines_per_data_centre: 8,
        has_store_in_each: true,
    },
    Case {
        name: "a store in each of three data centres",
        data_centres: 3,
        engines_per_data_centre: 3,
        has_store_in_each: true,
    },
    Case {
        name: "one data centre",
        data_centres: 1,
        engines_per_data_centre: 12,
        has_store_in_each: false,
    },
];

fn memory(link_megabits_per_second: f64) -> ContextMemory {
    ContextMemory {
        capacity_tokens: 100_000_000,
        token_size_bytes: 18_432,
        link_megabits_per_second,
        first_byte_delay: Duration::from_millis(6),
        event_readers_limit: 12,
    }
}

fn data_centre(index: u8) -> String {
    format!("dc-{index}")
}

fn store(data_centre: u8) -> SocketAddr {
    SocketAddr::from(([172, 20, 0, data_centre], 80))
}

fn engine(data_centre_index: u8, index: u8) -> RegisteredTarget {
    RegisteredTarget {
        id: format!("i-{data_centre_index}-{index}"),
        service: SERVICE.to_string(),
        address: SocketAddr::from(([10, 1, data_centre_index, index], 80)),
        data_centre: data_centre(data_centre_index),
        slots: 16,
        is_draining: false,
        weights: BTreeMap::from([(MODEL.to_string(), 1)]),
        started_at_ms: 1,
        software_version: Some("v1".to_string()),
        cold_remaining: None,
    }
}

fn fleet(case: &Case) -> Placement {
    let mut placement = Placement::open(Duration::from_secs(10));
    let mut services =
        BTreeMap::from([(SERVICE.to_string(), ServiceKind::Engines(memory(550_000.0)))]);
    let stores = if case.has_store_in_each { case.data_centres } else { 1 };
    for index in 0..stores {
        let kind = ServiceKind::Store {
            address: store(index),
            data_centre: data_centre(index),
            memory: memory(19_000.0),
            is_managed: true,
        };
        services.insert(format!("tala-cache-{index}"), kind);
    }
    placement.set_services(&services);
    for index in 0..stores {
        report(&mut placement, store(index), None);
    }
    for data_centre_index in 0..case.data_centres {
        for index in 0..case.engines_per_data_centre {
            let engine = engine(data_centre_index, index);
            let address = engine.address;
            placement.set_target(engine);
            report(&mut placement, address, None);
        }
    }
    placement
}

/// Reports a part that a cache holds, or none.
fn report(placement: &mut Placement, cache: SocketAddr, part: Option<&str>) {
    let changes = part.map(|part| PartChange {
        scope: format!("{MODEL}.1"),
        part: part.to_string(),
        tokens: 5_000,
    });
    let changes = changes.into_iter().collect();
    let changes = PartChanges { epoch: 1, next: 1, has_gap: false, changes };
    placement.parts.apply(&cache, &changes, Duration::ZERO);
}

fn place(placement: &Placement, session: &str) -> Assignment {
    let part = |id: &str, tokens| PromptPart { id: id.to_string(), tokens };
    let request = PlacementRequest {
        service: SERVICE.to_string(),
        data_centre: data_centre(0),
        prompt: Some(PlacementPrompt {
            model: MODEL.to_string(),
            parts: vec![part(session, 5_000), part("own", 1_670)],
            prompt_tokens: 6_670,
            answer_tokens_limit: 10,
            isolated_account: None,
        }),
        rank: 0,
        is_continuation: false,
        software_version: None,
        avoid: Vec::new(),
        max_wait: Duration::from_secs(1),
    };
    match placement.choose(&request, Duration::ZERO) {
        PlacementDecision::Assigned(assignment) => *assignment,
        PlacementDecision::Unplaced(why) => panic!("unplaced: {why:?}"),
    }
}

/// Many processes place prompts between two samples of the engines, each without knowledge of the
/// sends of the others.
#[test]
fn processes_that_know_the_same_do_not_all_send_to_one_engine() {
    for case in CASES {
        let mut placement = fleet(&case);
        let engines = u32::from(case.data_centres) * u32::from(case.engines_per_data_centre);
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for index in 0..engines * PROMPTS_PER_ENGINE {
            let session = format!("s{index}");
            let saved_to = place(&placement, &session).save[0].expect(case.name);
            report(&mut placement, saved_to, Some(&session));
            let assignment = place(&placement, &session);
            assert_eq!(assignment.transfers.len(), 1, "{}", case.name);
            *counts.entry(assignment.target).or_default() += 1;
        }
        let most = counts.values().max().copied().unwrap_or(0);
        let is_spread = f64::from(most) <= 1.3 * f64::from(PROMPTS_PER_ENGINE);
        assert!(is_spread, "{}: {most} of {PROMPTS_PER_ENGINE} on average", case.name);
    }
}

#[test]
fn context_is_not_saved_and_fetched_between_data_centres_that_have_stores() {
    for case in CASES.iter().filter(|case| case.has_store_in_each) {
        let mut placement = fleet(case);
        let data_centre_of = |placement: &Placement, assignment: &Assignment| {
            placement.targets()[&assignment.target].registration.data_centre.clone()
        };
        for index in 0..200 {
            let session = format!("s{index}");
            let first = place(&placement, &session);
            let saved_to = first.save[0].expect(case.name);
            report(&mut placement, saved_to, Some(&session));
            let second = place(&placement, &session);
            let centres = [data_centre_of(&placement, &first), data_centre_of(&placement, &second)];
            let of_store = (0..case.data_centres).find(|it| store(*it) == saved_to);
            let of_store = of_store.map(data_centre).expect(case.name);
            assert!(centres.iter().all(|it| *it == of_store), "{}: {centres:?}", case.name);
        }
    }
}
