//! The router: its state and its decision.

use super::{
    candidate::{Candidate, StoreCandidate},
    cost::CostWeights,
    imports::Imports,
    pending::PendingPrompts,
    rules::{DEFAULT_RULES, RoutingRules},
    types::{ContextPlan, NoRoute, Route, RouteRequest},
    view::PrefixView,
    ways::{Choice, Question},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use skylarkpick_config::{Configuration, Serving};
use skylarkpick_interface::{DataCentreId, ModelName, RunnerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Chooses runners by believed cache content, saved copies, load and distance.
///
/// Pure: it is told the time and what was seen, and has no socket, clock or task.
#[derive(Debug)]
pub struct Router {
    pub(super) rules: RoutingRules,
    /// Runners in the order of their names.
    pub(super) runners: Vec<Candidate>,
    /// Stores in the order of their names.
    pub(super) stores: Vec<StoreCandidate>,
    pub(super) imports: Imports,
    pub(super) pending: PendingPrompts,
    pub(super) data_centre: DataCentreId,
    by_model: BTreeMap<ModelName, Vec<usize>>,
    weights: BTreeMap<ModelName, CostWeights>,
    regions: BTreeMap<DataCentreId, String>,
    random: SmallRng,
}

impl Router {
    /// Opens a router for an entry process of `data_centre`. Equal seeds choose alike.
    ///
    /// ```
    /// let router = skylarkpick_schedule::Router::open("mnl-1", 7);
    /// assert!(router.candidates().is_empty());
    /// ```
    pub fn open(data_centre: &str, seed: u64) -> Router {
        Router::open_with(data_centre, seed, DEFAULT_RULES)
    }

    /// Opens a router that follows other rules.
    pub fn open_with(data_centre: &str, seed: u64, rules: RoutingRules) -> Router {
        Router {
            rules,
            runners: Vec::new(),
            stores: Vec::new(),
            imports: Imports::default(),
            pending: PendingPrompts::default(),
            data_centre: data_centre.to_string(),
            by_model: BTreeMap::new(),
            weights: BTreeMap::new(),
            regions: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the targets of a configuration, keeping what is known of those that stay.
    pub fn set_configuration(&mut self, configuration: &Configuration) {
        let known = std::mem::take(&mut self.runners);
        let mut known: BTreeMap<RunnerId, Candidate> =
            known.into_iter().map(|runner| (runner.name.clone(), runner)).collect();
        let mut runners = BTreeMap::new();
        for (centre, targets) in &configuration.data_centres {
            self.regions.insert(centre.clone(), targets.region.clone());
            for (name, target) in &targets.runners {
                let same = known.remove(name).filter(|known| known.address == target.address);
                let mut runner = same.unwrap_or_else(|| Candidate::open(name, centre));
                runner.address = target.address.clone();
                runner.model = target.model.clone();
                runners.insert(name.clone(), runner);
            }
        }
        self.runners = runners.into_values().collect();
        self.set_stores(configuration);
        self.set_models(configuration);
        // Places in the table have changed, so that notes under them are void.
        self.imports.clear();
        self.pending.clear();
    }

    fn set_stores(&mut self, configuration: &Configuration) {
        let known = std::mem::take(&mut self.stores);
        let mut known: BTreeMap<_, _> =
            known.into_iter().map(|store| (store.name.clone(), store)).collect();
        let mut stores = BTreeMap::new();
        for (centre, targets) in &configuration.data_centres {
            for (name, target) in &targets.stores {
                let same = known.remove(name).filter(|known| {
                    known.address == target.address
                        && known.link_bytes_per_second == target.link_bytes_per_second
                });
                let rate = target.link_bytes_per_second;
                let mut store = same.unwrap_or_else(|| StoreCandidate::open(name, centre, rate));
                store.address = target.address.clone();
                stores.insert(name.clone(), store);
            }
        }
        self.stores = stores.into_values().collect();
    }

    fn set_models(&mut self, configuration: &Configuration) {
        self.by_model.clear();
        for (place, runner) in self.runners.iter().enumerate() {
            self.by_model.entry(runner.model.clone()).or_default().push(place);
        }
        let serving = |name: &str| configuration.serving.get(name).cloned().unwrap_or_default();
        let weigh = |serving: Serving| CostWeights::from(&serving);
        self.weights = configuration
            .models
            .iter()
            .map(|(name, model)| (name.clone(), weigh(serving(&model.serving))))
            .collect();
    }

    /// Runners with what is known of them.
    pub fn candidates(&self) -> BTreeMap<RunnerId, Candidate> {
        self.runners.iter().map(|runner| (runner.name.clone(), runner.clone())).collect()
    }

    /// Stores with what is known of them, in the order of their names.
    pub fn stores(&self) -> &[StoreCandidate] {
        &self.stores
    }

    /// Imports under way and the requests that wait for them.
    pub fn imports_under_way(&self) -> (usize, u32) {
        (self.imports.len(), self.imports.waiters())
    }

    /// Chooses a runner and a way to get the context there, and counts the request against it.
    ///
    /// # Errors
    /// When no runner may take the request.
    pub fn choose(
        &mut self,
        request: &RouteRequest,
        view: &dyn PrefixView,
        now: Instant,
    ) -> Result<Route, NoRoute> {
        let weights = self.weights.get(&request.model).copied();
        let question = Question {
            request,
            known: self.know_prompt(request, view),
            weights: weights.unwrap_or_else(|| CostWeights::from(&Serving::default())),
            now,
        };
        let usable = self.usable(&question);
        let picked = self.pick(usable, &question);
        let choice = self.cheapest(&picked, &question).ok_or(NoRoute::NoRunner)?;
        self.commit(&choice, &question).ok_or(NoRoute::NoRunner)
    }

    /// Runners that may take the request: those in reach, or else any.
    fn usable(&self, question: &Question) -> Vec<usize> {
        let places = self.by_model.get(&question.request.model).map_or(&[][..], Vec::as_slice);
        let willing = |place: &&usize| self.is_willing(&self.runners[**place], question);
        let mut usable: Vec<usize> = places.iter().filter(willing).copied().collect();
        let in_reach = |place: &usize| self.is_in_reach(&self.runners[*place], question.now);
        if usable.iter().any(in_reach) {
            usable.retain(in_reach);
        }
        usable
    }

    fn is_willing(&self, runner: &Candidate, question: &Question) -> bool {
        let serves = |version| question.known.contains_key(&version);
        !runner.leaving
            && !runner.loading
            && runner.weight_version.is_some_and(serves)
            && !question.request.avoid.contains(&runner.name)
    }

    fn is_in_reach(&self, runner: &Candidate, now: Instant) -> bool {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) <= self.rules.report_timeout;
        let has_failed = runner.failed_at.is_some_and(|failed_at| {
            runner.reported_at.is_none_or(|reported_at| reported_at <= failed_at)
        });
        !runner.ejected && !has_failed && runner.reported_at.is_none_or(is_recent)
    }

    /// All of a few runners; of many, the holders and a random sample.
    fn pick(&mut self, usable: Vec<usize>, question: &Question) -> Vec<usize> {
        if usable.len() <= self.rules.scan_limit {
            return usable;
        }
        let is_holder =
            |place: &usize| question.known.values().any(|known| known.held.contains_key(place));
        let mut picked: Vec<usize> = usable.iter().copied().filter(is_holder).collect();
        for _ in 0..self.rules.sample_size {
            picked.push(usable[self.random.random_range(0..usable.len())]);
        }
        picked
    }

    /// The cheapest choice; among equals, one picked by a random place to start from.
    fn cheapest(&mut self, picked: &[usize], question: &Question) -> Option<Choice> {
        if picked.is_empty() {
            return None;
        }
        let start = self.random.random_range(0..picked.len());
        let (before, after) = picked.split_at(start);
        let mut best: Option<Choice> = None;
        for place in after.iter().chain(before) {
            let Some(choice) = self.best_way(*place, question) else { continue };
            if best.as_ref().is_none_or(|best| choice.cost < best.cost) {
                best = Some(choice);
            }
        }
        best
    }

    fn commit(&mut self, choice: &Choice, question: &Question) -> Option<Route> {
        let now = question.now;
        let request = question.request;
        let context = choice.plan();
        let runner = self.runners.get_mut(choice.runner)?;
        let weight_version = runner.weight_version?;
        let compute_tokens = request.prompt_tokens.saturating_sub(choice.way.spared_tokens);
        let rate = runner.prefill_rate();
        runner.in_flight += 1;
        runner.runs.add(1.0, 0.0, now);
        runner.backlog.add(compute_tokens as f64, rate, now);
        let route = Route {
            runner: runner.name.clone(),
            address: runner.address.clone(),
            weight_version,
            context,
            compute_tokens,
            chosen_at: now,
        };
        self.pending.add(choice.runner, request.keys(weight_version), now);
        if let ContextPlan::Import(plan) = &route.context {
            if !plan.joined
                && let Some(place) = self.store_place(&plan.store)
            {
                self.stores[place].note_asked(plan.size_bytes, plan.tier, now);
            }
            let ends_at = now + Duration::from_secs_f64(choice.way.transfer_seconds);
            self.imports.join(choice.runner, plan.prefix_key, plan.tokens, ends_at);
        }
        Some(route)
    }

    pub(super) fn runner_place(&self, name: &str) -> Option<usize> {
        self.runners.binary_search_by(|runner| runner.name.as_str().cmp(name)).ok()
    }

    pub(super) fn store_place(&self, name: &str) -> Option<usize> {
        self.stores.binary_search_by(|store| store.name.as_str().cmp(name)).ok()
    }

    pub(super) fn distance_seconds(&self, data_centre: &str) -> f64 {
        self.delay_between(&self.data_centre, data_centre).as_secs_f64()
    }

    pub(super) fn delay_between(&self, left: &str, right: &str) -> Duration {
        if left == right {
            Duration::ZERO
        } else if self.regions.get(left) == self.regions.get(right) {
            self.rules.same_region_delay
        } else {
            self.rules.other_region_delay
        }
    }
}
