//! Tests of the router.

use super::*;
use skylarkpick_config::{Configuration, DataCentre, Model, RunnerTarget, Serving, StoreTarget};
use skylarkpick_interface::{LoadReport, PrefixKey, RunnerStatus, StoreStatus, StoreTier};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

const MODEL: &str = "tala-llm";
const KEYS: [PrefixKey; 4] = [11, 12, 13, 14];
const PROMPT_TOKENS: u64 = 1_100;

/// A prefix directory with fixed results.
#[derive(Clone, Debug, Default)]
struct FixedView {
    holders: Vec<Holder>,
    saved: Vec<SavedCopy>,
}

impl PrefixView for FixedView {
    fn holders(&self, _: &[PrefixKey]) -> Vec<Holder> {
        self.holders.clone()
    }

    fn saved_copies(&self, _: &[PrefixKey]) -> Vec<SavedCopy> {
        self.saved.clone()
    }
}

fn holder(runner: &str, tokens: u64) -> Holder {
    Holder { runner: runner.to_string(), tokens }
}

fn copy(tier: StoreTier, tokens: u64) -> SavedCopy {
    SavedCopy {
        store: "tala-cache".to_string(),
        tier,
        tokens,
        prefix_key: KEYS[3],
        generation: 1,
        size_bytes: tokens * 1_000,
    }
}

fn configuration(serving: Serving) -> Configuration {
    let mut configuration = Configuration::default();
    let model = Model {
        weight_version: 1,
        also_served_weight_versions: Vec::new(),
        adapters: Vec::new(),
        serving: "usual".to_string(),
        context_bytes_per_token: 1_000,
    };
    configuration.models.insert(MODEL.to_string(), model);
    configuration.serving.insert("usual".to_string(), serving);
    for (index, centre) in ["mnl-1", "mnl-2"].into_iter().enumerate() {
        let mut targets = DataCentre { region: "mnl".to_string(), ..DataCentre::default() };
        for number in 1..=2 {
            let name = format!("runner-{}", 2 * index + number);
            let address = format!("127.0.0.1:{}", 100 + 2 * index + number);
            let target = RunnerTarget { address, model: MODEL.to_string(), checks_fencing: true };
            targets.runners.insert(name, target);
        }
        configuration.data_centres.insert(centre.to_string(), targets);
    }
    let address = "127.0.0.1:99".to_string();
    let store = StoreTarget { address, link_bytes_per_second: 1e9 };
    let first = configuration.data_centres.get_mut("mnl-1").unwrap();
    first.stores.insert("tala-cache".to_string(), store);
    configuration
}

fn load(queued_prompt_tokens: u64, age: Duration) -> LoadReport {
    LoadReport {
        queued_prompt_tokens,
        slots: 16,
        prefill_tokens_per_second: 1_000.0,
        age,
        ..LoadReport::default()
    }
}

fn status() -> RunnerStatus {
    RunnerStatus {
        model: MODEL.to_string(),
        weight_version: 1,
        loading: None,
        leaving: false,
        incarnation: 1,
    }
}

fn request() -> RouteRequest {
    RouteRequest {
        model: MODEL.to_string(),
        prefix_keys: BTreeMap::from([(1, KEYS.to_vec())]),
        prompt_tokens: PROMPT_TOKENS,
        avoid: Vec::new(),
    }
}

fn router(rules: RoutingRules, now: Instant) -> Router {
    let mut router = Router::open_with("mnl-1", 7, rules);
    router.set_configuration(&configuration(Serving::default()));
    for runner in ["runner-1", "runner-2", "runner-3", "runner-4"] {
        router.observe_status(runner, &status());
        router.observe_load(runner, load(0, Duration::ZERO), now);
    }
    router
}

#[test]
fn chooses_the_cheapest_option() {
    struct Case {
        name: &'static str,
        view: FixedView,
        backlog_tokens: [u64; 4],
        runners: &'static [&'static str],
        context: &'static str,
    }
    let idle = [0; 4];
    let held = FixedView { holders: vec![holder("runner-3", 1_024)], saved: vec![] };
    let saved = |tier, tokens| FixedView { holders: vec![], saved: vec![copy(tier, tokens)] };
    let cases = [
        Case {
            name: "nothing cached: a runner in the same data centre computes",
            view: FixedView::default(),
            backlog_tokens: idle,
            runners: &["runner-1", "runner-2"],
            context: "recompute",
        },
        Case {
            name: "the holder, even in another data centre",
            view: held.clone(),
            backlog_tokens: idle,
            runners: &["runner-3"],
            context: "cached",
        },
        Case {
            name: "not the holder if its queue is long",
            view: held,
            backlog_tokens: [0, 0, 20_000, 0],
            runners: &["runner-1", "runner-2"],
            context: "recompute",
        },
        Case {
            name: "import from memory",
            view: saved(StoreTier::Memory, 1_024),
            backlog_tokens: idle,
            runners: &["runner-1", "runner-2"],
            context: "import",
        },
        Case {
            name: "import from disk",
            view: saved(StoreTier::Disk, 1_024),
            backlog_tokens: idle,
            runners: &["runner-1", "runner-2"],
            context: "import",
        },
        Case {
            name: "import a part and compute the rest",
            view: saved(StoreTier::Memory, 512),
            backlog_tokens: idle,
            runners: &["runner-1", "runner-2"],
            context: "import",
        },
        Case {
            name: "the shortest queue",
            view: FixedView::default(),
            backlog_tokens: [9_000, 4_000, 9_000, 9_000],
            runners: &["runner-2"],
            context: "recompute",
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut router = router(DEFAULT_RULES, now);
        for (index, tokens) in case.backlog_tokens.into_iter().enumerate() {
            let runner = format!("runner-{}", index + 1);
            router.observe_load(&runner, load(tokens, Duration::ZERO), now);
        }
        let route = router.choose(&request(), &case.view, now).unwrap();
        let context = match &route.context {
            ContextPlan::Cached { .. } => "cached",
            ContextPlan::Import(_) => "import",
            ContextPlan::Recompute => "recompute",
        };
        assert!(case.runners.contains(&route.runner.as_str()), "{}: {route:?}", case.name);
        assert_eq!(context, case.context, "{}", case.name);
    }
}

#[test]
fn excludes_leaving_loading_and_ejected_runners() {
    type Exclude = fn(&mut Router);
    let cases: [(&str, Exclude); 4] = [
        ("leaving as observed", |router| router.observe_leaving("runner-1")),
        ("leaving by its load report", |router| {
            let report = LoadReport { leaving: true, ..load(0, Duration::ZERO) };
            router.observe_load("runner-1", report, Instant::now());
        }),
        ("loading", |router| {
            router.observe_status("runner-1", &RunnerStatus { loading: Some(2), ..status() });
        }),
        ("ejected", |router| router.set_ejected(&["runner-1".to_string()])),
    ];
    for (name, exclude) in cases {
        let now = Instant::now();
        let mut router = router(DEFAULT_RULES, now);
        exclude(&mut router);
        let view = FixedView { holders: vec![holder("runner-1", 1_024)], saved: vec![] };
        let chosen: Vec<String> =
            (0..8).map(|_| router.choose(&request(), &view, now).unwrap().runner).collect();
        assert!(!chosen.contains(&"runner-1".to_string()), "{name}");
    }
}

#[test]
fn returns_an_error_if_no_runner_is_left() {
    let now = Instant::now();
    let mut router = router(DEFAULT_RULES, now);
    let all_runners = (1..=4).map(|number| format!("runner-{number}")).collect();
    let avoided = RouteRequest { avoid: all_runners, ..request() };
    let view = FixedView::default();
    assert_eq!(router.choose(&avoided, &view, now), Err(NoRoute::NoRunner));
}

#[test]
fn adds_requests_sent_since_a_delayed_load_report() {
    let start = Instant::now();
    let mut router = router(DEFAULT_RULES, start);
    let view = FixedView::default();
    let first = router.choose(&request(), &view, start).unwrap();
    let now = start + Duration::from_millis(100);
    router.observe_load(&first.runner, load(0, Duration::from_millis(200)), now);
    let prefix_keys = BTreeMap::from([(1, vec![21, 22, 23, 24])]);
    let other_prompt = RouteRequest { prefix_keys, ..request() };
    let second = router.choose(&other_prompt, &view, now).unwrap();
    assert_ne!(first.runner, second.runner);
}

#[test]
fn imports_a_prefix_to_a_runner_only_once() {
    let now = Instant::now();
    let mut router = router(DEFAULT_RULES, now);
    for runner in ["runner-2", "runner-3", "runner-4"] {
        router.observe_leaving(runner);
    }
    let view = FixedView { holders: vec![], saved: vec![copy(StoreTier::Memory, 1_024)] };
    let rules = RoutingRules { expects_pending: false, ..DEFAULT_RULES };
    router.rules = rules;
    let plan = |route: Route| match route.context {
        ContextPlan::Import(plan) => plan,
        other => panic!("no import: {other:?}"),
    };
    let first = plan(router.choose(&request(), &view, now).unwrap());
    let second = plan(router.choose(&request(), &view, now).unwrap());
    assert_eq!((first.joined, second.joined), (false, true));
    assert_eq!(router.imports_in_progress(), (1, 2));
    router.observe_import_end("runner-1", &first, Some(Duration::from_millis(2)));
    assert_eq!(router.imports_in_progress(), (0, 0));
}

#[test]
fn does_not_use_an_unreachable_store_before_its_next_status() {
    let now = Instant::now();
    let mut router = router(DEFAULT_RULES, now);
    let view = FixedView { holders: vec![], saved: vec![copy(StoreTier::Memory, 1_024)] };
    router.observe_store_failure("tala-cache");
    let route = router.choose(&request(), &view, now).unwrap();
    assert_eq!(route.context, ContextPlan::Recompute);
    let status = StoreStatus { link_bytes_per_second: 1e9, ..StoreStatus::default() };
    router.observe_store("tala-cache", &status, now);
    let route = router.choose(&request(), &view, now).unwrap();
    assert!(matches!(route.context, ContextPlan::Import(_)), "{route:?}");
}

#[test]
fn reports_a_mismatch_of_expected_and_cached_tokens() {
    let now = Instant::now();
    let mut router = router(DEFAULT_RULES, now);
    let view = FixedView { holders: vec![holder("runner-3", 1_024)], saved: vec![] };
    let route = router.choose(&request(), &view, now).unwrap();
    assert_eq!(router.observe_started(&route, PROMPT_TOKENS, 1_024, now), None);
    let correction = router.observe_started(&route, PROMPT_TOKENS, 0, now);
    let expected = CacheMismatch { runner: route.runner, expected_tokens: 1_024, held_tokens: 0 };
    assert_eq!(correction, Some(expected));
}

#[test]
fn only_a_new_incarnation_of_a_runner_is_no_longer_leaving() {
    struct Case {
        name: &'static str,
        incarnations: &'static [u64],
        leaving: bool,
    }
    let cases = [
        Case { name: "no status since", incarnations: &[], leaving: true },
        Case { name: "an older incarnation", incarnations: &[1], leaving: true },
        Case { name: "the same incarnation", incarnations: &[2], leaving: true },
        Case { name: "a new incarnation", incarnations: &[3], leaving: false },
        Case { name: "a new incarnation, then an old one", incarnations: &[3, 2], leaving: false },
    ];
    for Case { name, incarnations, leaving } in cases {
        let mut router = router(DEFAULT_RULES, Instant::now());
        router.observe_status("runner-1", &RunnerStatus { incarnation: 2, ..status() });
        router.observe_leaving("runner-1");
        for incarnation in incarnations {
            let status = RunnerStatus { incarnation: *incarnation, ..status() };
            router.observe_status("runner-1", &status);
        }
        assert_eq!(router.candidates()["runner-1"].leaving, leaving, "{name}");
    }
}
