//! The router: its state and how it chooses a runner.

use super::{
    candidate::{Candidate, StoreCandidate},
    cost::CostWeights,
    imports::Imports,
    options::{Choice, DecisionInputs},
    pending::PendingPrompts,
    rules::{DEFAULT_RULES, RoutingRules},
    types::{ContextPlan, NoRoute, Route, RouteRequest},
    view::PrefixView,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use skylarkpick_config::{Configuration, Serving};
use skylarkpick_interface::{DataCentreId, ModelName, RunnerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Chooses runners by expected cache contents, saved copies, load and distance.
///
/// Free of I/O: the caller passes in the time and all observations.
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
    /// Opens a router for an entry process of `data_centre`. Routers with equal seeds and inputs
    /// make equal choices.
    ///
    /// ```
    /// let router = skylarkpick_schedule::Router::open("mnl-1", 7);
    /// assert!(router.candidates().is_empty());
    /// ```
    pub fn open(data_centre: &str, seed: u64) -> Router {
        Router::open_with(data_centre, seed, DEFAULT_RULES)
    }

    /// Opens a router with other rules than the default ones.
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

    /// Replaces the targets by those of a configuration. Targets that stay keep their state.
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
        // Indices into the table have changed, so state that is stored by index is invalid.
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
        for (index, runner) in self.runners.iter().enumerate() {
            self.by_model.entry(runner.model.clone()).or_default().push(index);
        }
        let serving = |name: &str| configuration.serving.get(name).cloned().unwrap_or_default();
        let cost_weights = |serving: Serving| CostWeights::from(&serving);
        self.weights = configuration
            .models
            .iter()
            .map(|(name, model)| (name.clone(), cost_weights(serving(&model.serving))))
            .collect();
    }

    /// Returns the tracked state of all runners, by name.
    pub fn candidates(&self) -> BTreeMap<RunnerId, Candidate> {
        self.runners.iter().map(|runner| (runner.name.clone(), runner.clone())).collect()
    }

    /// Returns the tracked state of all stores, ordered by name.
    pub fn stores(&self) -> &[StoreCandidate] {
        &self.stores
    }

    /// Returns the number of imports in progress and of requests that wait for them.
    pub fn imports_in_progress(&self) -> (usize, u32) {
        (self.imports.len(), self.imports.waiters())
    }

    /// Chooses a runner and how it gets the context, and adds the request to the runner's load.
    ///
    /// # Errors
    /// Returns an error if no runner accepts the request.
    pub fn choose(
        &mut self,
        request: &RouteRequest,
        view: &dyn PrefixView,
        now: Instant,
    ) -> Result<Route, NoRoute> {
        let weights = self.weights.get(&request.model).copied();
        let inputs = DecisionInputs {
            request,
            copies: self.find_copies(request, view),
            weights: weights.unwrap_or_else(|| CostWeights::from(&Serving::default())),
            now,
        };
        let usable = self.usable(&inputs);
        let sampled = self.sample(usable, &inputs);
        let choice = self.cheapest(&sampled, &inputs).ok_or(NoRoute::NoRunner)?;
        self.commit(&choice, &inputs).ok_or(NoRoute::NoRunner)
    }

    /// Returns the runners that accept the request: the healthy ones, or all if none is healthy.
    fn usable(&self, inputs: &DecisionInputs) -> Vec<usize> {
        let indices = self.by_model.get(&inputs.request.model).map_or(&[][..], Vec::as_slice);
        let accepts = |index: &&usize| self.accepts_request(&self.runners[**index], inputs);
        let mut usable: Vec<usize> = indices.iter().filter(accepts).copied().collect();
        let is_healthy = |index: &usize| self.is_healthy(&self.runners[*index], inputs.now);
        if usable.iter().any(is_healthy) {
            usable.retain(is_healthy);
        }
        usable
    }

    fn accepts_request(&self, runner: &Candidate, inputs: &DecisionInputs) -> bool {
        let serves = |version| inputs.copies.contains_key(&version);
        !runner.leaving
            && !runner.loading
            && runner.weight_version.is_some_and(serves)
            && !inputs.request.avoid.contains(&runner.name)
    }

    fn is_healthy(&self, runner: &Candidate, now: Instant) -> bool {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) <= self.rules.report_timeout;
        let has_failed = runner.failed_at.is_some_and(|failed_at| {
            runner.reported_at.is_none_or(|reported_at| reported_at <= failed_at)
        });
        !runner.ejected && !has_failed && runner.reported_at.is_none_or(is_recent)
    }

    /// Returns the runners to evaluate: all if they are few, else the holders and a random sample.
    fn sample(&mut self, usable: Vec<usize>, inputs: &DecisionInputs) -> Vec<usize> {
        if usable.len() <= self.rules.scan_limit {
            return usable;
        }
        let is_holder =
            |index: &usize| inputs.copies.values().any(|known| known.held.contains_key(index));
        let mut sampled: Vec<usize> = usable.iter().copied().filter(is_holder).collect();
        for _ in 0..self.rules.sample_size {
            sampled.push(usable[self.random.random_range(0..usable.len())]);
        }
        sampled
    }

    /// Returns the cheapest choice. The search starts at a random position, which breaks ties.
    fn cheapest(&mut self, sampled: &[usize], inputs: &DecisionInputs) -> Option<Choice> {
        if sampled.is_empty() {
            return None;
        }
        let start = self.random.random_range(0..sampled.len());
        let (before, after) = sampled.split_at(start);
        let mut best: Option<Choice> = None;
        for index in after.iter().chain(before) {
            let Some(choice) = self.cheapest_option(*index, inputs) else { continue };
            if best.as_ref().is_none_or(|best| choice.cost < best.cost) {
                best = Some(choice);
            }
        }
        best
    }

    /// Turns a choice into a route, and adds the request to the load of runner and store.
    fn commit(&mut self, choice: &Choice, inputs: &DecisionInputs) -> Option<Route> {
        let now = inputs.now;
        let request = inputs.request;
        let context = choice.plan();
        let runner = self.runners.get_mut(choice.runner)?;
        let weight_version = runner.weight_version?;
        let compute_tokens = request.prompt_tokens.saturating_sub(choice.option.reused_tokens);
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
                && let Some(index) = self.store_index(&plan.store)
            {
                self.stores[index].note_transfer(plan.size_bytes, plan.tier, now);
            }
            let ends_at = now + Duration::from_secs_f64(choice.option.transfer_seconds);
            self.imports.add_waiter(choice.runner, plan.prefix_key, plan.tokens, ends_at);
        }
        Some(route)
    }

    pub(super) fn runner_index(&self, name: &str) -> Option<usize> {
        self.runners.binary_search_by(|runner| runner.name.as_str().cmp(name)).ok()
    }

    pub(super) fn store_index(&self, name: &str) -> Option<usize> {
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
