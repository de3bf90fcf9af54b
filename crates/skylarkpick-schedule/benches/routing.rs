//! Benchmarks of a routing decision by the number of runners.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use skylarkpick_config::{Configuration, DataCentre, Model, RunnerTarget, Serving, StoreTarget};
use skylarkpick_interface::{LoadReport, PrefixKey, RunnerStatus, StoreTier};
use skylarkpick_schedule::{
    DEFAULT_RULES, Holder, PrefixView, RouteRequest, Router, RoutingRules, SavedCopy,
};
use std::{collections::BTreeMap, hint::black_box, time::Instant};

const MODEL: &str = "model";
/// Blocks of the prompt, which has 32,768 tokens.
const BLOCKS: u64 = 128;

struct FixedView;

impl PrefixView for FixedView {
    fn holders(&self, _: &[PrefixKey]) -> Vec<Holder> {
        let holder = |number| Holder { runner: name(number), tokens: 32_768 };
        [1, 4].map(holder).to_vec()
    }

    fn saved_copies(&self, _: &[PrefixKey]) -> Vec<SavedCopy> {
        let copy = |tier| SavedCopy {
            store: "store".to_string(),
            tier,
            tokens: 32_768,
            prefix_key: PrefixKey::from(BLOCKS),
            generation: 1,
            size_bytes: 4 << 30,
        };
        vec![copy(StoreTier::Memory), copy(StoreTier::Disk)]
    }
}

fn name(number: usize) -> String {
    format!("runner-{number:03}")
}

fn router(runners: usize, rules: RoutingRules) -> Router {
    let mut configuration = Configuration::default();
    let model = Model {
        weight_version: 1,
        also_served_weight_versions: Vec::new(),
        adapters: Vec::new(),
        serving: "usual".to_string(),
        context_bytes_per_token: 131_072,
    };
    configuration.models.insert(MODEL.to_string(), model);
    configuration.serving.insert("usual".to_string(), Serving::default());
    let address = "127.0.0.1:1".to_string();
    let mut data_centre = DataCentre::default();
    for number in 0..runners {
        let model = MODEL.to_string();
        let target = RunnerTarget { address: address.clone(), model, checks_fencing: true };
        data_centre.runners.insert(name(number), target);
    }
    let store = StoreTarget { address, link_bytes_per_second: 12.5e9 };
    data_centre.stores.insert("store".to_string(), store);
    configuration.data_centres.insert("dc".to_string(), data_centre);
    let mut router = Router::open_with("dc", 7, rules);
    router.set_configuration(&configuration);
    report(&mut router, runners);
    router
}

fn report(router: &mut Router, runners: usize) {
    let status = RunnerStatus {
        model: MODEL.to_string(),
        weight_version: 1,
        loading: None,
        leaving: false,
        incarnation: 1,
    };
    for number in 0..runners {
        let load = LoadReport {
            queued_prompt_tokens: 1_000 * (number as u64 % 7),
            slots: 16,
            prefill_tokens_per_second: 20_000.0,
            ..LoadReport::default()
        };
        router.observe_status(&name(number), &status);
        router.observe_load(&name(number), load, Instant::now());
    }
}

fn bench_routing(criterion: &mut Criterion) {
    let keys: Vec<PrefixKey> = (1..=BLOCKS).map(PrefixKey::from).collect();
    let request = RouteRequest {
        model: MODEL.to_string(),
        prefix_keys: BTreeMap::from([(1, keys)]),
        prompt_tokens: 33_000,
        avoid: Vec::new(),
    };
    let mut group = criterion.benchmark_group("routing decision");
    for (scan, rules) in [
        ("sample", DEFAULT_RULES),
        ("full scan", RoutingRules { scan_limit: usize::MAX, ..DEFAULT_RULES }),
    ] {
        for runners in [9, 18, 174, 870] {
            let mut router = router(runners, rules);
            let id = BenchmarkId::new(scan, runners);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    let now = Instant::now();
                    if let Ok(route) = router.choose(black_box(&request), &FixedView, now) {
                        router.observe_started(&route, request.prompt_tokens, 32_768, now);
                        router.observe_first_token(&route, &request, now);
                        router.observe_end(&route, &request, true, now);
                    }
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_routing);
criterion_main!(benches);
