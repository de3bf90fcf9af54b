//! Time of a routing decision by the number of candidate runners, and memory per candidate.

use super::{configuration::planned_configuration, timing::mean_seconds};
use crate::{memory::mean_bytes, plan::PLANNED_SIZE, slope::Slopes};
use skylarkpick_interface::{LoadReport, PrefixKey, RunnerStatus};
use skylarkpick_schedule::{Holder, PrefixView, RouteRequest, Router, SavedCopy};
use std::{collections::BTreeMap, time::Instant};

/// Blocks of a prompt of 8,192 tokens.
const PROMPT_BLOCKS: u128 = 32;

/// A prefix view in which the same two runners hold every prompt.
struct TwoHolders(Vec<Holder>);

impl PrefixView for TwoHolders {
    fn holders(&self, _: &[PrefixKey]) -> Vec<Holder> {
        self.0.clone()
    }

    fn saved_copies(&self, _: &[PrefixKey]) -> Vec<SavedCopy> {
        Vec::new()
    }
}

pub(super) fn measure(slopes: &mut Slopes) {
    let bytes =
        mean_bytes(20, |_| open_router(PLANNED_SIZE.runners as usize)) / PLANNED_SIZE.runners;
    slopes.record("candidate memory", bytes, "bytes", "20 routers of 870 runners");
    for candidates in [12, 58, 174, 870] {
        let time = decision_seconds(candidates);
        let name = format!("routing time, {candidates} runners");
        slopes.record(
            &name,
            time,
            "s",
            "choose, note start, first token and end; all runners of one model",
        );
    }
    let (few, many) = (12.0, 174.0);
    let rise = slopes.value("routing time, 174 runners") - slopes.value("routing time, 12 runners");
    let each = (rise / (many - few)).max(0.0);
    slopes.record("routing time a runner", each, "s", "slope from 12 to 174 runners");
}

/// Returns the mean time of a decision among `candidates` runners of one model.
fn decision_seconds(candidates: usize) -> f64 {
    let mut router = open_router(candidates);
    let names: Vec<String> = router.candidates().into_keys().collect();
    let holder = |name: &String| Holder { runner: name.clone(), tokens: 4_096 };
    let view = TwoHolders(names.iter().take(2).map(holder).collect());
    let request = RouteRequest {
        model: "model".to_string(),
        prefix_keys: BTreeMap::from([(1, (0..PROMPT_BLOCKS).collect())]),
        prompt_tokens: 8_192,
        avoid: Vec::new(),
    };
    mean_seconds(|| {
        let now = Instant::now();
        if let Ok(route) = router.choose(&request, &view, now) {
            router.observe_started(&route, request.prompt_tokens, 4_096, now);
            router.observe_first_token(&route, &request, now);
            router.observe_end(&route, &request, true, now);
        }
    })
}

fn open_router(runners: usize) -> Router {
    let mut configuration = planned_configuration();
    let mut remaining = runners;
    for targets in configuration.data_centres.values_mut() {
        targets.runners.retain(|_, runner| {
            runner.model = "model".to_string();
            remaining = remaining.saturating_sub(1);
            remaining > 0
        });
    }
    let mut router = Router::open("dc-0", 1);
    router.set_configuration(&configuration);
    let status = RunnerStatus {
        model: "model".to_string(),
        weight_version: 1,
        loading: None,
        leaving: false,
        incarnation: 1,
    };
    let load =
        LoadReport { slots: 16, prefill_tokens_per_second: 20_000.0, ..LoadReport::default() };
    for name in router.candidates().into_keys() {
        router.observe_status(&name, &status);
        router.observe_load(&name, load.clone(), Instant::now());
    }
    router
}
