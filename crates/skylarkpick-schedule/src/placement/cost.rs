//! Estimates the cost of a request at a target: milliseconds until the first byte of the response,
//! with penalties and bonuses in the same unit.

use super::{
    parts::{CacheView, PartDirectory, PartFingerprint, rendezvous_weight},
    policy::PlacementPolicy,
    target::TargetView,
    timing::ServiceTiming,
    types::{PlacementPrompt, PlacementRequest, PlannedTransfer},
};
use skylarkpick_interface::{CacheScope, ContextMemory, FetchSource, PartId, PromptPart, TargetId};
use std::{net::SocketAddr, time::Duration};

/// Delay of the first token for each other request in flight at an engine, since all requests share
/// the steps of the engine.
const ENGINE_IN_FLIGHT_DELAY_MS: f64 = 5.0;
/// Penalty for each request in flight at an instance of a plain service, so that the least loaded
/// instance is preferred while slots are free.
const PLAIN_IN_FLIGHT_PENALTY_MS: f64 = 3.0;
/// Penalty for a target in another data centre: the round trip, and the price of the traffic.
const OTHER_DATA_CENTRE_PENALTY_MS: f64 = 6.0;
/// Bonus of the target that the last shared part of a prompt hashes to.
const AFFINITY_BONUS_MS: f64 = 8.0;
/// Share of the bonus that the second-ranked target gets. Prompts go there if the first is busy.
const SECOND_AFFINITY_SHARE: f64 = 0.5;
/// Largest preference among targets that a prompt does not hash to first or second. It orders targets
/// of equal cost differently for each part, so that processes that know the same do not all choose
/// the same one.
const SPREAD_BONUS_MS: f64 = 4.0;
/// Affinity bonus if this process doesn't watch the target's cache. The target that a part hashes
/// to is the most likely holder.
const UNWATCHED_AFFINITY_BONUS_MS: f64 = 60.0;
/// Factor on the time that the bytes of a part take between data centres.
const OTHER_DATA_CENTRE_TRANSFER_FACTOR: f64 = 2.0;
/// Setup time of a transfer at an engine.
const TRANSFER_SETUP_MS: f64 = 3.3;
/// Penalty for starting on weights that are about to be replaced, on top of the wait.
const OLD_WEIGHTS_PENALTY_MS: f64 = 80.0;
/// Share by which the occupancy limit is lower for each rank.
const RESERVED_SHARE_PER_RANK: f64 = 0.04;
/// Lowest limit of any rank.
const OCCUPANCY_LIMIT_FLOOR: f64 = 0.7;
/// Largest share of an engine's memory that a single request has to find free.
const COUNTED_SHARE_LIMIT: f64 = 0.25;

/// How one target gets the context of a prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct ContextPlan {
    /// For each part, the cache to fetch it from.
    pub(super) fetch: Vec<Option<FetchSource>>,
    /// Shared tokens in the target's own cache.
    pub(super) held_tokens: u64,
    /// Whether this process watches the target's cache.
    pub(super) is_target_watched: bool,
    /// Shared tokens that are neither held nor fetched.
    pub(super) missing_tokens: u64,
    /// Tokens to prefill, shared or not.
    pub(super) prefill_tokens: u64,
    /// Fetches of parts that the target lacks.
    pub(super) transfers: Vec<PlannedTransfer>,
    /// Time to fetch and prefill the prompt.
    pub(super) ready_ms: f64,
}

/// Cost of a request at a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Time until the response starts, with all penalties and bonuses.
    pub(super) total_ms: f64,
    /// Time until the request starts to be served.
    pub(super) wait_ms: f64,
    /// Time until the target has capacity for the request; 0 if it has.
    pub(super) capacity_wait_ms: f64,
}

/// Returns the cost of a call at an instance of a plain service.
pub(super) fn plain_cost(
    target: &TargetView,
    request: &PlacementRequest,
    timing: &ServiceTiming,
    now: Duration,
) -> Cost {
    let in_flight = target.requests(now);
    let slots = f64::from(target.slots());
    let wait_ms = ((in_flight + 1.0 - slots) / slots).max(0.0) * timing.run_ms();
    let distance = distance_penalty_ms(target, request);
    let pace = timing.pace();
    // A call ends with its run, so that the whole run counts, and not only the wait for it.
    let pace_ms = timing.run_ms() * (1.0 - 1.0 / pace.slowness);
    Cost {
        total_ms: wait_ms
            + in_flight * PLAIN_IN_FLIGHT_PENALTY_MS * pace.slowness
            + distance
            + pace_ms,
        wait_ms,
        capacity_wait_ms: 0.0,
    }
}

/// The inputs of an engine's cost that are the same for all targets.
#[derive(Clone, Copy)]
pub(super) struct EngineRequest<'a> {
    pub(super) policy: &'a PlacementPolicy,
    pub(super) request: &'a PlacementRequest,
    pub(super) prompt: &'a PlacementPrompt,
    pub(super) ranking: &'a AffinityRanking,
    pub(super) memory: &'a ContextMemory,
    pub(super) timing: &'a ServiceTiming,
    pub(super) now: Duration,
}

/// Returns the cost of a prompt at an engine.
pub(super) fn engine_cost(
    target: &TargetView,
    engine_request: &EngineRequest<'_>,
    plan: &ContextPlan,
    has_newer_weights: bool,
) -> Cost {
    let EngineRequest { policy, request, ranking, timing, now, .. } = *engine_request;
    let in_flight = target.requests(now);
    let slots = f64::from(target.slots());
    let over_slots = (in_flight + 1.0 - slots).max(0.0);
    let own_queue_ms = timing.prefill_ms(target.own_prefill_tokens);
    let waiting_ms = target.reported_waiting(now) * timing.prompt_prefill_ms();
    let queue_ms = own_queue_ms + waiting_ms;
    let occupancy = Occupancy::of(target, engine_request, plan);
    let memory_wait_ms = occupancy.excess * timing.residence_ms();
    let wait_ms = over_slots / slots * timing.run_ms() + memory_wait_ms;
    let occupancy_penalty_ms =
        policy.occupancy_penalty_share * timing.residence_ms() * occupancy.share.powi(2);
    let missing_ms = timing.prefill_ms(plan.missing_tokens);
    let recompute_penalty_ms = missing_ms * policy.recompute_penalty_factor;
    let affinity_bonus_ms =
        policy.affinity_factor * affinity_bonus_ms(target, ranking, plan, recompute_penalty_ms);
    let weights_penalty_ms = if has_newer_weights { OLD_WEIGHTS_PENALTY_MS } else { 0.0 };
    let total_ms = wait_ms
        + queue_ms
        + in_flight * ENGINE_IN_FLIGHT_DELAY_MS * timing.pace().slowness
        + occupancy_penalty_ms
        + plan.ready_ms
        + weights_penalty_ms
        + recompute_penalty_ms
        + distance_penalty_ms(target, request)
        - affinity_bonus_ms;
    Cost { total_ms, wait_ms: wait_ms + queue_ms, capacity_wait_ms: memory_wait_ms }
}

/// Memory of an engine in use with one more request, as shares of its capacity.
struct Occupancy {
    share: f64,
    /// Share beyond the limit for the rank of the request. When the last sample is outdated, only
    /// the requests of this process count, since the memory of others is a rough estimate.
    excess: f64,
}

impl Occupancy {
    fn of(
        target: &TargetView,
        engine_request: &EngineRequest<'_>,
        plan: &ContextPlan,
    ) -> Occupancy {
        let EngineRequest { policy, request, prompt, memory, timing, now, .. } = *engine_request;
        let own = target.own_tokens as f64;
        let (used, known_used) = match target.memory.used_tokens(timing.memory_tokens(), now) {
            Some(used) => (used, used),
            None => {
                let others = (target.requests(now) - f64::from(target.own_requests)).max(0.0);
                let known = if target.memory.is_sampled() { own } else { 0.0 };
                (own + others * timing.memory_tokens(), known)
            }
        };
        let capacity = memory.capacity_tokens.max(1) as f64;
        let needed = needed_tokens(prompt, plan) as f64;
        // A long prompt waits for no more room than a prompt of this size. Otherwise shorter ones
        // would always take the room before there is enough for it.
        let counted = needed.min(capacity * COUNTED_SHARE_LIMIT);
        let limit = capacity * occupancy_limit(policy, request.rank);
        // An idle engine takes any request.
        let is_idle = known_used < 1.0;
        let excess = if is_idle { 0.0 } else { (known_used + counted - limit).max(0.0) };
        Occupancy { share: (used + needed) / capacity, excess: excess / capacity }
    }
}

/// Returns the share of an engine's memory that requests of a rank may fill. Less urgent ones leave
/// room for more urgent ones.
fn occupancy_limit(policy: &PlacementPolicy, rank: u8) -> f64 {
    let reserved = f64::from(rank) * RESERVED_SHARE_PER_RANK;
    (policy.occupancy_limit - reserved).max(OCCUPANCY_LIMIT_FLOOR)
}

/// Returns the memory that a request takes at an engine in addition to the parts that it holds.
pub(super) fn needed_tokens(prompt: &PlacementPrompt, plan: &ContextPlan) -> u64 {
    prompt.prompt_tokens.saturating_sub(plan.held_tokens) + prompt.answer_tokens_limit
}

/// Returns the parts that other requests may share: all but the last.
pub(super) fn shared_parts(prompt: &PlacementPrompt) -> &[PromptPart] {
    let count = prompt.parts.len().saturating_sub(1);
    &prompt.parts[..count]
}

fn distance_penalty_ms(target: &TargetView, request: &PlacementRequest) -> f64 {
    let is_local = target.registration.data_centre == request.data_centre;
    if is_local { 0.0 } else { OTHER_DATA_CENTRE_PENALTY_MS }
}

/// Returns the bonus of a target for its rank among those that the prompt hashes to.
fn affinity_bonus_ms(
    target: &TargetView,
    ranking: &AffinityRanking,
    plan: &ContextPlan,
    recompute_penalty_ms: f64,
) -> f64 {
    let full_ms = match plan {
        // Processes that don't know each other's decisions must choose the same target for parts
        // that no known cache provides, or those parts are prefilled twice.
        _ if plan.missing_tokens > 0 => recompute_penalty_ms,
        _ if !plan.is_target_watched => UNWATCHED_AFFINITY_BONUS_MS,
        _ => AFFINITY_BONUS_MS,
    };
    let id = &target.registration.id;
    full_ms * ranking.bonus_share(id) + SPREAD_BONUS_MS * ranking.hash_share(id)
}

/// The two targets that the last shared part of a prompt hashes to. Rendezvous hashing makes them
/// the same in every process.
#[derive(Clone, Debug, Default)]
pub(super) struct AffinityRanking {
    part: Option<PartId>,
    first: Option<TargetId>,
    second: Option<TargetId>,
}

impl AffinityRanking {
    /// Ranks the targets for a prompt.
    ///
    /// Pass all targets of the service, including those in cooldown, so that a short cooldown
    /// doesn't change the ranking.
    pub(super) fn open<'a>(
        prompt: &PlacementPrompt,
        targets: impl Iterator<Item = &'a TargetView>,
    ) -> AffinityRanking {
        let Some(part) = shared_parts(prompt).last() else { return AffinityRanking::default() };
        let (mut first, mut second) = (None, None);
        for target in targets {
            let id = &target.registration.id;
            let entry = Some((rendezvous_weight(&part.id, id), id));
            if entry > first {
                (first, second) = (entry, first);
            } else if entry > second {
                second = entry;
            }
        }
        let name = |entry: Option<(u64, &TargetId)>| entry.map(|(_, id)| id.clone());
        AffinityRanking { part: Some(part.id.clone()), first: name(first), second: name(second) }
    }

    /// Returns the target that is ranked first.
    pub(super) fn first(&self) -> Option<&TargetId> {
        self.first.as_ref()
    }

    /// Returns the hash of a target for the part, as a share of the largest hash.
    fn hash_share(&self, target: &TargetId) -> f64 {
        let weight = self.part.as_ref().map(|part| rendezvous_weight(part, target));
        weight.map_or(0.0, |weight| weight as f64 / u64::MAX as f64)
    }

    /// Returns the share of the bonus that a target gets.
    fn bonus_share(&self, target: &TargetId) -> f64 {
        if self.first.as_ref() == Some(target) {
            1.0
        } else if self.second.as_ref() == Some(target) {
            SECOND_AFFINITY_SHARE
        } else {
            0.0
        }
    }
}

/// The caches that hold the shared parts of one prompt, looked up once for all targets.
pub(super) struct PartHolders<'a> {
    /// For each shared part, the caches that hold all of it.
    parts: Vec<Vec<Holder<'a>>>,
}

struct Holder<'a> {
    address: SocketAddr,
    cache: &'a CacheView,
    /// Whether other caches may fetch from it.
    is_source: bool,
}

impl<'a> PartHolders<'a> {
    /// Looks up the holders of a prompt's shared parts under a scope.
    pub(super) fn open(
        directory: &'a PartDirectory,
        prompt: &PlacementPrompt,
        scope: &CacheScope,
        is_reachable: &dyn Fn(&str) -> bool,
        now: Duration,
    ) -> PartHolders<'a> {
        let holders = |part: &PromptPart| {
            let holders = directory.holders(PartFingerprint::of(scope, &part.id));
            let complete = holders.filter(|(_, _, tokens)| *tokens >= part.tokens);
            complete
                .map(|(address, cache, _)| Holder {
                    address: *address,
                    cache,
                    is_source: cache.is_fresh(now) && is_reachable(&cache.data_centre),
                })
                .collect()
        };
        PartHolders { parts: shared_parts(prompt).iter().map(holders).collect() }
    }

    fn is_held_at(&self, index: usize, address: &SocketAddr) -> bool {
        self.parts[index].iter().any(|holder| holder.address == *address)
    }

    /// Returns the cache with the fastest transfer of a part to the target.
    fn fastest_source(
        &self,
        index: usize,
        target: &TargetView,
        tokens: u64,
        costs: &TransferCosts<'_>,
    ) -> Option<Transfer> {
        let others = self.parts[index]
            .iter()
            .filter(|holder| holder.is_source && holder.address != target.registration.address);
        others
            .map(|holder| costs.transfer(holder, target, tokens))
            .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
    }
}

/// Transfer of one part.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    source: SocketAddr,
    /// Expected time, with the risk that the source evicts the part.
    cost_ms: f64,
}

/// What determines the costs of transfers to the engines of one service.
pub(super) struct TransferCosts<'a> {
    pub(super) policy: &'a PlacementPolicy,
    pub(super) memory: &'a ContextMemory,
    pub(super) timing: &'a ServiceTiming,
}

impl TransferCosts<'_> {
    fn transfer(&self, holder: &Holder<'_>, target: &TargetView, tokens: u64) -> Transfer {
        let (cache, memory) = (holder.cache, self.memory);
        let speed = cache.memory.link_megabits_per_second.min(memory.link_megabits_per_second);
        let bits = (tokens * memory.token_size_bytes * 8) as f64;
        let moved_ms = bits / (speed * 1_000.0);
        let distance_factor = if cache.data_centre == target.registration.data_centre {
            1.0
        } else {
            OTHER_DATA_CENTRE_TRANSFER_FACTOR
        };
        let transfer_ms = TRANSFER_SETUP_MS
            + cache.memory.first_byte_delay.as_secs_f64() * 1_000.0
            + moved_ms * distance_factor;
        let risk_ms = if cache.is_store() {
            0.0
        } else {
            self.policy.eviction_risk * self.timing.prefill_ms(tokens)
        };
        Transfer { source: holder.address, cost_ms: transfer_ms + risk_ms }
    }

    /// Returns the cost of prefilling tokens that are cached elsewhere.
    fn recompute_ms(&self, tokens: u64) -> f64 {
        self.timing.prefill_ms(tokens) * (1.0 + self.policy.recompute_penalty_factor)
    }
}

/// Plans how one target gets the context of a prompt.
///
/// A cached part is usable only if all parts before it are held or fetched. The plan covers as many
/// leading parts as is cheapest; the target prefills the rest.
pub(super) fn plan_context(
    holders: &PartHolders<'_>,
    target: &TargetView,
    is_target_watched: bool,
    prompt: &PlacementPrompt,
    costs: &TransferCosts<'_>,
) -> ContextPlan {
    let shared = shared_parts(prompt);
    let transfers: Vec<Option<Transfer>> = shared
        .iter()
        .enumerate()
        .map(|(index, part)| holders.fastest_source(index, target, part.tokens, costs))
        .collect();
    let is_held = |index: usize| holders.is_held_at(index, &target.registration.address);
    let covered = cheapest_coverage(shared, &transfers, &is_held, costs);
    let mut plan = ContextPlan {
        fetch: vec![None; prompt.parts.len()],
        is_target_watched,
        prefill_tokens: prompt.prompt_tokens,
        ..ContextPlan::default()
    };
    let mut transfer_ms = 0.0;
    for (index, (part, transfer)) in shared.iter().zip(&transfers).enumerate() {
        if index >= covered {
            plan.missing_tokens += part.tokens;
            continue;
        }
        plan.prefill_tokens = plan.prefill_tokens.saturating_sub(part.tokens);
        // A held part gets a source too, since it may be evicted before the request starts.
        plan.fetch[index] = transfer.map(|it| FetchSource { address: it.source });
        if is_held(index) {
            plan.held_tokens += part.tokens;
        } else if let Some(transfer) = transfer {
            plan.transfers.push(PlannedTransfer { source: transfer.source, tokens: part.tokens });
            transfer_ms += transfer.cost_ms;
        }
    }
    plan.ready_ms = transfer_ms + costs.timing.prefill_ms(plan.prefill_tokens);
    plan
}

/// Returns how many leading parts to take from caches so that the total cost is lowest.
fn cheapest_coverage(
    shared: &[PromptPart],
    transfers: &[Option<Transfer>],
    is_held: &dyn Fn(usize) -> bool,
    costs: &TransferCosts<'_>,
) -> usize {
    // Cost of the coverage minus the cost of prefilling the covered parts.
    let (mut balance_ms, mut best) = (0.0, (0.0, 0));
    for (index, (part, transfer)) in shared.iter().zip(transfers).enumerate() {
        if !is_held(index) {
            let Some(transfer) = transfer else { break };
            balance_ms += transfer.cost_ms;
        }
        balance_ms -= costs.recompute_ms(part.tokens);
        if balance_ms <= best.0 {
            best = (balance_ms, index + 1);
        }
    }
    best.1
}
