//! Estimates the cost of a request at a target: milliseconds until the first byte of the response,
//! with penalties and bonuses in the same unit.

use super::{
    parts::{CacheView, PartDirectory, PartFingerprint, rendezvous_weight},
    target::TargetView,
    types::{PlacementPrompt, PlacementRequest},
};
use skylarkpick_interface::{CacheScope, ContextMemory, FetchSource, PromptPart, TargetId};
use std::{net::SocketAddr, time::Duration};

/// Prefill rate of an engine, from the users' data sheets.
const PREFILL_TOKENS_PER_MS: f64 = 36.1;
/// Delay of the first token for each other request in flight at an engine: they share its steps.
const ENGINE_IN_FLIGHT_DELAY_MS: f64 = 5.0;
/// Delay for each request waiting at an engine: its prompt is prefilled first.
const ENGINE_WAITING_DELAY_MS: f64 = 70.0;
/// Time for which a call occupies a slot of a plain service, from the users' data sheets.
const PLAIN_CALL_MS: f64 = 60.0;
/// Penalty for each request in flight at an instance of a plain service, so that the least loaded
/// instance is preferred while slots are free.
const PLAIN_IN_FLIGHT_PENALTY_MS: f64 = 3.0;
/// Penalty for a target in another data centre: the round trip, and the price of the traffic.
const OTHER_DATA_CENTRE_PENALTY_MS: f64 = 6.0;
/// Bonus of the target that the last shared part of a prompt hashes to.
const AFFINITY_BONUS_MS: f64 = 8.0;
/// Share of the bonus that the second-ranked target gets. Prompts go there if the first is busy.
const SECOND_AFFINITY_SHARE: f64 = 0.5;
/// Affinity bonus if no known cache provides some of the shared parts. Processes that don't know
/// each other's decisions must choose the same target, or those parts are prefilled twice.
const MISSING_PART_AFFINITY_BONUS_MS: f64 = 250.0;
/// Affinity bonus if this process doesn't watch the target's cache. The target that a part hashes
/// to is the most likely holder.
const UNWATCHED_AFFINITY_BONUS_MS: f64 = 60.0;
/// Penalty for each shared token that is prefilled instead of reused, on top of the prefill time.
/// The users price 1,000 recomputed tokens at a sixth of the response to a long prompt.
const RECOMPUTE_PENALTY_MS_PER_TOKEN: f64 = 0.1;
/// Longest transfer to wait for. A part whose transfer takes longer is prefilled.
const TRANSFER_LIMIT_MS: f64 = 900.0;
/// Penalty for each token beyond an engine's memory: other requests are preempted and their prompts
/// prefilled again.
const OVER_MEMORY_PENALTY_MS_PER_TOKEN: f64 = 1.0 / PREFILL_TOKENS_PER_MS;
/// Factor on the time that the bytes of a part take between data centres.
const OTHER_DATA_CENTRE_TRANSFER_FACTOR: f64 = 2.0;
/// Penalty for fetching from a runner, which may evict the part before the fetch. A store keeps it.
const EVICTION_RISK_PENALTY_MS: f64 = 40.0;
/// Setup time of a transfer at an engine.
const TRANSFER_SETUP_MS: f64 = 3.3;
/// Penalty for starting on weights that are about to be replaced, on top of the wait.
const OLD_WEIGHTS_PENALTY_MS: f64 = 80.0;

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
}

/// Returns the cost of a call at an instance of a plain service.
pub(super) fn plain_cost(target: &TargetView, request: &PlacementRequest, now: Duration) -> Cost {
    let in_flight = target.requests(now);
    let slots = f64::from(target.slots());
    let wait_ms = ((in_flight + 1.0 - slots) / slots).max(0.0) * PLAIN_CALL_MS;
    let distance = distance_penalty_ms(target, request);
    Cost { total_ms: wait_ms + in_flight * PLAIN_IN_FLIGHT_PENALTY_MS + distance, wait_ms }
}

/// The inputs of an engine's cost that are the same for all targets.
#[derive(Clone, Copy)]
pub(super) struct EngineRequest<'a> {
    pub(super) request: &'a PlacementRequest,
    pub(super) prompt: &'a PlacementPrompt,
    pub(super) ranking: &'a AffinityRanking,
    pub(super) memory: &'a ContextMemory,
    pub(super) now: Duration,
}

/// Returns the cost of a prompt at an engine.
pub(super) fn engine_cost(
    target: &TargetView,
    engine_request: &EngineRequest<'_>,
    plan: &ContextPlan,
    has_newer_weights: bool,
) -> Cost {
    let EngineRequest { request, prompt, ranking, memory, now } = *engine_request;
    let in_flight = target.requests(now);
    let slots = f64::from(target.slots());
    let over_slots = (in_flight + 1.0 - slots).max(0.0);
    let own_queue_ms = target.own_prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
    let queue_ms = own_queue_ms + target.reported_waiting(now) * ENGINE_WAITING_DELAY_MS;
    // The requests of other processes are assumed to need as much memory as this process's
    // requests there or, if it has none, as this request.
    let others = (in_flight - f64::from(target.own_requests)).max(0.0);
    let mean_tokens = match target.own_requests {
        0 => unshared_tokens(prompt),
        count => target.own_tokens / u64::from(count),
    };
    let needed =
        target.own_tokens as f64 + others * mean_tokens as f64 + unshared_tokens(prompt) as f64;
    let over_memory = (needed - memory.capacity_tokens as f64).max(0.0);
    let wait_ms = over_slots * PLAIN_CALL_MS + over_memory * OVER_MEMORY_PENALTY_MS_PER_TOKEN;
    let affinity_bonus_ms = affinity_bonus_ms(target, ranking, plan);
    let recompute_penalty_ms = plan.missing_tokens as f64 * RECOMPUTE_PENALTY_MS_PER_TOKEN;
    let weights_penalty_ms = if has_newer_weights { OLD_WEIGHTS_PENALTY_MS } else { 0.0 };
    let total_ms = wait_ms
        + queue_ms
        + in_flight * ENGINE_IN_FLIGHT_DELAY_MS
        + plan.ready_ms
        + weights_penalty_ms
        + recompute_penalty_ms
        + distance_penalty_ms(target, request)
        - affinity_bonus_ms;
    Cost { total_ms, wait_ms: wait_ms + queue_ms }
}

/// Returns the memory that a request takes in addition to the parts that it shares with others.
pub(super) fn unshared_tokens(prompt: &PlacementPrompt) -> u64 {
    let shared: u64 = shared_parts(prompt).iter().map(|part| part.tokens).sum();
    prompt.prompt_tokens.saturating_sub(shared) + prompt.answer_tokens_limit
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
fn affinity_bonus_ms(target: &TargetView, ranking: &AffinityRanking, plan: &ContextPlan) -> f64 {
    let full_ms = match plan {
        _ if plan.missing_tokens > 0 => MISSING_PART_AFFINITY_BONUS_MS,
        _ if !plan.is_target_watched => UNWATCHED_AFFINITY_BONUS_MS,
        _ => AFFINITY_BONUS_MS,
    };
    full_ms * ranking.bonus_share(&target.registration.id)
}

/// The two targets that the last shared part of a prompt hashes to. Rendezvous hashing makes them
/// the same in every process.
#[derive(Clone, Debug, Default)]
pub(super) struct AffinityRanking {
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
        AffinityRanking { first: name(first), second: name(second) }
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

    /// Returns the cache with the shortest transfer of a part to the target, and the time of that
    /// transfer.
    fn fastest_source(
        &self,
        index: usize,
        target: &TargetView,
        tokens: u64,
        memory: &ContextMemory,
    ) -> Option<(SocketAddr, f64)> {
        let others = self.parts[index]
            .iter()
            .filter(|holder| holder.is_source && holder.address != target.registration.address);
        others
            .map(|holder| (holder.address, transfer_ms(holder.cache, target, tokens, memory)))
            .filter(|(_, time_ms)| *time_ms < TRANSFER_LIMIT_MS)
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }
}

/// Plans how one target gets the context of a prompt.
pub(super) fn plan_context(
    holders: &PartHolders<'_>,
    target: &TargetView,
    is_target_watched: bool,
    prompt: &PlacementPrompt,
    memory: &ContextMemory,
) -> ContextPlan {
    let mut plan = ContextPlan {
        fetch: vec![None; prompt.parts.len()],
        is_target_watched,
        ..ContextPlan::default()
    };
    let mut prefill_tokens = prompt.prompt_tokens;
    let mut transfer_ms = 0.0;
    // A cached part is usable only if all parts before it are held or fetched.
    let mut is_covered = true;
    for (index, part) in shared_parts(prompt).iter().enumerate() {
        let source = holders.fastest_source(index, target, part.tokens, memory);
        if is_covered {
            // A held part gets a source too, since it may be evicted before the request starts.
            plan.fetch[index] = source.map(|(address, _)| FetchSource { address });
        }
        if is_covered && holders.is_held_at(index, &target.registration.address) {
            plan.held_tokens += part.tokens;
            prefill_tokens = prefill_tokens.saturating_sub(part.tokens);
            continue;
        }
        match source.filter(|_| is_covered) {
            Some((_, time_ms)) => {
                transfer_ms += time_ms;
                prefill_tokens = prefill_tokens.saturating_sub(part.tokens);
            }
            None => {
                is_covered = false;
                plan.missing_tokens += part.tokens;
            }
        }
    }
    plan.prefill_tokens = prefill_tokens;
    plan.ready_ms = transfer_ms + prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
    plan
}

/// Returns the estimated time to transfer tokens from a cache to a target.
fn transfer_ms(cache: &CacheView, target: &TargetView, tokens: u64, memory: &ContextMemory) -> f64 {
    let speed = cache.memory.link_megabits_per_second.min(memory.link_megabits_per_second);
    let bits = (tokens * memory.token_size_bytes * 8) as f64;
    let moved_ms = bits / (speed * 1_000.0);
    let distance_factor = if cache.data_centre == target.registration.data_centre {
        1.0
    } else {
        OTHER_DATA_CENTRE_TRANSFER_FACTOR
    };
    let risk_penalty_ms = if cache.is_store() { 0.0 } else { EVICTION_RISK_PENALTY_MS };
    risk_penalty_ms
        + TRANSFER_SETUP_MS
        + cache.memory.first_byte_delay.as_secs_f64() * 1_000.0
        + moved_ms * distance_factor
}
