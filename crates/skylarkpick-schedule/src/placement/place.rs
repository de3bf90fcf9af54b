//! Chooses the target of a request.

use super::{
    centres::CentreReach,
    cost::{self, Cost, EngineAsk, HashRanking, PartKeepers},
    parts::{CacheKind, PartDirectory, PartFingerprint},
    target::{TargetOutcome, TargetView},
    types::{Assignment, PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason},
    weights::DesiredWeightsView,
};
use skylarkpick_interface::{
    CacheScope, ContextMemory, PromptPart, RegisteredTarget, ReportedLoad, ServiceKind,
    ServiceName, TargetId, WeightVersion,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Parts shorter than a block are never kept whole.
const SAVED_TOKENS_FLOOR: u64 = 16;

/// All that is known of the targets, and who is asked next.
#[derive(Clone, Debug)]
pub struct Placement {
    targets: BTreeMap<TargetId, TargetView>,
    services: BTreeMap<ServiceName, ServiceKind>,
    centres: CentreReach,
    /// Which caches keep which parts.
    pub parts: PartDirectory,
    /// Weights that new runs may begin on.
    pub weights: DesiredWeightsView,
}

/// A candidate with its cost.
struct Candidate<'a> {
    target: &'a TargetView,
    cost: Cost,
    plan: cost::ContextPlan,
    weight_version: Option<WeightVersion>,
    scope: Option<CacheScope>,
}

/// What is looked up once for all candidates of a request.
struct Lookup<'a> {
    ranking: HashRanking,
    /// By weight version, which names the scope.
    keepers: BTreeMap<WeightVersion, PartKeepers<'a>>,
}

impl Placement {
    /// Opens a placement that knows no target. Weights that were replaced are used for
    /// `old_weights_usable_for`.
    ///
    /// ```
    /// use skylarkpick_schedule::{PlacementRequest, PlacementDecision, Placement, UnplacedReason};
    /// use std::time::Duration;
    /// let placement = Placement::open(Duration::from_secs(10));
    /// let ask = PlacementRequest {
    ///     service: "book-api".to_string(),
    ///     data_centre: "mnl-a".to_string(),
    ///     prompt: None,
    ///     avoid: Vec::new(),
    ///     max_wait: Duration::from_secs(1),
    /// };
    /// assert_eq!(placement.choose(&ask, Duration::ZERO), PlacementDecision::Unplaced(UnplacedReason::NoTarget));
    /// ```
    pub fn open(old_weights_usable_for: Duration) -> Placement {
        Placement {
            targets: BTreeMap::new(),
            services: BTreeMap::new(),
            centres: CentreReach::default(),
            parts: PartDirectory::default(),
            weights: DesiredWeightsView::open(old_weights_usable_for),
        }
    }

    /// Takes over the services of a serving document.
    pub fn set_services(&mut self, services: &BTreeMap<ServiceName, ServiceKind>) {
        self.services = services.clone();
        self.update_caches();
    }

    /// Takes in a target's registration. Gives whether it is a new life.
    pub fn set_target(&mut self, listed: RegisteredTarget) -> bool {
        let known = self.targets.get_mut(&listed.id);
        if let Some(state) = known
            && !state.is_other_life(&listed)
        {
            let is_same_cache = state.registration.service == listed.service
                && state.registration.data_centre == listed.data_centre;
            state.set_listed(listed);
            if !is_same_cache {
                self.update_caches();
            }
            return false;
        }
        let former = self.targets.insert(listed.id.clone(), TargetView::open(listed));
        if let Some(former) = former {
            self.parts.forget(&former.registration.address);
        }
        self.update_caches();
        true
    }

    /// Forgets a target that is gone.
    pub fn remove_target(&mut self, id: &str) {
        if let Some(state) = self.targets.remove(id) {
            self.parts.forget(&state.registration.address);
        }
        self.update_caches();
    }

    /// The targets.
    pub fn targets(&self) -> &BTreeMap<TargetId, TargetView> {
        &self.targets
    }

    /// Caches of engines' runners and of stores, for whoever follows their events.
    fn update_caches(&mut self) {
        let mut wanted: BTreeMap<SocketAddr, (CacheKind, String, ContextMemory)> = BTreeMap::new();
        for kind in self.services.values() {
            if let ServiceKind::Store { address, data_centre, memory, is_managed } = kind {
                let cache = if *is_managed { CacheKind::ManagedStore } else { CacheKind::Store };
                wanted.insert(*address, (cache, data_centre.clone(), *memory));
            }
        }
        for state in self.targets.values() {
            let listed = &state.registration;
            if let Some(ServiceKind::Engines(memory)) = self.services.get(&listed.service) {
                let cache = CacheKind::Runner(listed.id.clone());
                wanted.insert(listed.address, (cache, listed.data_centre.clone(), *memory));
            }
        }
        self.parts.retain(|address| wanted.contains_key(address));
        for (address, (kind, data_centre, memory)) in wanted {
            self.parts.set_cache(address, kind, &data_centre, memory);
        }
    }

    /// Chooses the target of a request, or says why there is none.
    pub fn choose(&self, ask: &PlacementRequest, now: Duration) -> PlacementDecision {
        let of_service = self.targets.values().filter(|it| it.registration.service == ask.service);
        let known: Vec<&TargetView> = of_service.collect();
        if known.is_empty() {
            return PlacementDecision::Unplaced(UnplacedReason::NoTarget);
        }
        let ranking = ask
            .prompt
            .as_ref()
            .map(|prompt| HashRanking::open(prompt, known.iter().copied()))
            .unwrap_or_default();
        let mut lookup = Lookup { ranking, keepers: BTreeMap::new() };
        let usable: Vec<&TargetView> = known
            .into_iter()
            .filter(|it| !it.registration.is_draining && !ask.avoid.contains(&it.registration.id))
            .collect();
        let is_cut_off = |it: &TargetView| {
            self.centres.is_cut_off(&it.registration.data_centre, &ask.data_centre, now)
        };
        let rested = usable.iter().copied().filter(|it| !it.is_resting(now) && !is_cut_off(it));
        let mut candidates: Vec<Candidate<'_>> =
            rested.filter_map(|it| self.candidate(it, ask, &mut lookup, now)).collect();
        if candidates.is_empty() {
            // Resting targets are better than none.
            candidates =
                usable.iter().filter_map(|it| self.candidate(it, ask, &mut lookup, now)).collect();
        }
        let best = candidates
            .into_iter()
            .min_by(|left, right| left.cost.total_ms.total_cmp(&right.cost.total_ms));
        let Some(best) = best else {
            return PlacementDecision::Unplaced(UnplacedReason::NoneUsable);
        };
        let expected_wait = Duration::from_secs_f64(best.cost.wait_ms / 1_000.0);
        if expected_wait > ask.max_wait {
            return PlacementDecision::Unplaced(UnplacedReason::Full { wait: expected_wait });
        }
        PlacementDecision::Assigned(Box::new(self.place(best, ask, expected_wait, now)))
    }

    fn candidate<'a>(
        &'a self,
        target: &'a TargetView,
        ask: &PlacementRequest,
        lookup: &mut Lookup<'a>,
        now: Duration,
    ) -> Option<Candidate<'a>> {
        let (Some(prompt), Some(ServiceKind::Engines(memory))) =
            (&ask.prompt, self.services.get(&ask.service))
        else {
            return Some(Candidate {
                target,
                cost: cost::plain_cost(target, ask, now),
                plan: cost::ContextPlan::default(),
                weight_version: None,
                scope: None,
            });
        };
        let version = target.weight_version(&prompt.model)?;
        if !self.weights.is_usable(&prompt.model, version, now) {
            return None;
        }
        let has_newer = self.weights.age_of_newer(&prompt.model, version, now).is_some();
        let scope = cache_scope(prompt, version);
        let is_reachable = |centre: &str| !self.centres.is_cut_off(centre, &ask.data_centre, now);
        let keepers = lookup
            .keepers
            .entry(version)
            .or_insert_with(|| PartKeepers::open(&self.parts, prompt, &scope, &is_reachable, now));
        let followed = self.parts.cache(&target.registration.address);
        let is_followed = followed.is_some_and(|cache| cache.is_followed());
        let plan = cost::plan_context(keepers, target, is_followed, prompt, memory);
        let ranking = &lookup.ranking;
        let asked = EngineAsk { ask, prompt, ranking, memory, now };
        let cost = cost::engine_cost(target, &asked, &plan, has_newer);
        Some(Candidate { target, cost, plan, weight_version: Some(version), scope: Some(scope) })
    }

    fn place(
        &self,
        candidate: Candidate<'_>,
        ask: &PlacementRequest,
        expected_wait: Duration,
        now: Duration,
    ) -> Assignment {
        let listed = &candidate.target.registration;
        let mut place = Assignment {
            target: listed.id.clone(),
            address: listed.address,
            weight_version: candidate.weight_version,
            cache_scope: candidate.scope,
            fetch: candidate.plan.fetch,
            save: Vec::new(),
            held_tokens: candidate.plan.held_tokens,
            missing_tokens: candidate.plan.missing_tokens,
            read_tokens: candidate.plan.read_tokens,
            memory_tokens: ask.prompt.as_ref().map_or(0, cost::own_tokens),
            expected_wait,
            load_age: candidate.target.load_age(now),
        };
        if let (Some(prompt), Some(scope)) = (&ask.prompt, &place.cache_scope) {
            let newest = self.weights.newest(&prompt.model);
            // What was made on replaced weights is never asked for again.
            if place.weight_version >= newest {
                place.save = self.saves(prompt, scope, now);
            }
        }
        place
    }

    fn saves(
        &self,
        prompt: &PlacementPrompt,
        scope: &str,
        now: Duration,
    ) -> Vec<Option<SocketAddr>> {
        let shared = cost::shared_parts(prompt);
        let mut saves: Vec<Option<SocketAddr>> = shared
            .iter()
            .map(|part| {
                let fingerprint = PartFingerprint::of(scope, &part.id);
                (part.tokens >= SAVED_TOKENS_FLOOR)
                    .then(|| self.parts.store_for(fingerprint, part.tokens, now))
                    .flatten()
            })
            .collect();
        saves.resize(prompt.parts.len(), None);
        saves
    }

    /// Counts a request as under way at its place.
    pub fn begin(&mut self, place: &Assignment, prompt: Option<&PlacementPrompt>, now: Duration) {
        if let Some(state) = self.targets.get_mut(&place.target) {
            state.own_requests += 1;
            state.own_tokens += place.memory_tokens;
            state.own_prefill_tokens += place.read_tokens;
        }
        let (Some(prompt), Some(scope)) = (prompt, &place.cache_scope) else { return };
        let fingerprint = |part: &PromptPart| PartFingerprint::of(scope, &part.id);
        let shared = cost::shared_parts(prompt).iter();
        self.parts.note_sent(&place.address, shared.map(|part| (fingerprint(part), part.tokens)));
        for (part, store) in prompt.parts.iter().zip(&place.save) {
            if let Some(store) = store {
                self.parts.note_saving(store, fingerprint(part), part.tokens, now);
            }
        }
    }

    /// Notes that a request has its first answer: its prompt is read.
    pub fn note_first_response(&mut self, place: &Assignment) {
        if let Some(state) = self.targets.get_mut(&place.target) {
            state.own_prefill_tokens = state.own_prefill_tokens.saturating_sub(place.read_tokens);
        }
    }

    /// Counts a request out, with what it says of the target.
    pub fn end(&mut self, place: &Assignment, outcome: TargetOutcome, now: Duration) {
        if let Some(state) = self.targets.get_mut(&place.target) {
            state.own_requests = state.own_requests.saturating_sub(1);
            state.own_tokens = state.own_tokens.saturating_sub(place.memory_tokens);
            state.observe_outcome(outcome, now);
            let centre = &state.registration.data_centre;
            match outcome {
                TargetOutcome::Unreachable => {
                    self.centres.note_unreachable(centre, &place.target, now);
                }
                TargetOutcome::Served | TargetOutcome::Rejected => {
                    self.centres.note_reached(centre);
                }
                TargetOutcome::Failed | TargetOutcome::Unknown => {}
            }
        }
    }

    /// Notes that a target was ordered to swap its weights: it turns requests away until it has.
    pub fn note_swapping(
        &mut self,
        target: &str,
        model: &str,
        version: WeightVersion,
        now: Duration,
    ) {
        let state = self.targets.get_mut(target);
        if let Some(state) = state.filter(|it| it.weight_version(model) < Some(version)) {
            state.note_swapping(now);
        }
    }

    /// Takes in the load that a target told.
    pub fn observe_load(&mut self, target: &str, load: ReportedLoad, now: Duration) {
        if let Some(state) = self.targets.get_mut(target) {
            state.observe_load(load, now);
        }
    }

    /// Takes in the weights that a run began on, or that a target named when it refused.
    pub fn observe_weights(&mut self, target: &str, model: &str, version: WeightVersion) {
        if let Some(state) = self.targets.get_mut(target) {
            state.observe_weights(model, version);
        }
    }
}

/// Text under which the context of a prompt is kept: no other model, weights or isolated account
/// has the same.
fn cache_scope(prompt: &PlacementPrompt, version: WeightVersion) -> CacheScope {
    match &prompt.isolated_account {
        Some(account) => format!("{}.{version}.{account}", prompt.model),
        None => format!("{}.{version}", prompt.model),
    }
}
