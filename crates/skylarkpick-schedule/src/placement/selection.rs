//! Selects the target with the lowest cost for a request, and tracks the targets' state.

use super::{
    brittle::BrittlePlaces,
    cold::{self, ColdTargets},
    cost::{self, AffinityRanking, Cost, EngineRequest, PartHolders, TransferCosts},
    evacuation::Evacuations,
    heard::HeardSignals,
    memory::MemorySample,
    parts::{CacheKind, PartDirectory, PartFingerprint},
    policy::PlacementPolicy,
    reachability::DataCentreReachability,
    target::{TargetOutcome, TargetView},
    target_speed::TargetSpeeds,
    timing::ServiceTiming,
    types::{Assignment, PlacementDecision, PlacementPrompt, PlacementRequest, UnplacedReason},
    weights::DesiredWeightsView,
};
use skylarkpick_interface::{
    CacheScope, ContextMemory, PromptPart, RegisteredTarget, ReportedLoad, ServiceKind,
    ServiceName, TargetId, WeightVersion,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Shortest part that is saved. Caches hold whole blocks of 16 tokens, so a shorter part is never
/// held completely.
const SAVED_TOKENS_FLOOR: u64 = 16;

/// Share of a brittle engine's memory that typical requests may take. The rest is for larger ones.
const BRITTLE_MEMORY_SHARE: f64 = 0.8;

/// Safety factor on the expected time until a run starts, while its weights are being replaced.
const START_DELAY_FACTOR: f64 = 2.0;

/// Assigns requests to targets by the tracked state of targets and caches.
#[derive(Clone, Debug)]
pub struct Placement {
    pub(super) targets: BTreeMap<TargetId, TargetView>,
    services: BTreeMap<ServiceName, ServiceKind>,
    reachability: DataCentreReachability,
    pub(super) heard: HeardSignals,
    pub(super) brittle: BrittlePlaces,
    pub(super) cold: ColdTargets,
    pub(super) evacuations: Evacuations,
    pub(super) timings: BTreeMap<ServiceName, ServiceTiming>,
    pub(super) speeds: TargetSpeeds,
    pub(super) policy: PlacementPolicy,
    /// Which caches hold which parts.
    pub parts: PartDirectory,
    /// Weights that new runs may start on.
    pub weights: DesiredWeightsView,
}

/// A target that may take the request, with its cost.
struct Candidate<'a> {
    target: &'a TargetView,
    cost: Cost,
    plan: cost::ContextPlan,
    weight_version: Option<WeightVersion>,
    newer_weights_age: Option<Duration>,
    scope: Option<CacheScope>,
}

/// Lookups of a request that are shared by all candidates.
struct Lookup<'a> {
    ranking: AffinityRanking,
    /// Holders of the parts by weight version, which is part of the cache scope.
    holders: BTreeMap<WeightVersion, PartHolders<'a>>,
}

impl Placement {
    /// Opens a placement without targets. Replaced weights stay usable for
    /// `old_weights_usable_for`.
    ///
    /// ```
    /// use skylarkpick_schedule::{Placement, PlacementDecision, PlacementRequest, UnplacedReason};
    /// use std::time::Duration;
    /// let placement = Placement::open(Duration::from_secs(10));
    /// let request = PlacementRequest {
    ///     service: "book-api".to_string(),
    ///     data_centre: "mnl-a".to_string(),
    ///     prompt: None,
    ///     rank: 0,
    ///     is_continuation: false,
    ///     software_version: None,
    ///     avoid: Vec::new(),
    ///     max_wait: Duration::from_secs(1),
    /// };
    /// let decision = placement.choose(&request, Duration::ZERO);
    /// assert_eq!(decision, PlacementDecision::Unplaced(UnplacedReason::NoTarget));
    /// ```
    pub fn open(old_weights_usable_for: Duration) -> Placement {
        Placement::open_with_policy(old_weights_usable_for, PlacementPolicy::default())
    }

    /// Opens a placement that follows a policy.
    ///
    /// ```
    /// use skylarkpick_schedule::{Placement, PlacementPolicy};
    /// use std::time::Duration;
    /// let policy = PlacementPolicy { samples_memory: false, ..PlacementPolicy::default() };
    /// let placement = Placement::open_with_policy(Duration::from_secs(10), policy);
    /// assert_eq!(placement.policy(), &policy);
    /// ```
    pub fn open_with_policy(
        old_weights_usable_for: Duration,
        policy: PlacementPolicy,
    ) -> Placement {
        Placement {
            policy,
            targets: BTreeMap::new(),
            services: BTreeMap::new(),
            reachability: DataCentreReachability::default(),
            heard: HeardSignals::default(),
            brittle: BrittlePlaces::default(),
            cold: ColdTargets::default(),
            evacuations: Evacuations::default(),
            timings: BTreeMap::new(),
            speeds: TargetSpeeds::default(),
            parts: PartDirectory::default(),
            weights: DesiredWeightsView::open(old_weights_usable_for),
        }
    }

    /// Replaces the services by those of a serving document.
    pub fn set_services(&mut self, services: &BTreeMap<ServiceName, ServiceKind>) {
        self.services = services.clone();
        self.update_caches();
    }

    /// Adds or updates a target. Returns whether the registration belongs to a new incarnation,
    /// whose state starts empty.
    pub fn set_target(&mut self, registration: RegisteredTarget) -> bool {
        let known = self.targets.get_mut(&registration.id);
        if let Some(state) = known
            && !state.is_other_incarnation(&registration)
        {
            let previous = &state.registration;
            let is_same_capacity = previous.service == registration.service
                && previous.is_draining == registration.is_draining
                && previous.slots == registration.slots;
            if !is_same_capacity {
                self.brittle.note_change();
            }
            let is_same_cache = state.registration.service == registration.service
                && state.registration.data_centre == registration.data_centre;
            state.set_registration(registration);
            if !is_same_cache {
                self.update_caches();
            }
            return false;
        }
        self.brittle.note_change();
        let previous = self.targets.insert(registration.id.clone(), TargetView::open(registration));
        if let Some(previous) = previous {
            self.speeds.forget(&previous.registration.id);
            self.parts.forget(&previous.registration.address);
        }
        self.update_caches();
        true
    }

    /// Removes a target that is no longer registered.
    pub fn remove_target(&mut self, id: &str) {
        if let Some(state) = self.targets.remove(id) {
            self.brittle.note_change();
            self.speeds.forget(id);
            self.parts.forget(&state.registration.address);
        }
        self.update_caches();
    }

    /// Returns the policy.
    pub fn policy(&self) -> &PlacementPolicy {
        &self.policy
    }

    /// Returns the state of all targets.
    pub fn targets(&self) -> &BTreeMap<TargetId, TargetView> {
        &self.targets
    }

    /// Aligns the caches in the part directory with the engines' runners and the stores.
    fn update_caches(&mut self) {
        let mut wanted: BTreeMap<SocketAddr, (CacheKind, String, ContextMemory)> = BTreeMap::new();
        for kind in self.services.values() {
            if let ServiceKind::Store { address, data_centre, memory, is_managed } = kind {
                let cache = if *is_managed { CacheKind::ManagedStore } else { CacheKind::Store };
                wanted.insert(*address, (cache, data_centre.clone(), *memory));
            }
        }
        for state in self.targets.values() {
            let target = &state.registration;
            if let Some(ServiceKind::Engines(memory)) = self.services.get(&target.service) {
                let cache = CacheKind::Runner(target.id.clone());
                wanted.insert(target.address, (cache, target.data_centre.clone(), *memory));
            }
        }
        self.parts.retain(|address| wanted.contains_key(address));
        for (address, (kind, data_centre, memory)) in wanted {
            self.parts.set_cache(address, kind, &data_centre, memory);
        }
    }

    /// Chooses the target with the lowest cost, or returns why no target can take the request.
    pub fn choose(&self, request: &PlacementRequest, now: Duration) -> PlacementDecision {
        let of_service =
            self.targets.values().filter(|it| it.registration.service == request.service);
        let known: Vec<&TargetView> = of_service.collect();
        if known.is_empty() {
            return PlacementDecision::Unplaced(UnplacedReason::NoTarget);
        }
        let ranking = request
            .prompt
            .as_ref()
            .map(|prompt| AffinityRanking::open(prompt, known.iter().copied()))
            .unwrap_or_default();
        let mut lookup = Lookup { ranking, holders: BTreeMap::new() };
        let mut usable: Vec<&TargetView> =
            known.into_iter().filter(|it| self.may_take(&it.registration, request)).collect();
        let mut shortest_wait: Option<Duration> = None;
        usable.retain(|it| {
            let cold_wait = self.cold.wait(&it.registration.id, now);
            let Some(wait) = self.heard.wait(&it.registration, now).max(cold_wait) else {
                return true;
            };
            shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
            false
        });
        if let (true, Some(wait)) = (usable.is_empty(), shortest_wait) {
            return PlacementDecision::Unplaced(UnplacedReason::HeldOff { wait });
        }
        let memory_room = self.memory_room(&request.service);
        let may_send = |it: &&TargetView| {
            !self.heard.is_brittle(&it.registration, now)
                || self.brittle.has_free(it, memory_room, now)
        };
        let has_usable = !usable.is_empty();
        usable.retain(may_send);
        if has_usable && usable.is_empty() {
            let wait = self.place_wait(request, 0, now);
            return PlacementDecision::Unplaced(UnplacedReason::NoPlace { wait });
        }
        let is_unreachable = |it: &TargetView| {
            let data_centre = &it.registration.data_centre;
            self.reachability.is_unreachable(data_centre, &request.data_centre, now)
        };
        let healthy =
            usable.iter().copied().filter(|it| !it.is_in_cooldown(now) && !is_unreachable(it));
        let mut candidates: Vec<Candidate<'_>> =
            healthy.filter_map(|it| self.candidate(it, request, &mut lookup, now)).collect();
        if candidates.is_empty() {
            // A target in cooldown or in an unreachable data centre is better than none.
            candidates = usable
                .iter()
                .filter_map(|it| self.candidate(it, request, &mut lookup, now))
                .collect();
        }
        cold::keep_free_warm(
            &mut candidates,
            |it| self.cold.is_cold(&it.target.registration.id, now),
            |it| it.cost.wait_ms <= 0.0,
        );
        let shortest_wait_ms =
            candidates.iter().map(|it| it.cost.capacity_wait_ms).min_by(f64::total_cmp);
        let best = candidates
            .into_iter()
            .filter(|it| it.cost.capacity_wait_ms <= 0.0 || request.is_continuation)
            .min_by(|left, right| left.cost.total_ms.total_cmp(&right.cost.total_ms));
        let Some(best) = best else {
            return PlacementDecision::Unplaced(
                shortest_wait_ms.map_or(UnplacedReason::NoneUsable, |wait_ms| {
                    UnplacedReason::Full { wait: from_milliseconds(wait_ms) }
                }),
            );
        };
        let expected_wait = from_milliseconds(best.cost.wait_ms);
        if expected_wait > request.max_wait {
            return PlacementDecision::Unplaced(UnplacedReason::Full { wait: expected_wait });
        }
        let home = lookup.ranking.first().and_then(|id| self.targets.get(id));
        let home = home.map(|it| it.registration.data_centre.as_str());
        PlacementDecision::Assigned(Box::new(self.assign(best, request, home, expected_wait, now)))
    }

    /// Returns whether a target of the service of a request may take it, whatever its load.
    fn may_take(&self, target: &RegisteredTarget, request: &PlacementRequest) -> bool {
        let runs_version = request.software_version.is_none()
            || request.software_version == target.software_version;
        !self.is_leaving(target)
            && !self.is_evacuated(target)
            && runs_version
            && !request.avoid.contains(&target.id)
    }

    /// Returns the expected time until a request may be sent to a brittle service after as many others
    /// that wait, or `None` if this process may never send it to any of the targets that may take it, or
    /// the service isn't brittle.
    pub fn place_wait(
        &self,
        request: &PlacementRequest,
        ahead: u32,
        now: Duration,
    ) -> Option<Duration> {
        let service = &request.service;
        if !self.heard.is_service_brittle(service, now) {
            return None;
        }
        let may_take = |target: &TargetId| {
            let state = self.targets.get(target);
            state.is_some_and(|it| self.may_take(&it.registration, request))
        };
        let memory_room = self.memory_room(service);
        let own = self.brittle.own_counts(service, &self.targets, memory_room, now);
        let own_count: u32 =
            own.filter(|(target, _)| may_take(target)).map(|(_, places)| places).sum();
        let own_count = match own_count {
            // Requests from before hold all slots: their ends free some for any process.
            0 if self.place_owners(service, now).is_empty() => {
                let owned = self.brittle.owned(service);
                owned.filter(|(target, _)| may_take(target)).map(|(_, places)| places).sum()
            }
            count => count,
        };
        let run = from_milliseconds(self.timing(service).run_ms());
        let between_ends = run.checked_div(own_count)?;
        Some(between_ends.saturating_mul(ahead.saturating_add(1)))
    }

    /// Returns how many typical requests the memory of an engine holds; a plain service has no bound.
    pub(super) fn memory_room(&self, service: &str) -> usize {
        let Some(ServiceKind::Engines(memory)) = self.services.get(service) else {
            return usize::MAX;
        };
        let usable_tokens = memory.capacity_tokens as f64 * BRITTLE_MEMORY_SHARE;
        ((usable_tokens / self.timing(service).memory_tokens().max(1.0)) as usize).max(1)
    }

    /// Returns a target with its cost, or `None` if its weights may not be used or the prompt's
    /// service is not known.
    fn candidate<'a>(
        &'a self,
        target: &'a TargetView,
        request: &PlacementRequest,
        lookup: &mut Lookup<'a>,
        now: Duration,
    ) -> Option<Candidate<'a>> {
        let pace = self.speeds.pace(&target.registration, &self.policy, now);
        let timing = self.timing(&request.service).at_pace(pace);
        let plain = || Candidate {
            target,
            cost: cost::plain_cost(target, request, &timing, now),
            plan: cost::ContextPlan::default(),
            weight_version: None,
            newer_weights_age: None,
            scope: None,
        };
        let Some(prompt) = &request.prompt else { return Some(plain()) };
        let memory = match self.services.get(&request.service) {
            Some(ServiceKind::Engines(memory)) => memory,
            Some(ServiceKind::Plain) => return Some(plain()),
            // Without weights and cache scope, a prompt could run on any weights and share context
            // with any account.
            Some(ServiceKind::Store { .. }) | None => return None,
        };
        let version = target.weight_version(&prompt.model)?;
        let newer_weights_age = self.weights.age_of_newer(&prompt.model, version, now);
        let scope = cache_scope(prompt, version);
        let is_reachable = |data_centre: &str| {
            !self.reachability.is_unreachable(data_centre, &request.data_centre, now)
        };
        let holders = lookup
            .holders
            .entry(version)
            .or_insert_with(|| PartHolders::open(&self.parts, prompt, &scope, &is_reachable, now));
        let cache = self.parts.cache(&target.registration.address);
        let is_watched = cache.is_some_and(|cache| cache.is_watched());
        let policy = &self.policy;
        let costs = TransferCosts { policy, memory, timing: &timing };
        let plan = cost::plan_context(holders, target, is_watched, prompt, &costs);
        let ranking = &lookup.ranking;
        let engine_request =
            EngineRequest { policy, request, prompt, ranking, memory, timing: &timing, now };
        let cost = cost::engine_cost(target, &engine_request, &plan, newer_weights_age.is_some());
        // A run has to start on usable weights, so its wait at the engine counts.
        let expected_ms = (cost.wait_ms + plan.ready_ms) * START_DELAY_FACTOR;
        let start_ms = expected_ms.max(timing.slow_response_ms());
        let start = now + from_milliseconds(start_ms);
        if !self.weights.is_usable(&prompt.model, version, start) {
            return None;
        }
        Some(Candidate {
            target,
            cost,
            plan,
            weight_version: Some(version),
            newer_weights_age,
            scope: Some(scope),
        })
    }

    fn assign(
        &self,
        candidate: Candidate<'_>,
        request: &PlacementRequest,
        home: Option<&str>,
        expected_wait: Duration,
        now: Duration,
    ) -> Assignment {
        let target = &candidate.target.registration;
        let memory_tokens = request
            .prompt
            .as_ref()
            .map_or(0, |prompt| cost::needed_tokens(prompt, &candidate.plan));
        let mut assignment = Assignment {
            target: target.id.clone(),
            address: target.address,
            started_at_ms: target.started_at_ms,
            software_version: target.software_version.clone(),
            weight_version: candidate.weight_version,
            cache_scope: candidate.scope,
            fetch: candidate.plan.fetch,
            save: Vec::new(),
            held_tokens: candidate.plan.held_tokens,
            missing_tokens: candidate.plan.missing_tokens,
            prefill_tokens: candidate.plan.prefill_tokens,
            memory_tokens,
            transfers: candidate.plan.transfers,
            expected_wait,
            load_age: candidate.target.load_age(now),
            newer_weights_age: candidate.newer_weights_age,
        };
        if let (Some(prompt), Some(scope)) = (&request.prompt, &assignment.cache_scope) {
            let newest = self.weights.newest(&prompt.model);
            // Context of replaced weights is of no use after their usable period, so it isn't saved.
            if assignment.weight_version >= newest && self.policy.saves_parts {
                assignment.save = self.saves(prompt, scope, home, now);
            }
        }
        assignment
    }

    /// Returns, for each part of a prompt, the store to save it to. The last shared part is preferably
    /// saved in the data centre of the target that it hashes to, `home`, which will fetch it; prompts
    /// that share only earlier parts hash to other targets.
    fn saves(
        &self,
        prompt: &PlacementPrompt,
        scope: &str,
        home: Option<&str>,
        now: Duration,
    ) -> Vec<Option<SocketAddr>> {
        let shared = cost::shared_parts(prompt);
        let mut saves: Vec<Option<SocketAddr>> = shared
            .iter()
            .enumerate()
            .map(|(index, part)| {
                let fingerprint = PartFingerprint::of(scope, &part.id);
                let home = home.filter(|_| index + 1 == shared.len());
                (part.tokens >= SAVED_TOKENS_FLOOR)
                    .then(|| self.parts.store_for(fingerprint, part.tokens, home, now))
                    .flatten()
            })
            .collect();
        saves.resize(prompt.parts.len(), None);
        saves
    }

    /// Counts a request as in flight at its target.
    pub fn begin(
        &mut self,
        assignment: &Assignment,
        prompt: Option<&PlacementPrompt>,
        now: Duration,
    ) {
        self.brittle.begin(assignment.address, assignment.started_at_ms);
        if let Some(state) = self.targets.get_mut(&assignment.target) {
            state.own_requests += 1;
            state.own_tokens += assignment.memory_tokens;
            state.memory.note_change(assignment.memory_tokens as f64, now);
            state.own_prefill_tokens += assignment.prefill_tokens;
            if prompt.is_some() && self.policy.learns_times {
                let service = state.registration.service.clone();
                let timing = self.timings.entry(service).or_default();
                timing.observe_prompt(assignment.prefill_tokens);
            }
        }
        let (Some(prompt), Some(scope)) = (prompt, &assignment.cache_scope) else { return };
        let fingerprint = |part: &PromptPart| PartFingerprint::of(scope, &part.id);
        let shared = cost::shared_parts(prompt).iter();
        self.parts
            .note_sent(&assignment.address, shared.map(|part| (fingerprint(part), part.tokens)));
        for (part, store) in prompt.parts.iter().zip(&assignment.save) {
            if let Some(store) = store {
                self.parts.note_saving(store, fingerprint(part), part.tokens, now);
            }
        }
    }

    /// Records that the response to a prompt started `elapsed` after it was sent.
    pub fn note_first_response(&mut self, assignment: &Assignment, elapsed: Duration) {
        self.end_prefill(assignment);
        let Some(state) = self.targets.get(&assignment.target) else { return };
        let timing = self.timings.entry(state.registration.service.clone()).or_default();
        let elapsed_ms = milliseconds(elapsed);
        timing.observe_any_response(elapsed_ms);
        if assignment.transfers.is_empty() && self.policy.learns_times {
            timing.observe_response(assignment.prefill_tokens, elapsed_ms);
        }
    }

    /// Ends the count of a request's prompt tokens that are not prefilled yet.
    pub fn end_prefill(&mut self, assignment: &Assignment) {
        if let Some(state) = self.targets.get_mut(&assignment.target) {
            state.own_prefill_tokens =
                state.own_prefill_tokens.saturating_sub(assignment.prefill_tokens);
        }
    }

    /// Returns what was learned of the times of a service.
    pub(super) fn timing(&self, service: &str) -> ServiceTiming {
        self.timings.get(service).copied().unwrap_or_default()
    }

    /// Counts a request as finished `elapsed` after it was sent, and applies its outcome to the
    /// state of the target.
    pub fn end(
        &mut self,
        assignment: &Assignment,
        outcome: TargetOutcome,
        elapsed: Duration,
        now: Duration,
    ) {
        self.brittle.end(assignment.address, assignment.started_at_ms);
        if outcome == TargetOutcome::Served {
            self.observe_call_speed(assignment, elapsed, now);
        }
        if let Some(state) = self.targets.get_mut(&assignment.target) {
            state.own_requests = state.own_requests.saturating_sub(1);
            state.own_tokens = state.own_tokens.saturating_sub(assignment.memory_tokens);
            state.memory.note_change(-(assignment.memory_tokens as f64), now);
            if outcome != TargetOutcome::Failed || self.policy.ejects_targets {
                state.observe_outcome(outcome, now);
            }
            let service = &state.registration.service;
            if outcome == TargetOutcome::Unreachable {
                self.cold.note_unreached(&assignment.target, service, now);
            }
            match outcome {
                TargetOutcome::Rejected => {
                    self.brittle.note_rejection(service, &assignment.target, now);
                }
                TargetOutcome::Failed | TargetOutcome::Unknown | TargetOutcome::Unreachable => {
                    self.brittle.note_unknown_end(service, &assignment.target, now);
                }
                TargetOutcome::NotSent | TargetOutcome::Served => {}
            }
            if outcome == TargetOutcome::Served {
                let service = state.registration.service.clone();
                let timing = self.timings.entry(service).or_default();
                timing.observe_residence(assignment.memory_tokens, milliseconds(elapsed));
                if self.policy.learns_times {
                    timing.observe_run(milliseconds(elapsed));
                }
            }
            let data_centre = &state.registration.data_centre;
            match outcome {
                TargetOutcome::Unreachable if self.policy.detects_partitions => {
                    self.reachability.note_unreachable(data_centre, &assignment.target, now);
                }
                TargetOutcome::Served | TargetOutcome::Rejected => {
                    self.reachability.note_reached(data_centre);
                }
                TargetOutcome::Failed
                | TargetOutcome::NotSent
                | TargetOutcome::Unknown
                | TargetOutcome::Unreachable => {}
            }
        }
    }

    /// Records that a target was ordered to swap its weights. It rejects requests until the swap
    /// is done.
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

    /// Applies a load report of a target.
    pub fn observe_load(&mut self, target: &str, load: ReportedLoad, now: Duration) {
        if let Some(state) = self.targets.get_mut(target) {
            state.observe_load(load, now);
            if let Some(percent) = load.slowness_percent {
                self.speeds.observe_report(&state.registration, percent, &self.policy, now);
            }
            self.brittle.note_load(&state.registration.service, target, load, now);
        }
    }

    /// Applies a sample of an engine's memory that it returned at `reported_at`.
    pub fn observe_memory(&mut self, target: &str, sample: MemorySample, reported_at: Duration) {
        if let Some(state) = self.targets.get_mut(target)
            && self.policy.samples_memory
        {
            state.memory.observe(sample, reported_at);
        }
    }

    /// Returns the share of an engine's memory that is in use, 0 without a recent sample.
    pub fn memory_share(&self, target: &str, now: Duration) -> f64 {
        let memory = self.targets.get(target).and_then(|target| self.memory_use(target, now));
        memory.map_or(0.0, |(used_tokens, capacity_tokens)| used_tokens / capacity_tokens)
    }

    /// Returns the memory in use at the recently sampled engines in hundredths of their capacity, 0
    /// without samples.
    pub fn memory_percent(&self, now: Duration) -> u64 {
        let engines = self.targets.values().filter_map(|target| self.memory_use(target, now));
        let (used_tokens, capacity_tokens) =
            engines.fold((0.0, 0.0), |sum, engine| (sum.0 + engine.0, sum.1 + engine.1));
        if capacity_tokens > 0.0 { (used_tokens / capacity_tokens * 100.0) as u64 } else { 0 }
    }

    /// Returns the tokens in use at a recently sampled engine, and its capacity.
    fn memory_use(&self, target: &TargetView, now: Duration) -> Option<(f64, f64)> {
        let service = &target.registration.service;
        let Some(ServiceKind::Engines(memory)) = self.services.get(service) else { return None };
        let used_tokens = target.memory.used_tokens(self.timing(service).memory_tokens(), now)?;
        Some((used_tokens, memory.capacity_tokens.max(1) as f64))
    }

    /// Records the weights that a run started on, or that a target returned when it rejected a
    /// request. Those of another start than the registered one say nothing about this one.
    pub fn observe_weights(
        &mut self,
        target: &str,
        started_at_ms: u64,
        model: &str,
        version: WeightVersion,
    ) {
        let state = self.targets.get_mut(target);
        if let Some(state) = state.filter(|it| it.registration.started_at_ms == started_at_ms) {
            state.observe_weights(model, version);
        }
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn from_milliseconds(time_ms: f64) -> Duration {
    Duration::from_secs_f64(time_ms.max(0.0) / 1_000.0)
}

/// Returns the scope under which the context of a prompt is cached. Different models, weight
/// versions and isolated accounts never share a scope.
fn cache_scope(prompt: &PlacementPrompt, version: WeightVersion) -> CacheScope {
    match &prompt.isolated_account {
        Some(account) => format!("{}.{version}.{account}", prompt.model),
        None => format!("{}.{version}", prompt.model),
    }
}
