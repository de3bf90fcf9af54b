//! Chooses a runner for a request.

use skylarkpick_cache::{BLOCK_TOKENS, Directory};
use skylarkpick_config::Configuration;
use skylarkpick_interface::{
    DataCentreId, LoadReport, ModelName, PrefixKey, RunnerId, RunnerStatus, WeightVersion,
};
use std::collections::BTreeMap;

/// What a request needs from a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Model to run.
    pub model: ModelName,
    /// Keys of the prompt's full blocks, first block first, under each usable weight version.
    pub prefix_keys: BTreeMap<WeightVersion, Vec<PrefixKey>>,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Runners that failed this request already.
    pub avoid: Vec<RunnerId>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Runner chosen.
    pub runner: RunnerId,
    /// Address of the runner.
    pub address: String,
    /// Weights that the runner is expected to use.
    pub weight_version: WeightVersion,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoRoute {
    /// No runner of the model is reachable and willing.
    #[error("no runner serves the model")]
    NoRunner,
}

/// A runner with what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Address of the runner.
    pub address: String,
    /// Model that it serves.
    pub model: ModelName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Weights that it serves, once known.
    pub weight_version: Option<WeightVersion>,
    /// Whether it loads other weights now.
    pub loading: bool,
    /// Whether it leaves, by anybody's word.
    pub leaving: bool,
    /// Its last load report.
    pub load: LoadReport,
    /// Prompt tokens sent to it and not yet computed.
    pub sent_prompt_tokens: u64,
    /// Runs sent to it and not yet ended.
    pub in_flight: u32,
}

impl Candidate {
    fn can_take(&self, request: &RouteRequest) -> bool {
        let serves = |version| request.prefix_keys.contains_key(&version);
        self.model == request.model
            && !self.leaving
            && !self.loading
            && self.weight_version.is_some_and(serves)
    }
}

/// Chooses runners by believed cache content and load.
#[derive(Debug, Default)]
pub struct Router {
    candidates: BTreeMap<RunnerId, Candidate>,
    directory: Directory,
    data_centre: DataCentreId,
}

impl Router {
    /// Opens a router for an entry process of `data_centre`.
    pub fn open(data_centre: &str) -> Router {
        Router { data_centre: data_centre.to_string(), ..Router::default() }
    }

    /// Takes over the targets of a configuration, keeping what is known of those that stay.
    pub fn set_configuration(&mut self, configuration: &Configuration) {
        let mut candidates = BTreeMap::new();
        for (centre, targets) in &configuration.data_centres {
            for (name, target) in &targets.runners {
                let known = self.candidates.remove(name);
                let candidate = known.filter(|known| known.address == target.address);
                let mut candidate = candidate.unwrap_or_else(|| new_candidate(centre));
                candidate.address = target.address.clone();
                candidate.model = target.model.clone();
                candidates.insert(name.clone(), candidate);
            }
        }
        self.candidates = candidates;
    }

    /// Runners with what is known of them.
    pub fn candidates(&self) -> &BTreeMap<RunnerId, Candidate> {
        &self.candidates
    }

    /// Takes in a load report.
    pub fn observe_load(&mut self, runner: &str, load: LoadReport) {
        if let Some(candidate) = self.candidates.get_mut(runner) {
            candidate.leaving |= load.leaving;
            candidate.load = load;
        }
    }

    /// Takes in what a runner says that it serves.
    pub fn observe_status(&mut self, runner: &str, status: &RunnerStatus) {
        if let Some(candidate) = self.candidates.get_mut(runner) {
            candidate.leaving |= status.leaving;
            candidate.loading = status.loading.is_some();
            candidate.weight_version = Some(status.weight_version);
        }
    }

    /// Notes that a runner leaves.
    pub fn observe_leaving(&mut self, runner: &str) {
        if let Some(candidate) = self.candidates.get_mut(runner) {
            candidate.leaving = true;
        }
    }

    /// Chooses a runner and counts the request against it.
    ///
    /// # Errors
    /// When no runner may take the request.
    pub fn choose(&mut self, request: &RouteRequest) -> Result<Route, NoRoute> {
        let usable = self.candidates.iter().filter(|(name, candidate)| {
            candidate.can_take(request) && !request.avoid.contains(name)
        });
        let best = usable.min_by(|left, right| {
            self.cost(left.0, left.1, request).total_cmp(&self.cost(right.0, right.1, request))
        });
        let name = best.map(|(name, _)| name.clone()).ok_or(NoRoute::NoRunner)?;
        let candidate = self.candidates.get_mut(&name).ok_or(NoRoute::NoRunner)?;
        candidate.in_flight += 1;
        candidate.sent_prompt_tokens += request.prompt_tokens;
        let weight_version = candidate.weight_version.ok_or(NoRoute::NoRunner)?;
        Ok(Route { runner: name, address: candidate.address.clone(), weight_version })
    }

    /// Notes that a run has its first token.
    pub fn observe_first_token(
        &mut self,
        runner: &str,
        weight_version: WeightVersion,
        request: &RouteRequest,
    ) {
        if let Some(keys) = request.prefix_keys.get(&weight_version) {
            self.directory.add(runner, keys);
        }
        if let Some(candidate) = self.candidates.get_mut(runner) {
            candidate.sent_prompt_tokens =
                candidate.sent_prompt_tokens.saturating_sub(request.prompt_tokens);
        }
    }

    /// Notes that a run has ended, before its first token or after.
    pub fn observe_end(&mut self, runner: &str, request: &RouteRequest, had_first_token: bool) {
        if let Some(candidate) = self.candidates.get_mut(runner) {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
            if !had_first_token {
                candidate.sent_prompt_tokens =
                    candidate.sent_prompt_tokens.saturating_sub(request.prompt_tokens);
            }
        }
    }

    /// Seconds to the first token, as far as they can be told.
    fn cost(&self, name: &str, candidate: &Candidate, request: &RouteRequest) -> f64 {
        let keys = candidate.weight_version.and_then(|version| request.prefix_keys.get(&version));
        let held = keys.map_or(0, |keys| self.directory.held(name, keys)) as u64 * BLOCK_TOKENS;
        let rest = request.prompt_tokens.saturating_sub(held);
        let waiting = candidate.load.queued_prompt_tokens.max(candidate.sent_prompt_tokens);
        let rate = candidate.load.prefill_tokens_per_second.max(1.0);
        let crowd = f64::from(candidate.in_flight) / f64::from(candidate.load.slots.max(1));
        let away = if candidate.data_centre == self.data_centre { 0.0 } else { 0.005 };
        (waiting + rest) as f64 / rate + 0.05 * crowd + away
    }
}

fn new_candidate(data_centre: &str) -> Candidate {
    Candidate {
        address: String::new(),
        model: String::new(),
        data_centre: data_centre.to_string(),
        weight_version: None,
        loading: false,
        leaving: false,
        load: LoadReport {
            slots: 16,
            prefill_tokens_per_second: 10_000.0,
            ..LoadReport::default()
        },
        sent_prompt_tokens: 0,
        in_flight: 0,
    }
}
